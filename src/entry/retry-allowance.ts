/**
 * Bounds this instance's retries so that all instances together stay within the shared bound:
 * each has its part of the fixed slack and a share of its own first tries. Answers a fault that
 * fails many requests at once, which would otherwise be sent again all over the fleet.
 */
import type { RetryBudgetSettings } from './entry-settings.js';

/** Options of {@link RetryAllowance}. */
export interface RetryAllowanceOptions {
  readonly budget: RetryBudgetSettings;
  /** How many instances share the slack. */
  readonly instances: () => number;
  readonly now?: () => number;
}

/** Instances may count the window differently, and may not know of each other yet. */
const SAFETY_SHARE = 0.6;

interface Window {
  first: number;
  repeated: number;
}

export class RetryAllowance {
  readonly #options: RetryAllowanceOptions;

  readonly #now: () => number;

  readonly #services = new Map<string, Map<number, Window>>();

  constructor(options: RetryAllowanceOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /** Notes the first try of a request to a service. */
  noteFirst(service: string): void {
    this.#slice(service).first += 1;
  }

  /**
   * Takes one retry.
   *
   * @param service - The service to be asked again.
   * @returns Whether it may be.
   */
  take(service: string): boolean {
    const { budget, instances } = this.#options;
    const slice = this.#slice(service);
    let first = 0;
    let repeated = 0;
    this.#services.get(service)?.forEach((window) => {
      first += window.first;
      repeated += window.repeated;
    });
    const allowed = SAFETY_SHARE * (budget.ratio * first + budget.slack / Math.max(1, instances()));
    if (repeated + 1 > allowed) return false;
    slice.repeated += 1;
    return true;
  }

  /** The current slice of the window; older ones are dropped. */
  #slice(service: string): Window {
    const slices = this.#services.get(service) ?? new Map<number, Window>();
    this.#services.set(service, slices);
    const length = this.#options.budget.windowMilliseconds / SLICES;
    const current = Math.floor(this.#now() / length);
    [...slices.keys()].filter((at) => at <= current - SLICES).forEach((at) => slices.delete(at));
    const slice = slices.get(current) ?? { first: 0, repeated: 0 };
    slices.set(current, slice);
    return slice;
  }
}

const SLICES = 10;
