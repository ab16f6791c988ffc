/** Estimates the one-way latency between data centres from measurements. */

const SAME_DATA_CENTRE_MILLISECONDS = 0.1;
const INITIAL_ESTIMATE_MILLISECONDS = 0.5;
const SMOOTHING_WEIGHT = 0.2;

/** Keeps a moving average per ordered pair of data centres; a missing one uses the reverse pair. */
export class LinkLatencies {
  readonly #estimates = new Map<string, Map<string, number>>();

  /**
   * Estimates the latency of a link.
   *
   * @param from - The id of the first data centre.
   * @param to - The id of the second data centre.
   * @returns The one-way latency in milliseconds; a default if the link was never measured.
   */
  estimateOneWayMilliseconds(from: string, to: string): number {
    const measured = this.#estimates.get(from)?.get(to) ?? this.#estimates.get(to)?.get(from);
    if (measured !== undefined) return measured;
    return from === to ? SAME_DATA_CENTRE_MILLISECONDS : INITIAL_ESTIMATE_MILLISECONDS;
  }

  /**
   * Adds a measurement to the moving average of a link.
   *
   * @param from - The id of the first data centre.
   * @param to - The id of the second data centre.
   * @param milliseconds - The measured one-way latency.
   */
  recordMeasurement(from: string, to: string, milliseconds: number): void {
    const estimate = this.estimateOneWayMilliseconds(from, to);
    const estimatesFrom = this.#estimates.get(from) ?? new Map<string, number>();
    estimatesFrom.set(to, estimate + SMOOTHING_WEIGHT * (milliseconds - estimate));
    this.#estimates.set(from, estimatesFrom);
  }
}
