/**
 * Remembers how many requests a data centre had at once, so that layers are placed for its load and not
 * only for cover. Handles load that changes within seconds: a placement that was planned in a short lull
 * would be short of KV cache when the load comes back.
 */

/** Options of {@link PeakDemand}. */
export interface PeakDemandOptions {
  readonly now?: () => number;
}

/** A peak loses half of its height in this time. */
const HALF_LIFE_MILLISECONDS = 10_000;

export class PeakDemand {
  readonly #now: () => number;

  readonly #peaks = new Map<string, { requests: number; at: number }>();

  constructor({ now = () => performance.now() }: PeakDemandOptions = {}) {
    this.#now = now;
  }

  /**
   * Records the requests that run now.
   *
   * @param group - Name of the service and data centre.
   * @param requests - Number of requests, which may be a fraction.
   */
  record(group: string, requests: number): void {
    if (requests >= this.peak(group)) this.#peaks.set(group, { requests, at: this.#now() });
  }

  /** Returns the highest number of requests lately; older ones count less. */
  peak(group: string): number {
    const known = this.#peaks.get(group);
    if (!known) return 0;
    return known.requests * 0.5 ** ((this.#now() - known.at) / HALF_LIFE_MILLISECONDS);
  }
}
