/** Measured times between data centres, one way, in milliseconds. */

const SAME_DATA_CENTRE_MILLISECONDS = 0.1;
const FIRST_ESTIMATE_MILLISECONDS = 0.5;
const WEIGHT = 0.2;

export class LinkLatencies {
  readonly #measured = new Map<string, Map<string, number>>();

  /**
   * Estimates the time of a link.
   *
   * @param from - A data centre.
   * @param to - A data centre.
   * @returns Milliseconds one way.
   */
  oneWayMilliseconds(from: string, to: string): number {
    const known = this.#measured.get(from)?.get(to) ?? this.#measured.get(to)?.get(from);
    if (known !== undefined) return known;
    return from === to ? SAME_DATA_CENTRE_MILLISECONDS : FIRST_ESTIMATE_MILLISECONDS;
  }

  /**
   * Takes in a measurement.
   *
   * @param from - A data centre.
   * @param to - A data centre.
   * @param milliseconds - The time one way.
   */
  recordMeasurement(from: string, to: string, milliseconds: number): void {
    const estimate = this.oneWayMilliseconds(from, to);
    const measured = this.#measured.get(from) ?? new Map<string, number>();
    measured.set(to, estimate + WEIGHT * (milliseconds - estimate));
    this.#measured.set(from, measured);
  }
}
