/** The gRPC server that other instances call. */
import { Server, ServerCredentials, status, type handleUnaryCall } from '@grpc/grpc-js';
import { formatAddress, type Address } from '../common/address.js';
import { getErrorMessage } from '../common/http-client.js';
import {
  PEER_SERVICE,
  PROCEDURES,
  type ProcedureHandlers,
  type ProcedureName,
} from './protocol.js';

/** A running peer server. */
export interface PeerServer {
  /** Stops listening and cuts off the calls in progress. */
  readonly close: () => void;
}

const MAXIMUM_MESSAGE_BYTES = 8 * 1024 * 1024;

function createUnaryHandler(
  name: ProcedureName,
  handlers: ProcedureHandlers,
): handleUnaryCall<unknown, unknown> {
  return (call, callback) => {
    const parsed = PROCEDURES[name].request.safeParse(call.request);
    if (!parsed.success) {
      callback({ code: status.INVALID_ARGUMENT, details: parsed.error.message });
      return;
    }
    const handler = handlers[name] as (request: unknown) => unknown;
    Promise.resolve()
      .then(() => handler(parsed.data))
      .then((answer) => callback(null, answer))
      .catch((error: unknown) =>
        callback({ code: status.INTERNAL, details: getErrorMessage(error) }),
      );
  };
}

/**
 * Starts the server. Requests that do not match the schema of their procedure are refused with
 * INVALID_ARGUMENT; an error thrown by a handler is answered with INTERNAL.
 *
 * @param address - The address to listen on.
 * @param handlers - The implementation of each procedure.
 * @returns The running server.
 * @throws Error when the server cannot listen on the address.
 */
export function startPeerServer(
  address: Address,
  handlers: ProcedureHandlers,
): Promise<PeerServer> {
  const server = new Server({ 'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES });
  const names = Object.keys(PROCEDURES) as ProcedureName[];
  server.addService(
    PEER_SERVICE,
    Object.fromEntries(names.map((name) => [name, createUnaryHandler(name, handlers)])),
  );
  return new Promise((resolve, reject) => {
    server.bindAsync(formatAddress(address), ServerCredentials.createInsecure(), (error) => {
      if (error) reject(error);
      else resolve({ close: () => server.forceShutdown() });
    });
  });
}
