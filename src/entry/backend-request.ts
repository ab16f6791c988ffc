/** One request to one backend server, over a connection of its own. */
import http from 'node:http';
import type { Address } from '../common/address.js';
import { HttpRequestError, type RequestPhase } from '../common/http-client.js';

/** One request to send. */
export interface BackendRequest {
  readonly address: Address;
  readonly method: string;
  readonly target: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly signal: AbortSignal;
}

const CONNECT_TIMEOUT_MILLISECONDS = 300;

/**
 * Sends a request.
 *
 * @param exchange - The request.
 * @returns The answer, once its head is there; its body ends early when the signal aborts.
 * @throws HttpCallError telling whether any byte may have left.
 */
export function sendBackendRequest(exchange: BackendRequest): Promise<http.IncomingMessage> {
  const { address, method, target, headers, body, signal } = exchange;
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
      request.destroy(new Error('The request was cancelled.'));
    };
    const timer = setTimeout(() => {
      request.destroy(new Error('The connection took too long.'));
    }, CONNECT_TIMEOUT_MILLISECONDS);
    request.on('socket', (socket) => {
      socket.setNoDelay(true);
      socket.once('connect', () => {
        phase = 'sent';
        clearTimeout(timer);
      });
    });
    let answer: http.IncomingMessage | undefined;
    request.on('error', (error) => {
      clearTimeout(timer);
      // Otherwise an answer without a length would end here as if it were whole.
      answer?.destroy(error);
      reject(new HttpRequestError(phase, error.message));
    });
    request.on('response', (response) => {
      // Errors of the body reach whoever reads the stream.
      response.on('error', () => undefined);
      answer = response;
      resolve(response);
    });
    request.on('close', () => {
      clearTimeout(timer);
      signal.removeEventListener('abort', abort);
    });
    if (signal.aborted) abort();
    else signal.addEventListener('abort', abort, { once: true });
    request.end(body);
  });
}

/**
 * Tells whether an answer says where it ends. One that ends with its connection looks the same when
 * its server crashed within it.
 *
 * @param answer - The answer.
 * @returns Whether its end can be told from a break.
 */
export function isBodyDelimited(answer: http.IncomingMessage): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding = '' } = answer.headers;
  return length !== undefined || /\bchunked\b/i.test(encoding);
}
