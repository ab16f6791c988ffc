/**
 * Bounds retries so that all instances together stay within the shared bound, each counting its
 * own and what peers last told. Answers a fault that fails many requests at once, which would
 * otherwise be sent again all over the fleet.
 */
import type { RetryBudgetSettings } from './entry-settings.js';

/** First tries and repeats of one service within the window. */
export type RetryCounts = [first: number, repeated: number];

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  readonly settings: RetryBudgetSettings;
  /** Other instances that may be alive, whether or not they can be heard. */
  readonly peerCount: () => number;
  /** What peers last told of a service, summed. */
  readonly peerCountsOf: (service: string) => RetryCounts;
  readonly now?: () => number;
}

interface WindowSlice {
  first: number;
  repeated: number;
}

/** The rest is kept back for what peers have not told yet. */
const USABLE_SHARE = 0.6;
/** A process that lives for less than a window knows nothing of what was used before its start. */
const STARTUP_USABLE_SHARE = 0.3;
const SLICES_PER_WINDOW = 20;
/** Repeats that an instance may add within a slice, whatever its part of what is left. */
const MINIMUM_RETRIES_PER_SLICE = 2;

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

  /** Notes the first try of a request to a service. */
  recordFirstAttempt(service: string): void {
    this.#currentSlice(service).first += 1;
  }

  /**
   * Takes one retry.
   *
   * @param service - The service to be asked again.
   * @returns Whether it may be.
   */
  tryAcquire(service: string): boolean {
    const { settings: budget, peerCountsOf: othersOf, peerCount: peers } = this.#options;
    const slice = this.#currentSlice(service);
    const [first, repeated] = this.#sum(service);
    const [othersFirst, othersRepeated] = othersOf(service);
    const isYoung = this.#now() - this.#startedAt < budget.windowMilliseconds;
    const share = isYoung ? STARTUP_USABLE_SHARE : USABLE_SHARE;
    const allowed = share * (budget.ratio * (first + othersFirst) + budget.minimumRetries);
    const left = allowed - repeated - othersRepeated;
    const part = Math.max(MINIMUM_RETRIES_PER_SLICE, left / (1 + peers()));
    if (left < 1 || slice.repeated + 1 > part) return false;
    slice.repeated += 1;
    return true;
  }

  /** What peers are told: the counts of each service within the window. */
  get counts(): Record<string, RetryCounts> {
    const entries = [...this.#slicesByService.keys()].map((service): [string, RetryCounts] => [
      service,
      this.#sum(service),
    ]);
    return Object.fromEntries(entries);
  }

  #sum(service: string): RetryCounts {
    this.#currentSlice(service);
    let first = 0;
    let repeated = 0;
    this.#slicesByService.get(service)?.forEach((slice) => {
      first += slice.first;
      repeated += slice.repeated;
    });
    return [first, repeated];
  }

  /** The current slice of the window; older ones are dropped. */
  #currentSlice(service: string): WindowSlice {
    const slices = this.#slicesByService.get(service) ?? new Map<number, WindowSlice>();
    this.#slicesByService.set(service, slices);
    const length = this.#options.settings.windowMilliseconds / SLICES_PER_WINDOW;
    const current = Math.floor(this.#now() / length);
    [...slices.keys()]
      .filter((at) => at <= current - SLICES_PER_WINDOW)
      .forEach((at) => slices.delete(at));
    const slice = slices.get(current) ?? { first: 0, repeated: 0 };
    slices.set(current, slice);
    return slice;
  }
}
