/**
 * Sends responses that the instance creates itself, and relays headers of backend servers'
 * responses.
 */
import {
  validateHeaderName,
  validateHeaderValue,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import { HOP_BY_HOP_HEADERS } from './request-headers.js';

/** A response that the instance creates itself, without one from a backend server. */
export interface LocalResponse {
  readonly status: number;
  /** A short name of the reason, stable for programs. */
  readonly code: string;
  readonly message: string;
  /** When the caller may try again, for the `Retry-After` header. */
  readonly retryAfterSeconds?: number;
}

/**
 * Sends a local response as JSON. A response that has already started is cut off instead, so that
 * the caller sees that it is incomplete.
 *
 * @param response - The caller's response.
 * @param requestId - The request's id, repeated in the response unless it is empty.
 * @param localResponse - What to send.
 */
export function sendLocalResponse(
  response: ServerResponse,
  requestId: string,
  localResponse: LocalResponse,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const { status, code, message, retryAfterSeconds } = localResponse;
  const body = JSON.stringify({ error: { code, message } });
  if (retryAfterSeconds !== undefined) response.setHeader('Retry-After', String(retryAfterSeconds));
  if (requestId !== '') response.setHeader('Request-Id', requestId);
  response.setHeader('Content-Type', 'application/json');
  response.setHeader('Content-Length', Buffer.byteLength(body));
  response.statusCode = status;
  response.end(body);
}

/**
 * Lists the headers of a backend server's response that are relayed to the caller.
 *
 * @param backendResponse - The backend server's response.
 * @returns Alternating names and values, without the hop-by-hop headers.
 */
export function getEndToEndHeaders(backendResponse: IncomingMessage): string[] {
  const headers: string[] = [];
  for (let index = 0; index + 1 < backendResponse.rawHeaders.length; index += 2) {
    const name = backendResponse.rawHeaders[index] ?? '';
    if (!HOP_BY_HOP_HEADERS.has(name.toLowerCase())) {
      headers.push(name, backendResponse.rawHeaders[index + 1] ?? '');
    }
  }
  return headers;
}

const LOWEST_STATUS = 200;
const HIGHEST_STATUS = 999;

/**
 * Tells whether the head of a backend server's response can be passed on. Node.js reads heads that it refuses to
 * write, such as those with a space in a header's name.
 *
 * @param backendResponse - The backend server's response.
 */
export function isRelayable(backendResponse: IncomingMessage): boolean {
  const { statusCode = 0 } = backendResponse;
  if (statusCode < LOWEST_STATUS || statusCode > HIGHEST_STATUS) return false;
  const headers = getEndToEndHeaders(backendResponse);
  try {
    for (let index = 0; index + 1 < headers.length; index += 2) {
      const [name = '', value = ''] = headers.slice(index, index + 2);
      validateHeaderName(name);
      validateHeaderValue(name, value);
    }
    return true;
  } catch {
    return false;
  }
}

/**
 * Appends headers to a response, keeping repeated names.
 *
 * @param response - The caller's response.
 * @param headers - Alternating names and values.
 */
export function appendHeaders(response: ServerResponse, headers: readonly string[]): void {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    response.appendHeader(headers[index] ?? '', headers[index + 1] ?? '');
  }
}
