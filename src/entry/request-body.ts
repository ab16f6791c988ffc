/** Reads the bodies of callers' requests. */
import type { IncomingMessage } from 'node:http';

/** A body that was not read to its end; the connection can still carry an answer. */
export class UnreadBodyError extends Error {
  /** Whether it exceeds the configured limit, or its request was aborted before it had arrived. */
  readonly reason: 'tooLarge' | 'aborted';

  constructor(reason: UnreadBodyError['reason']) {
    super(`The request body was not read: ${reason}.`);
    this.reason = reason;
  }
}

async function readParts(incoming: IncomingMessage, maximumBytes: number): Promise<Buffer> {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of incoming) {
    const part = chunk as Buffer;
    bytes += part.length;
    if (bytes > maximumBytes) throw new UnreadBodyError('tooLarge');
    parts.push(part);
  }
  return Buffer.concat(parts);
}

/**
 * Reads a request's body. The connection is left open when the signal aborts, so that the request can be answered.
 *
 * @param incoming - The request.
 * @param maximumBytes - The configured limit.
 * @param signal - Ends the wait for the body.
 * @returns The whole body.
 * @throws UnreadBodyError, or the error with which the connection broke.
 */
export function readBody(
  incoming: IncomingMessage,
  maximumBytes: number,
  signal: AbortSignal,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    signal.addEventListener('abort', () => reject(new UnreadBodyError('aborted')), { once: true });
    readParts(incoming, maximumBytes).then(resolve, reject);
  });
}
