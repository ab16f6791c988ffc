/**
 * Measures how late this process runs its timers. Handles an instance that is short of processor time: whoever reads
 * why a request ended or a peer was lost has to tell the delay of others from its own.
 */

/** Options of {@link EventLoopDelay}. */
export interface EventLoopDelayOptions {
  /** Called with each delay, in milliseconds. */
  readonly onDelay?: (milliseconds: number) => void;
  /** Current time on the monotonic clock, in milliseconds. */
  readonly now?: () => number;
}

const INTERVAL_MILLISECONDS = 100;
const BUCKET_MILLISECONDS = 1000;
/** As long as the longest requests last. */
const BUCKETS = 32;

/** The longest delay within one second. */
interface Bucket {
  readonly startedAt: number;
  longestMilliseconds: number;
}

export class EventLoopDelay {
  readonly #options: EventLoopDelayOptions;

  readonly #now: () => number;

  /** The newest is the last one. */
  readonly #buckets: Bucket[] = [];

  #dueAt: number;

  constructor(options: EventLoopDelayOptions = {}) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
    this.#dueAt = this.#now() + INTERVAL_MILLISECONDS;
  }

  /**
   * Measures until the signal aborts.
   *
   * @param signal - Ends the measurement.
   */
  start(signal: AbortSignal): void {
    this.#dueAt = this.#now() + INTERVAL_MILLISECONDS;
    const timer = setInterval(() => this.recordTick(), INTERVAL_MILLISECONDS);
    signal.addEventListener('abort', () => clearInterval(timer), { once: true });
  }

  /** Notes that the timer has run. */
  recordTick(): void {
    const now = this.#now();
    const milliseconds = Math.max(0, now - this.#dueAt);
    this.#dueAt = now + INTERVAL_MILLISECONDS;
    const bucket = this.#getBucket(now);
    bucket.longestMilliseconds = Math.max(bucket.longestMilliseconds, milliseconds);
    this.#options.onDelay?.(milliseconds);
  }

  /**
   * The longest delay since a time, in whole milliseconds. Includes the one that lasts now, and may include one of
   * the second before.
   *
   * @param since - The time, on the monotonic clock.
   */
  longestSince(since: number): number {
    const current = Math.max(0, this.#now() - this.#dueAt);
    const longest = this.#buckets
      .filter(({ startedAt }) => startedAt + BUCKET_MILLISECONDS > since)
      .map(({ longestMilliseconds }) => longestMilliseconds);
    return Math.round(Math.max(current, ...longest));
  }

  #getBucket(now: number): Bucket {
    const last = this.#buckets.at(-1);
    if (last && now < last.startedAt + BUCKET_MILLISECONDS) return last;
    const next = { startedAt: now, longestMilliseconds: 0 };
    this.#buckets.push(next);
    if (this.#buckets.length > BUCKETS) this.#buckets.shift();
    return next;
  }
}
