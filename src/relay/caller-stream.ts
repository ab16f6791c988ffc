/** The caller's side of a stream: its response, and the times at which events were written to it. */
import { appendHeaders } from '../entry/entry-response.js';
import type { EntryRequest } from '../entry/entry-request.js';

export class CallerStream {
  readonly #request: EntryRequest;

  #firstEventAt: number | undefined;

  #lastEventAt: number | undefined;

  #longestPauseMilliseconds = 0;

  /** The last event that the caller has, where a further attempt resumes. */
  lastEventId: number | undefined;

  constructor(request: EntryRequest) {
    this.#request = request;
    this.lastEventId = request.metadata.lastEventId;
  }

  /** Whether the response to the caller has started. */
  get hasStarted(): boolean {
    return this.#firstEventAt !== undefined;
  }

  /** From the arrival of the request to its first event; undefined while there is none. */
  get firstEventMilliseconds(): number | undefined {
    return this.#firstEventAt === undefined
      ? undefined
      : this.#firstEventAt - this.#request.receivedAt;
  }

  /** The longest time between two writes of events; undefined while there is no event. */
  get longestPauseMilliseconds(): number | undefined {
    return this.hasStarted ? this.#longestPauseMilliseconds : undefined;
  }

  /** Since the last events were written; undefined while there is none. */
  get silenceMilliseconds(): number | undefined {
    return this.#lastEventAt === undefined ? undefined : performance.now() - this.#lastEventAt;
  }

  /**
   * Starts the response, unless an earlier attempt has done so.
   *
   * @param headers - The engine's end-to-end headers, alternating names and values.
   * @param status - The engine's status.
   */
  start(headers: readonly string[], status: number): void {
    if (this.hasStarted) return;
    const { response } = this.#request;
    this.#firstEventAt = performance.now();
    appendHeaders(response, headers);
    // Events of later attempts may follow, so the first response's length does not apply.
    response.removeHeader('Content-Length');
    response.statusCode = status;
  }

  /**
   * Writes events, waiting while the caller's connection is congested.
   *
   * @param bytes - One or more complete events.
   * @param lastEventId - Id of the last of them.
   */
  async write(bytes: Buffer, lastEventId: number | undefined): Promise<void> {
    const { response, signal } = this.#request;
    this.lastEventId = lastEventId;
    this.#recordPause();
    if (response.write(bytes) || signal.aborted) return;
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        response.off('drain', finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      response.once('drain', finish);
      signal.addEventListener('abort', finish, { once: true });
    });
  }

  #recordPause(): void {
    const now = performance.now();
    const pause = now - (this.#lastEventAt ?? now);
    this.#longestPauseMilliseconds = Math.max(this.#longestPauseMilliseconds, pause);
    this.#lastEventAt = now;
  }
}
