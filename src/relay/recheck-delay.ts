/** Spaces the looks at a silent stream that stayed open: each delay is twice as long as the one before. */

const FIRST_DELAY_MILLISECONDS = 300;
const MAXIMUM_DELAY_MILLISECONDS = 1200;

export class RecheckDelay {
  #until = 0;

  #nextMilliseconds = FIRST_DELAY_MILLISECONDS;

  /** Whether the stream is not to be looked at yet. */
  get isInEffect(): boolean {
    return performance.now() < this.#until;
  }

  /** Puts the next look off. */
  extend(): void {
    this.#until = performance.now() + this.#nextMilliseconds;
    this.#nextMilliseconds = Math.min(MAXIMUM_DELAY_MILLISECONDS, 2 * this.#nextMilliseconds);
  }

  /** Ends the delay, and begins with the shortest one the next time. */
  reset(): void {
    this.#until = 0;
    this.#nextMilliseconds = FIRST_DELAY_MILLISECONDS;
  }
}
