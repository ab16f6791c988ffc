/**
 * Limits how many requests this instance runs concurrently on one backend server. The limit starts
 * at this instance's share of the server's slots. It is multiplied by a factor below 1 when the
 * server refuses or queues requests, and grows again with successful ones.
 */

/** Options of {@link ConcurrencyLimit}. */
export interface ConcurrencyLimitOptions {
  /** The first limit, in requests; the maximum by default. */
  readonly initial?: number;
  readonly minimum?: number;
  /** This instance's share of the server's slots. */
  readonly maximum?: number;
  readonly monotonicMilliseconds?: () => number;
}

const REFUSAL_DECREASE_FACTOR = 0.85;
const QUEUEING_DECREASE_FACTOR = 0.95;
/** Many requests report the same overload; the limit is reduced only once for all of them. */
const MINIMUM_DECREASE_INTERVAL_MILLISECONDS = 100;
/** The limit only grows while at least this share of it is in use. */
const SATURATED_SHARE = 0.8;

export class ConcurrencyLimit {
  readonly #minimum: number;

  readonly #now: () => number;

  #maximum: number;

  #limit: number;

  #lastDecreaseAt = -Infinity;

  constructor(options: ConcurrencyLimitOptions = {}) {
    const { initial = Infinity, minimum = 1, maximum = 16, monotonicMilliseconds } = options;
    this.#minimum = minimum;
    this.#maximum = maximum;
    this.#limit = initial;
    this.#now = monotonicMilliseconds ?? (() => performance.now());
  }

  /** The current limit, rounded down to whole requests. */
  get value(): number {
    return Math.floor(this.#effectiveLimit);
  }

  /**
   * Sets the highest value of the limit.
   *
   * @param maximum - This instance's share of the server's slots, in requests.
   */
  setMaximum(maximum: number): void {
    this.#maximum = Math.max(this.#minimum, maximum);
  }

  /**
   * Records a successful request, which lets the limit grow by about one per full round of
   * requests.
   *
   * @param inFlight - The number of requests that were running, including this one.
   */
  recordSuccess(inFlight: number): void {
    if (inFlight < this.#effectiveLimit * SATURATED_SHARE) return;
    this.#limit += 1 / this.#effectiveLimit;
  }

  /** Records that the server refused a request because it had no free slot. */
  recordRefusal(): void {
    this.#decrease(REFUSAL_DECREASE_FACTOR);
  }

  /** Records that the server reported a long queue. */
  recordQueueing(): void {
    this.#decrease(QUEUEING_DECREASE_FACTOR);
  }

  #decrease(factor: number): void {
    const now = this.#now();
    if (now - this.#lastDecreaseAt < MINIMUM_DECREASE_INTERVAL_MILLISECONDS) return;
    this.#lastDecreaseAt = now;
    this.#limit = Math.max(this.#minimum, this.#effectiveLimit * factor);
  }

  get #effectiveLimit(): number {
    return Math.min(this.#limit, this.#maximum);
  }
}
