/**
 * HTTP client whose errors tell how far a request got: a request of which no byte has left may be sent
 * again without the risk that it runs twice.
 */
import http from 'node:http';
import type { Address } from './address.js';
import { startPatientTimer } from './patient-timer.js';

/** How far a failed request got. Only `connecting` proves that the server received nothing of it. */
export type RequestPhase = 'connecting' | 'sent' | 'answering';

/** A request that did not bring a complete response. */
export class HttpRequestError extends Error {
  readonly phase: RequestPhase;

  /** The system's error code, such as `ECONNRESET`, where the system reported the failure. */
  readonly code: string | undefined;

  /** Whether the request was sent over a connection that an earlier one had left open. */
  readonly wasKeptConnection: boolean;

  constructor(phase: RequestPhase, message: string, code?: string, wasKeptConnection = false) {
    super(message);
    this.name = 'HttpRequestError';
    this.phase = phase;
    this.code = code;
    this.wasKeptConnection = wasKeptConnection;
  }
}

/**
 * Tells whether a failure shows that no process listens at the address. Unlike a timeout, this can't be
 * caused by a slow link or a busy process on this side.
 *
 * @param error - The failure of a request.
 * @returns Whether the other host itself refused the connection.
 */
export function isConnectionRefused(error: unknown): boolean {
  return error instanceof HttpRequestError && error.code === 'ECONNREFUSED';
}

const LOST_CONNECTION_CODES = new Set(['ECONNRESET', 'EPIPE']);

/**
 * Tells whether a request failed because the other end broke the connection after it had been made, as
 * a process that ends does.
 *
 * @param error - The failure of a request.
 * @returns False also where this process cancelled the request.
 */
export function isConnectionLost(error: unknown): boolean {
  if (!(error instanceof HttpRequestError) || error.phase === 'connecting') return false;
  return LOST_CONNECTION_CODES.has(error.code ?? '');
}

/** An HTTP request to send. */
export interface HttpRequest {
  readonly address: Address;
  readonly method: string;
  readonly path: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  /**
   * The longest wait for the response head, in milliseconds. {@link fetchResponse} allows the same time
   * again for the body.
   */
  readonly timeoutMilliseconds: number;
  /** The longest body that {@link fetchResponse} accepts; 16 MiB by default. */
  readonly maximumBodyBytes?: number;
  readonly signal?: AbortSignal;
  readonly agent?: http.Agent;
}

/** A complete response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Code of a failure by a timeout of this client. */
const TIMEOUT_CODE = 'ETIMEDOUT';

/**
 * Tells whether a request failed because nothing was heard in time over a connection that had been made: neither
 * the whole answer nor the end of the connection.
 *
 * @param error - The failure of a request.
 * @returns False also where the connection could not be made.
 */
export function isConnectionSilent(error: unknown): boolean {
  if (!(error instanceof HttpRequestError) || error.phase === 'connecting') return false;
  return error.code === TIMEOUT_CODE;
}

/**
 * Tells whether a request failed because nothing was heard over a connection that had been open before: it may be the
 * connection alone that is silent.
 *
 * @param error - The failure of a request.
 */
export function isKeptConnectionSilent(error: unknown): boolean {
  return isConnectionSilent(error) && (error as HttpRequestError).wasKeptConnection;
}

const DEFAULT_MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

/**
 * Sends a request and waits for the head of its response.
 *
 * @param request - The request. Its signal also aborts the response body.
 * @returns The response, with its body as a stream.
 * @throws HttpRequestError with the phase that the request had reached, also on a timeout or an abort.
 */
