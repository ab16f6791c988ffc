/**
 * Limits retries so that all instances together stay within one shared budget. Each instance counts
 * its own retries and those last reported by its peers. This protects the backend servers when a
 * fault fails many requests at once, which every instance would otherwise send again.
 */
import type { RetryBudgetSettings } from '../entry/entry-settings.js';

/** First attempts and retries of one service within the window. */
export type RetryCounts = [firstAttempts: number, retries: number];

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  readonly settings: RetryBudgetSettings;
  /** The number of other instances that may be alive, including those that cannot be reached. */
  readonly peerCount: () => number;
  /** The counts last reported by peers for a service, summed over all peers. */
  readonly peerCountsOf: (service: string) => RetryCounts;
  readonly now?: () => number;
}

/** The counts of one part of the sliding window. */
interface WindowSlice {
  firstAttempts: number;
  retries: number;
}

/** Share of the budget that is used; the rest covers retries that peers have not reported yet. */
const USABLE_SHARE = 0.6;
/**
 * Share that is used until the process has run for a whole window, as it does not know how much of
 * the budget was used before it started.
 */
const STARTUP_USABLE_SHARE = 0.3;
const SLICES_PER_WINDOW = 20;
/** Retries that an instance may make in a slice even where its share of the budget is smaller. */
const MINIMUM_RETRIES_PER_SLICE = 2;

/** The retry budget of one instance, kept for each service. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;

  readonly #now: () => number;

  readonly #startedAt: number;

  readonly #slicesByService = new Map<string, Map<number, WindowSlice>>();

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
    this.#startedAt = this.#now();
  }

  /** Counts the first attempt of a request, which adds to the budget. */
  recordFirstAttempt(service: string): void {
    this.#advanceToCurrentSlice(service).firstAttempts += 1;
  }

  /**
   * Uses one retry of the budget, if any is left.
   *
   * @param service - The service that the request would be sent to again.
   * @returns Whether the request may be retried.
   */
  tryAcquire(service: string): boolean {
    const { settings, peerCountsOf, peerCount } = this.#options;
    const slice = this.#advanceToCurrentSlice(service);
    const [firstAttempts, retries] = this.#sumSlices(service);
    const [peerFirstAttempts, peerRetries] = peerCountsOf(service);
    const isStartingUp = this.#now() - this.#startedAt < settings.windowMilliseconds;
    const share = isStartingUp ? STARTUP_USABLE_SHARE : USABLE_SHARE;
    const allowed =
      share * (settings.ratio * (firstAttempts + peerFirstAttempts) + settings.minimumRetries);
    const remaining = allowed - retries - peerRetries;
    const sliceLimit = Math.max(MINIMUM_RETRIES_PER_SLICE, remaining / (1 + peerCount()));
    if (remaining < 1 || slice.retries + 1 > sliceLimit) return false;
    slice.retries += 1;
    return true;
  }

  /** The counts of each service within the window, as reported to peers. */
  get counts(): Record<string, RetryCounts> {
    const entries = [...this.#slicesByService.keys()].map((service): [string, RetryCounts] => [
      service,
      this.#sumSlices(service),
    ]);
    return Object.fromEntries(entries);
  }

  #sumSlices(service: string): RetryCounts {
    this.#advanceToCurrentSlice(service);
    let firstAttempts = 0;
    let retries = 0;
    this.#slicesByService.get(service)?.forEach((slice) => {
      firstAttempts += slice.firstAttempts;
      retries += slice.retries;
    });
    return [firstAttempts, retries];
  }

  /** Returns the current slice of the window, and drops the slices that have left the window. */
  #advanceToCurrentSlice(service: string): WindowSlice {
    const slices = this.#slicesByService.get(service) ?? new Map<number, WindowSlice>();
    this.#slicesByService.set(service, slices);
    const sliceMilliseconds = this.#options.settings.windowMilliseconds / SLICES_PER_WINDOW;
    const currentIndex = Math.floor(this.#now() / sliceMilliseconds);
    [...slices.keys()]
      .filter((index) => index <= currentIndex - SLICES_PER_WINDOW)
      .forEach((index) => slices.delete(index));
    const slice = slices.get(currentIndex) ?? { firstAttempts: 0, retries: 0 };
    slices.set(currentIndex, slice);
    return slice;
  }
}
