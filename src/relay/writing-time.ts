/**
 * Tells whether engines had been writing a stream for a while, so that beginning it does not end them. Handles
 * streams whose events are far apart: an engine has lived until its connection ended, not just until its last event.
 */

/** Options of {@link WritingTime}. */
export interface WritingTimeOptions {
  /** Called once, when events show that an engine has been writing for a while; with when it began. */
  readonly onWritten: (beganAt: number) => void;
}

/** An engine that goes on for this long after the first event of a stream isn't ended by beginning it. */
const WRITTEN_AFTER_MILLISECONDS = 300;

/** The time for which engines write one stream, over its attempts. All times are on the monotonic clock. */
export class WritingTime {
  readonly #onWritten: (beganAt: number) => void;

  #beganAt: number | undefined;

  /** How long the last attempt waited for the caller, in milliseconds; what arrives meanwhile is seen late. */
  #blockedMilliseconds = 0;

  #wasWritten = false;

  /** The process of the engine that wrote for a while until its connection ended, in the last attempt. */
  #lastingProcess: string | undefined;

  constructor({ onWritten }: WritingTimeOptions) {
    this.#onWritten = onWritten;
  }

  /** Whether events have arrived in the attempt that was started last. */
  get hasBegun(): boolean {
    return this.#beganAt !== undefined;
  }

  /**
   * Whether an engine has been writing for a while: this one until its connection ended, or any by its events.
   *
   * @param processKey - The engine's process.
   */
  wasWrittenAt(processKey: string): boolean {
    return this.#wasWritten || this.#lastingProcess === processKey;
  }

  /** Forgets the attempt before, except that it showed that an engine had been writing for a while. */
  startAttempt(): void {
    this.#beganAt = undefined;
    this.#blockedMilliseconds = 0;
    this.#lastingProcess = undefined;
  }

  /**
   * Notes that events have arrived.
   *
   * @param beganAt - When the answer began; the first call of an attempt counts.
   * @param now - The time.
   */
  recordEvents(beganAt: number, now: number): void {
    this.#beganAt ??= beganAt;
    if (now - this.#beganAt >= WRITTEN_AFTER_MILLISECONDS) this.#recordWritten(this.#beganAt);
  }

  /**
   * Notes that the stream had to wait for its caller.
   *
   * @param milliseconds - How long.
   */
  recordBlocked(milliseconds: number): void {
    this.#blockedMilliseconds += milliseconds;
  }

  /**
   * Notes that the engine's connection has ended.
   *
   * @param processKey - The engine's process.
   * @param now - The time.
   */
  recordConnectionEnd(processKey: string, now: number): void {
    if (this.#beganAt === undefined) return;
    const lasted = now - this.#beganAt - this.#blockedMilliseconds;
    if (lasted >= WRITTEN_AFTER_MILLISECONDS) this.#lastingProcess = processKey;
  }

  /** Notes that the stream is whole. */
  recordCompletion(): void {
    if (this.#beganAt !== undefined) this.#recordWritten(this.#beganAt);
  }

  #recordWritten(beganAt: number): void {
    if (this.#wasWritten) return;
    this.#wasWritten = true;
    this.#onWritten(beganAt);
  }
}