export function fetchResponseStream(request: HttpRequest): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    let phase: RequestPhase = 'connecting';
    const clientRequest = http.request({
      host: request.address.host,
      port: request.address.port,
      method: request.method,
      path: request.path,
      headers: { ...request.headers, 'content-length': Buffer.byteLength(request.body ?? '') },
      agent: request.agent ?? false,
    });
    const fail = (message: string, code?: string): void => {
      removeListeners();
      clientRequest.destroy();
      reject(new HttpRequestError(phase, message, code, clientRequest.reusedSocket));
    };
    const failOnAbort = (): void => fail('The call was cancelled.');
    const cancelTimer = startPatientTimer(request.timeoutMilliseconds, () =>
      fail('The call timed out.', TIMEOUT_CODE),
    );
    function removeListeners(): void {
      cancelTimer();
      request.signal?.removeEventListener('abort', failOnAbort);
    }
    clientRequest.on('socket', (socket) => {
      if (!socket.connecting) phase = 'sent';
      else {
        socket.once('connect', () => {
          phase = 'sent';
        });
      }
    });
    clientRequest.on('error', (error: NodeJS.ErrnoException) => fail(error.message, error.code));
    clientRequest.on('close', () => {
      removeListeners();
      // Without effect if there was a response or an error; an answer that announces another protocol is neither.
      reject(new HttpRequestError(phase, 'The connection ended without a response.'));
    });
    clientRequest.on('response', (response) => {
      removeListeners();
      // Without a listener, an error of the body would end the process; readers of the stream receive
      // it all the same.
      response.on('error', () => undefined);
      const endOnAbort = (): void => {
        clientRequest.destroy();
      };
      request.signal?.addEventListener('abort', endOnAbort, { once: true });
      // The signal of a watch lives as long as the process.
      response.on('close', () => request.signal?.removeEventListener('abort', endOnAbort));
      resolve(response);
    });
    if (request.signal?.aborted) {
      failOnAbort();
      return;
    }
    request.signal?.addEventListener('abort', failOnAbort, { once: true });
    clientRequest.end(request.body);
  });
}

/**
 * Reads the body of a response to its end.
 *
 * @param stream - The response.
 * @param maximumBytes - The longest body that is accepted, in bytes.
 * @returns The body.
 * @throws HttpRequestError when the body ends early or exceeds the limit.
 */
export async function readBody(
  stream: http.IncomingMessage,
  maximumBytes: number = DEFAULT_MAXIMUM_BODY_BYTES,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let byteCount = 0;
  try {
    for await (const chunk of stream) {
      const buffer = chunk as Buffer;
      byteCount += buffer.length;
      if (byteCount > maximumBytes) throw new Error('The answer is too long.');
      chunks.push(buffer);
    }
  } catch (error) {
    throw new HttpRequestError('answering', getErrorMessage(error));
  }
  if (!stream.complete) throw new HttpRequestError('answering', 'The answer broke off.');
  return Buffer.concat(chunks);
}

/**
 * Sends a request and reads its complete response.
 *
 * @param request - The request. Its timeout applies to the head and to the body in turn.
 * @returns The response, whatever its status.
 * @throws HttpRequestError with the phase that the request had reached.
 */
export async function fetchResponse(request: HttpRequest): Promise<HttpResponse> {
  const response = await fetchResponseStream(request);
  let isTimedOut = false;
  const cancelTimer = startPatientTimer(request.timeoutMilliseconds, () => {
    isTimedOut = true;
    response.destroy();
  });
  try {
    const body = await readBody(response, request.maximumBodyBytes);
    return { status: response.statusCode ?? 0, headers: response.headers, body };
  } catch (error) {
    if (!isTimedOut) throw error;
    const { req } = response as http.IncomingMessage & { readonly req?: http.ClientRequest };
    const wasKeptConnection = req?.reusedSocket ?? false;
    throw new HttpRequestError(
      'answering',
      'The answer timed out.',
      TIMEOUT_CODE,
      wasKeptConnection,
    );
  } finally {
    cancelTimer();
  }
}

/**
 * Returns the message of a thrown value.
 *
 * @param error - The thrown value, which need not be an Error.
 * @returns The error's message, or the value as text when it is not an Error.
 */
export function getErrorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
