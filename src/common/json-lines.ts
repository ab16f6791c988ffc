/** Reading a stream of JSON values, one a line. */
import type { IncomingMessage } from 'node:http';
import { HttpRequestError, getErrorMessage } from './http-client.js';

const MAXIMUM_LINE_CHARACTERS = 1024 * 1024;

/** Options of {@link readJsonLines}. */
export interface JsonLinesOptions {
  /** The wait for the next line after which {@link shouldKeepWaiting} is asked, in milliseconds. */
  readonly idleTimeoutMilliseconds: () => number;
  /** Tells whether to go on waiting after that many milliseconds of silence. */
  readonly shouldKeepWaiting?: (idleMilliseconds: number) => Promise<boolean>;
}

/**
 * Yields each line's value as it arrives.
 *
 * @param stream - The answer to read.
 * @param options - The longest wait between lines, asked anew after each line.
 * @returns The values in order.
 * @throws HttpCallError when the stream breaks off, stalls or holds no JSON.
 */
export async function* readJsonLines(
  stream: IncomingMessage,
  options: JsonLinesOptions,
): AsyncGenerator<unknown, void, undefined> {
  let pending = '';
  let heardAt = performance.now();
  const review = async (): Promise<void> => {
    const reviewed = heardAt;
    const mayGoOn = await options.shouldKeepWaiting?.(performance.now() - heardAt);
    if (heardAt !== reviewed || stream.destroyed) return;
    if (!mayGoOn) stream.destroy(new Error('The stream stalled.'));
    else timer = setTimeout(startReview, options.idleTimeoutMilliseconds());
  };
  const startReview = (): void => {
    void review();
  };
  let timer = setTimeout(startReview, options.idleTimeoutMilliseconds());
  stream.setEncoding('utf8');
  try {
    for await (const part of stream) {
      pending += part as string;
      const lines = pending.split('\n');
      pending = lines.pop() ?? '';
      if (pending.length > MAXIMUM_LINE_CHARACTERS) throw new Error('A line is too long.');
      for (const line of lines) {
        clearTimeout(timer);
        heardAt = performance.now();
        if (line !== '') yield JSON.parse(line) as unknown;
        heardAt = performance.now();
        timer = setTimeout(startReview, options.idleTimeoutMilliseconds());
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
