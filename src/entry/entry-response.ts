/** The answers that an instance gives of its own, and how a backend server's answer is passed on. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** An answer of the instance's own. */
export interface LocalResponse {
  readonly status: number;
  readonly code: string;
  readonly message: string;
  /** When to come back, for refusals. */
  readonly retryAfterSeconds?: number;
}

/** Headers of an answer that concern one connection only. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Sends an answer of the instance's own, unless one has begun.
 *
 * @param response - The caller's response.
 * @param requestId - The request's id, repeated in the answer.
 * @param answer - The answer.
 */
export function sendLocalResponse(
  response: ServerResponse,
  requestId: string,
  answer: LocalResponse,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const { status, code, message, retryAfterSeconds } = answer;
  const body = JSON.stringify({ error: { code, message } });
  if (retryAfterSeconds !== undefined) response.setHeader('Retry-After', String(retryAfterSeconds));
  if (requestId !== '') response.setHeader('Request-Id', requestId);
  response.setHeader('Content-Type', 'application/json');
  response.setHeader('Content-Length', Buffer.byteLength(body));
  response.statusCode = status;
  response.end(body);
}

/**
 * Lists the headers of a backend server's answer for the caller.
 *
 * @param answer - The answer.
 * @returns Names and values in turn, without those of one connection.
 */
export function endToEndHeaders(answer: IncomingMessage): string[] {
  const lines: string[] = [];
  for (let index = 0; index + 1 < answer.rawHeaders.length; index += 2) {
    const name = answer.rawHeaders[index] ?? '';
    if (!HOP_BY_HOP_HEADERS.has(name.toLowerCase())) {
      lines.push(name, answer.rawHeaders[index + 1] ?? '');
    }
  }
  return lines;
}

/**
 * Sets header lines on a response.
 *
 * @param response - The caller's response.
 * @param lines - Names and values in turn.
 */
export function appendHeaders(response: ServerResponse, lines: readonly string[]): void {
  for (let index = 0; index + 1 < lines.length; index += 2) {
    response.appendHeader(lines[index] ?? '', lines[index + 1] ?? '');
  }
}
