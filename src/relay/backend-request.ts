/** Sends a request to a backend server over a new connection. */
import http from 'node:http';
import type { Socket } from 'node:net';
import type { Address } from '../common/address.js';
import { ByteCollector } from '../common/byte-collector.js';
import { getErrorMessage, HttpRequestError, type RequestPhase } from '../common/http-client.js';
import { startPatientTimer } from '../common/patient-timer.js';
import { findDelimiter } from '../evidence/answer-end.js';
import { isRelayable } from '../entry/entry-response.js';
import { MEMORY_EXCEEDED_CODE } from '../memory/memory-exceeded-error.js';
import type { RequestMemory } from '../memory/request-memory.js';

/** A request to a backend server. */
export interface BackendRequest {
  readonly address: Address;
  readonly method: string;
  readonly target: string;
  /** Alternating names and values, sent as they are. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Aborts the request, and its response if that has begun. */
  readonly signal: AbortSignal;
  /** Asked once the connection is made, before a byte is sent: whether the request's time is over. */
  readonly isOver?: () => boolean;
}

const CONNECT_TIMEOUT_MILLISECONDS = 300;

/**
 * Whether a connection whose end was reported has been reset. Node.js reports a reset that arrives together
 * with the last bytes as an orderly end; only a connection that was closed in order still has a peer.
 */
function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

function createResetError(): NodeJS.ErrnoException {
  return Object.assign(new Error('The connection was reset.'), { code: 'ECONNRESET' });
}

/**
 * Sends a request and waits for the head of the response. Handles servers that write anything at all: with an
 * answer that announces another protocol, a connection ends without the event of a response or an error. Handles
 * a process that is late, too: nothing is sent once the request's time has ended while it connected.
 *
 * @param backendRequest - The request.
 * @returns The response, whose head can be passed on to a caller. Its body fails when the connection breaks or
 *   the signal aborts.
 * @throws HttpRequestError whose phase tells whether any byte may have reached the backend server.
 */
export function sendBackendRequest(backendRequest: BackendRequest): Promise<http.IncomingMessage> {
  const { address, method, target, headers, body, signal, isOver } = backendRequest;
  return new Promise((resolve, reject) => {
    let phase: RequestPhase = 'connecting';
    const request = http.request({
      host: address.host,
      port: address.port,
      method,
      path: target,
      headers: headers as unknown as http.OutgoingHttpHeaders,
      setHost: false,
      agent: false,
    });
    const abort = (): void => {
      request.destroy(new Error('The request to the backend server was cancelled.'));
    };
    const cancelTimer = startPatientTimer(CONNECT_TIMEOUT_MILLISECONDS, () => {
      request.destroy(new Error('Connecting to the backend server timed out.'));
    });
    let backendResponse: http.IncomingMessage | undefined;
    request.on('socket', (socket) => {
      socket.setNoDelay(true);
      // Before the listener that writes the request. In a late process the time may end while it connects.
      socket.prependOnceListener('connect', () => {
        cancelTimer();
        if (isOver?.()) request.destroy(new Error('The request is over; it was not sent.'));
        else phase = 'sent';
      });
      // Before the listener that ends the body of a response without a length.
      socket.prependListener('end', () => {
        if (!backendResponse || !wasReset(socket)) return;
        const { statusCode: status = 0, headers: answerHeaders } = backendResponse;
        if (findDelimiter({ method, status, headers: answerHeaders }) === 'answer') return;
        backendResponse.destroy(createResetError());
      });
    });
    request.on('error', (error: NodeJS.ErrnoException) => {
      cancelTimer();
      // Without this, a response that has no length would end here as if it were complete. To a complete one
      // the error doesn't belong: bytes may follow it.
      if (!backendResponse?.complete) backendResponse?.destroy(error);
      reject(new HttpRequestError(phase, error.message, error.code));
    });
    request.on('response', (response) => {
      // Whoever reads the body receives its errors; without a listener they would end the process.
      response.on('error', () => undefined);
      if (!isRelayable(response)) {
        request.destroy(new Error("The head of the response can't be passed on."));
        return;
      }
      backendResponse = response;
      // Otherwise the connection would wait until the server has read the rest of the request's body.
      response.once('end', () => {
        if (!request.writableFinished) request.socket?.destroy();
      });
      resolve(response);
    });
    request.on('close', () => {
      cancelTimer();
      signal.removeEventListener('abort', abort);
      // Without effect if there was a response or an error.
      reject(new HttpRequestError(phase, 'The connection ended without a response.'));
    });
    if (signal.aborted) abort();
    else signal.addEventListener('abort', abort, { once: true });
    request.end(body);
  });
}

/** An answer of a stated length that the instance had no memory for; its server is not to blame. */
export class OwnMemoryError extends HttpRequestError {
  constructor(message: string) {
    super('answering', message, MEMORY_EXCEEDED_CODE);
    this.name = 'OwnMemoryError';
  }
}

function isMemoryExceeded(error: unknown): boolean {
  return error instanceof HttpRequestError && error.code === MEMORY_EXCEEDED_CODE;
}

/** Longer answers are cut off; they are kept whole until it is known that they are complete. */
const MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;

/**
 * Reads the whole body of a response.
 *
 * @param response - The response.
 * @param memory - Where its bytes are counted, until the caller's response closes.
 * @returns The body.
 * @throws HttpRequestError with the phase `answering` when the body breaks off, exceeds 8 MiB, or is given up since
 *   the instance holds too many bytes; the last is an {@link OwnMemoryError} unless the answer may be endless.
 */
export async function readAnswer(
  response: http.IncomingMessage,
  memory: Pick<RequestMemory, 'hold'>,
): Promise<Buffer> {
  const held = memory.hold('answer', (error) => response.destroy(error));
  const body = new ByteCollector();
  try {
    for await (const chunk of readChunks(response)) {
      body.append(chunk);
      if (body.byteCount > MAXIMUM_ANSWER_BYTES)
        throw new HttpRequestError(
          'answering',
          `The answer exceeds ${MAXIMUM_ANSWER_BYTES} bytes.`,
        );
      held.resize(body.byteCount);
    }
  } catch (error) {
    held.release();
    if (isMemoryExceeded(error) && response.headers['content-length'] !== undefined)
      throw new OwnMemoryError(getErrorMessage(error));
    throw error;
  }
  held.keep();
  return body.take();
}

/**
 * Reads the body of a response as it arrives.
 *
 * @param response - The response.
 * @returns The chunks.
 * @throws HttpRequestError with the phase `answering` and the system's code when the body breaks off.
 */
export async function* readChunks(response: http.IncomingMessage): AsyncGenerator<Buffer> {
  try {
    for await (const chunk of response) yield chunk as Buffer;
  } catch (error) {
    const { code, message } = error as NodeJS.ErrnoException;
    throw new HttpRequestError('answering', message, code);
  }
}
