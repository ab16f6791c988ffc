/** Reads HTTP responses that stream JSON values, one on each line. */
import type { IncomingMessage } from 'node:http';
import { HttpRequestError, getErrorMessage } from './http-client.js';

const MAXIMUM_LINE_CHARACTERS = 1024 * 1024;

/** Options of {@link readJsonLines}. */
export interface JsonLinesOptions {
  /** How long to wait for a line before {@link shouldKeepWaiting} is called, in milliseconds. */
  readonly idleTimeoutMilliseconds: () => number;
  /** Tells whether to keep waiting after so many milliseconds without a line; without it, never. */
  readonly shouldKeepWaiting?: (idleMilliseconds: number) => Promise<boolean>;
}

/**
 * Yields the value of each line as it arrives. Time that the consumer spends on a value does not count
 * as idle.
 *
 * @param stream - The response to read; it is destroyed when reading ends.
 * @param options - The idle timeout, read again after each line.
 * @returns The values in order; empty lines are skipped.
 * @throws HttpRequestError when the stream ends early, is idle for too long, or holds invalid JSON or an
 *   overlong line.
 */
export async function* readJsonLines(
  stream: IncomingMessage,
  options: JsonLinesOptions,
): AsyncGenerator<unknown, void, undefined> {
  let incompleteLine = '';
  let lastLineAt = performance.now();
  const checkIdleStream = async (): Promise<void> => {
    const checkedLineAt = lastLineAt;
    const canContinue = await options.shouldKeepWaiting?.(performance.now() - lastLineAt);
    if (lastLineAt !== checkedLineAt || stream.destroyed) return;
    if (!canContinue) stream.destroy(new Error('The stream stalled.'));
    else timer = setTimeout(startIdleCheck, options.idleTimeoutMilliseconds());
  };
  const startIdleCheck = (): void => {
    void checkIdleStream();
  };
  let timer = setTimeout(startIdleCheck, options.idleTimeoutMilliseconds());
  stream.setEncoding('utf8');
  try {
    for await (const chunk of stream) {
      incompleteLine += chunk as string;
      const lines = incompleteLine.split('\n');
      incompleteLine = lines.pop() ?? '';
      if (incompleteLine.length > MAXIMUM_LINE_CHARACTERS) throw new Error('A line is too long.');
      for (const line of lines) {
        clearTimeout(timer);
        lastLineAt = performance.now();
        if (line !== '') yield JSON.parse(line) as unknown;
        lastLineAt = performance.now();
        timer = setTimeout(startIdleCheck, options.idleTimeoutMilliseconds());
      }
    }
  } catch (error) {
    throw new HttpRequestError('answering', getErrorMessage(error));
  } finally {
    stream.destroy();
    clearTimeout(timer);
  }
  if (!stream.complete) throw new HttpRequestError('answering', 'The stream broke off.');
}
