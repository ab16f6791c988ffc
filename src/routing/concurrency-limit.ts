/**
 * How many requests this instance keeps running at one backend server: its part of the server's
 * slots, and less once the server refused, until successes have made up for that.
 */

/** Options of {@link ConcurrencyLimit}. */
export interface ConcurrencyLimitOptions {
  readonly initial?: number;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly monotonicMilliseconds?: () => number;
}

const REFUSAL_FACTOR = 0.85;
const QUEUEING_FACTOR = 0.95;
/** One overload is answered by one cut, however many requests report it. */
const CUT_SPACING_MILLISECONDS = 100;
const USED_UP_SHARE = 0.8;

export class ConcurrencyLimit {
  readonly #minimum: number;

  readonly #monotonic: () => number;

  #maximum: number;

  #limit: number;

  #cutAt = -Infinity;

  constructor(options: ConcurrencyLimitOptions = {}) {
    const { initial = Infinity, minimum = 1, maximum = 16, monotonicMilliseconds } = options;
    this.#minimum = minimum;
    this.#maximum = maximum;
    this.#limit = initial;
    this.#monotonic = monotonicMilliseconds ?? (() => performance.now());
  }

  /** The limit as a whole number of requests. */
  get value(): number {
    return Math.floor(this.#effective);
  }

  /**
   * Sets the highest limit: this instance's part of a server's slots.
   *
   * @param maximum - The most that the limit may grow to.
   */
  setMaximum(maximum: number): void {
    this.#maximum = Math.max(this.#minimum, maximum);
  }

  /**
   * Notes that a request ended well.
   *
   * @param inFlight - How many were running, that one included.
   */
  recordSuccess(inFlight: number): void {
    if (inFlight < this.#effective * USED_UP_SHARE) return;
    this.#limit += 1 / this.#effective;
  }

  /** Notes that the server refused a request for want of room. */
  recordRefusal(): void {
    this.#cut(REFUSAL_FACTOR);
  }

  /** Notes that the server reported queued requests. */
  recordQueueing(): void {
    this.#cut(QUEUEING_FACTOR);
  }

  #cut(factor: number): void {
    const now = this.#monotonic();
    if (now - this.#cutAt < CUT_SPACING_MILLISECONDS) return;
    this.#cutAt = now;
    this.#limit = Math.max(this.#minimum, this.#effective * factor);
  }

  get #effective(): number {
    return Math.min(this.#limit, this.#maximum);
  }
}
