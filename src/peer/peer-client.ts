/** Calls to other instances. */
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
   * Calls a procedure of the peer.
   *
   * @param name - The procedure.
   * @param request - Its request.
   * @param timeoutMilliseconds - The time allowed.
   * @returns The checked answer.
   * @throws PeerCallError when no valid answer came.
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
          else reject(new PeerCallError('The answer is malformed.', false));
        },
      );
    });
  }

  close(): void {
    this.#client.close();
  }
}
