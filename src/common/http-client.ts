/**
 * HTTP calls that tell how far they got: whether any byte of a request may have left decides
 * whether it may be sent again.
 */
import http from 'node:http';
import type { Address } from './address.js';

/** How far a failed call got. Only `connecting` proves that the other side saw nothing. */
export type RequestPhase = 'connecting' | 'sent' | 'answering';

/** A call that brought no whole answer. */
export class HttpRequestError extends Error {
  readonly phase: RequestPhase;

  constructor(phase: RequestPhase, message: string) {
    super(message);
    this.name = 'HttpCallError';
    this.phase = phase;
  }
}

/** One HTTP request to make. */
export interface HttpRequest {
  readonly address: Address;
  readonly method: string;
  readonly path: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string | Buffer;
  /** The longest wait for the answer's head, in milliseconds. */
  readonly timeoutMilliseconds: number;
  readonly signal?: AbortSignal;
  readonly agent?: http.Agent;
}

/** A whole answer. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

const DEFAULT_MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

/**
 * Sends a request and waits for the head of its answer.
 *
 * @param call - The request.
 * @returns The answer as a stream.
 * @throws HttpCallError with the phase that the call had reached.
 */
export function fetchResponseStream(call: HttpRequest): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    let phase: RequestPhase = 'connecting';
    const request = http.request({
      host: call.address.host,
      port: call.address.port,
      method: call.method,
      path: call.path,
      headers: { ...call.headers, 'content-length': Buffer.byteLength(call.body ?? '') },
      agent: call.agent ?? false,
    });
    const fail = (message: string): void => {
      cleanUp();
      request.destroy();
      reject(new HttpRequestError(phase, message));
    };
    const abort = (): void => fail('The call was cancelled.');
    const timer = setTimeout(() => fail('The call timed out.'), call.timeoutMilliseconds);
    function cleanUp(): void {
      clearTimeout(timer);
      call.signal?.removeEventListener('abort', abort);
    }
    request.on('socket', (socket) => {
      if (!socket.connecting) phase = 'sent';
      else {
        socket.once('connect', () => {
          phase = 'sent';
        });
      }
    });
    request.on('error', (error) => fail(error.message));
    request.on('response', (response) => {
      cleanUp();
      // Errors of the body reach whoever reads the stream.
      response.on('error', () => undefined);
      call.signal?.addEventListener('abort', () => request.destroy(), { once: true });
      resolve(response);
    });
    if (call.signal?.aborted) {
      abort();
      return;
    }
    call.signal?.addEventListener('abort', abort, { once: true });
    request.end(call.body);
  });
}

/**
 * Reads a stream whole.
 *
 * @param stream - The stream to read.
 * @param maximumBytes - The most that is accepted.
 * @returns The bytes.
 * @throws HttpCallError when the stream breaks off or is too long.
 */
export async function readBody(
  stream: http.IncomingMessage,
  maximumBytes: number = DEFAULT_MAXIMUM_ANSWER_BYTES,
): Promise<Buffer> {
  const parts: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const part of stream) {
      const buffer = part as Buffer;
      bytes += buffer.length;
      if (bytes > maximumBytes) throw new Error('The answer is too long.');
      parts.push(buffer);
    }
  } catch (error) {
    throw new HttpRequestError('answering', getErrorMessage(error));
  }
  if (!stream.complete) throw new HttpRequestError('answering', 'The answer broke off.');
  return Buffer.concat(parts);
}

/**
 * Sends a request and reads its whole answer within the call's timeout.
 *
 * @param call - The request.
 * @returns The whole answer, of whatever status.
 * @throws HttpCallError with the phase that the call had reached.
 */
export async function fetchResponse(call: HttpRequest): Promise<HttpResponse> {
  const response = await fetchResponseStream(call);
  const timer = setTimeout(
    () => response.destroy(new Error('The answer timed out.')),
    call.timeoutMilliseconds,
  );
  try {
    const body = await readBody(response);
    return { status: response.statusCode ?? 0, headers: response.headers, body };
  } finally {
    clearTimeout(timer);
  }
}

/**
 * Reads the message of anything thrown.
 *
 * @param error - What was thrown.
 * @returns Its message.
 */
export function getErrorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
