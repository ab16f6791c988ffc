/** The gRPC client for calls to other instances. */
import { Client, credentials, status, type ServiceError } from '@grpc/grpc-js';
import { formatAddress, type Address } from '../common/address.js';
import {
  PROCEDURES,
  getProcedurePath,
  type ProcedureAnswer,
  type ProcedureName,
  type ProcedureRequest,
} from './protocol.js';
import { PeerCallError } from './peer-call-error.js';
import { decodeMessage, encodeMessage } from './messages.js';

const CHANNEL_OPTIONS = {
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
};

/** Only a channel that never connected shows that the peer did not receive the call. */
function isNeverSent(error: ServiceError): boolean {
  return error.code === status.UNAVAILABLE && error.details.includes('No connection established');
}

/** A channel to one peer. */
export class PeerClient {
  readonly #client: Client;

  constructor(address: Address) {
    this.#client = new Client(
      formatAddress(address),
      credentials.createInsecure(),
      CHANNEL_OPTIONS,
    );
  }

  /**
   * Calls a procedure of the peer. A failed call is not retried.
   *
   * @param timeoutMilliseconds - How long to wait for the answer, connecting included.
   * @returns The answer, validated against the schema of the procedure.
   * @throws PeerCallError when no valid answer arrived in time.
   */
  call<Name extends ProcedureName>(
    name: Name,
    request: ProcedureRequest<Name>,
    timeoutMilliseconds: number,
  ): Promise<ProcedureAnswer<Name>> {
    return new Promise((resolve, reject) => {
      this.#client.makeUnaryRequest(
        getProcedurePath(name),
        encodeMessage,
        decodeMessage,
        request,
        { deadline: Date.now() + timeoutMilliseconds },
        (error, answer) => {
          if (error) {
            reject(new PeerCallError(error.details, isNeverSent(error)));
            return;
          }
          const parsed = PROCEDURES[name].answer.safeParse(answer);
          if (parsed.success) resolve(parsed.data as ProcedureAnswer<Name>);
          else
            reject(
              new PeerCallError(
                'The peer sent an answer that does not match the schema of the procedure.',
                false,
              ),
            );
        },
      );
    });
  }

  close(): void {
    this.#client.close();
  }
}
