/** Reads the bodies of callers' requests. */
import type { IncomingMessage } from 'node:http';
import { ByteCollector } from '../common/byte-collector.js';
import type { RequestMemory } from '../memory/request-memory.js';

/** A body that was not read to its end; the connection can still carry an answer. */
export class UnreadBodyError extends Error {
  /**
   * Whether it exceeds the configured limit, its request was aborted before it had arrived, or the instance holds
   * too many bytes.
   */
  readonly reason: 'tooLarge' | 'aborted' | 'memoryExceeded';

  constructor(reason: UnreadBodyError['reason']) {
    super(`The request body was not read: ${reason}.`);
    this.reason = reason;
  }
}

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  /** The configured limit. */
  readonly maximumBytes: number;
  /** Where its bytes are counted. */
  readonly memory: Pick<RequestMemory, 'hold'>;
  /** Ends the wait for the body. */
  readonly signal: AbortSignal;
}

/** Options of {@link readParts}. */
interface ReadPartsOptions extends Omit<ReadBodyOptions, 'signal'> {
  readonly onGivenUp: () => void;
}

/** Reads a body. What arrives after it was given up is read as well, so that its connection can be used on. */
async function readParts(
  incoming: IncomingMessage,
  { maximumBytes, memory, onGivenUp }: ReadPartsOptions,
): Promise<Buffer> {
  const body = new ByteCollector();
  let isGivenUp = false;
  const held = memory.hold('requestBody', () => {
    isGivenUp = true;
    body.clear();
    onGivenUp();
  });
  let bytes = 0;
  for await (const chunk of incoming) {
    const part = chunk as Buffer;
    bytes += part.length;
    if (bytes > maximumBytes) throw new UnreadBodyError('tooLarge');
    if (!isGivenUp) body.append(part);
    held.resize(bytes);
  }
  held.keep();
  return body.take();
}

/**
 * Reads a request's body. The connection is left open when the signal aborts, so that the request can be answered.
 *
 * @param incoming - The request.
 * @param options - What bounds the body.
 * @returns The whole body.
 * @throws UnreadBodyError, or the error with which the connection broke.
 */
export function readBody(
  incoming: IncomingMessage,
  { maximumBytes, memory, signal }: ReadBodyOptions,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const fail = (reason: UnreadBodyError['reason']): void => reject(new UnreadBodyError(reason));
    signal.addEventListener('abort', () => fail('aborted'), { once: true });
    const onGivenUp = (): void => fail('memoryExceeded');
    readParts(incoming, { maximumBytes, memory, onGivenUp }).then(resolve, reject);
  });
}
