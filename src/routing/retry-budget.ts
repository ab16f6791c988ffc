/**
 * Limits retries to a share of first attempts, so that retries cannot multiply the load on backend
 * servers that are already failing.
 */

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** How many retries each first attempt adds to the budget. */
  readonly retriesPerFirstAttempt?: number;
  /** The largest budget in retries, which is also the initial one. */
  readonly maximum?: number;
}

export class RetryBudget {
  readonly #retriesPerFirstAttempt: number;

  readonly #maximum: number;

  #available: number;

  constructor(options: RetryBudgetOptions = {}) {
    const { retriesPerFirstAttempt = 0.1, maximum = 20 } = options;
    this.#retriesPerFirstAttempt = retriesPerFirstAttempt;
    this.#maximum = maximum;
    this.#available = maximum;
  }

  /** Records the first attempt of a request, which adds to the budget. */
  recordFirstAttempt(): void {
    this.#available = Math.min(this.#maximum, this.#available + this.#retriesPerFirstAttempt);
  }

  /**
   * Takes one retry from the budget, if one is left.
   *
   * @returns Whether the caller may retry.
   */
  tryTake(): boolean {
    if (this.#available < 1) return false;
    this.#available -= 1;
    return true;
  }
}
