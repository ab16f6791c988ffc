/** Limits how many tasks run concurrently and measures how long its permits are in use. */
export class Semaphore {
  #freePermits: number;

  readonly #waiting: (() => void)[] = [];

  #usedPermits = 0;

  #permitMilliseconds = 0;

  #changedAt = performance.now();

  constructor(permits: number) {
    this.#freePermits = permits;
  }

  /** The total time that permits have been in use: two permits used for 1 ms count as 2 ms. */
  get permitMilliseconds(): number {
    this.#changeUsedPermits(0);
    return this.#permitMilliseconds;
  }

  #changeUsedPermits(change: number): void {
    const now = performance.now();
    this.#permitMilliseconds += this.#usedPermits * (now - this.#changedAt);
    this.#changedAt = now;
    this.#usedPermits += change;
  }

  /** Runs a task as soon as a permit is free; waiting tasks run in the order of their calls. */
  async run<Result>(task: () => Promise<Result>): Promise<Result> {
    if (this.#freePermits > 0) this.#freePermits -= 1;
    else {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    }
    try {
      this.#changeUsedPermits(1);
      return await task();
    } finally {
      this.#changeUsedPermits(-1);
      const next = this.#waiting.shift();
      if (next) next();
      else this.#freePermits += 1;
    }
  }
}
