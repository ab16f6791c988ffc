/** Bounds retries to a share of first tries, so that retries can't make a fault grow. */

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries earned by each first try. */
  readonly share?: number;
  /** The most retries that can be saved up. */
  readonly maximum?: number;
}

export class RetryBudget {
  readonly #share: number;

  readonly #maximum: number;

  #saved: number;

  constructor(options: RetryBudgetOptions = {}) {
    const { share = 0.1, maximum = 20 } = options;
    this.#share = share;
    this.#maximum = maximum;
    this.#saved = maximum;
  }

  /** Notes a first try. */
  recordFirstAttempt(): void {
    this.#saved = Math.min(this.#maximum, this.#saved + this.#share);
  }

  /**
   * Takes one retry out of the budget.
   *
   * @returns Whether there was one.
   */
  tryTake(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
