/**
 * How long plain services' servers take, so that slow ones get less. Answers one slow server among
 * few, and a server that turns slow only when it is nearly full.
 */

interface ServerTimes {
  milliseconds: number;
  at: number;
  /** Running and waiting, as the server last said. */
  reported: number;
  reportedAt: number;
}

/** The share of a new measurement in the average. */
const NEW_SHARE = 0.3;
/** An average that nothing confirms loses half its weight in this time. */
const HALF_LIFE_MILLISECONDS = 4000;
const REPORT_KEPT_MILLISECONDS = 500;
const TYPICAL_MILLISECONDS = 50;

export class CallTimes {
  readonly #times = new Map<string, ServerTimes>();

  readonly #now: () => number;

  constructor(now: () => number = () => performance.now()) {
    this.#now = now;
  }

  /**
   * Notes how long a call took.
   *
   * @param id - The server.
   * @param milliseconds - From sending the request to the whole answer.
   * @param load - Requests that the server said it has, running or waiting.
   */
  record(id: string, milliseconds: number, load: number | undefined): void {
    const now = this.#now();
    const average = this.expectedMilliseconds(id);
    this.#times.set(id, {
      milliseconds: average + NEW_SHARE * (milliseconds - average),
      at: now,
      reported: load ?? 0,
      reportedAt: now,
    });
  }

  /**
   * Estimates a call's time.
   *
   * @param id - The server.
   * @returns Milliseconds.
   */
  expectedMilliseconds(id: string): number {
    const known = this.#times.get(id);
    if (!known) return TYPICAL_MILLISECONDS;
    const age = this.#now() - known.at;
    const weight = 0.5 ** (age / HALF_LIFE_MILLISECONDS);
    return TYPICAL_MILLISECONDS + weight * (known.milliseconds - TYPICAL_MILLISECONDS);
  }

  /**
   * Gives the load that a server last reported.
   *
   * @param id - The server.
   * @returns Requests running or waiting, 0 when nothing fresh is known.
   */
  reportedLoad(id: string): number {
    const known = this.#times.get(id);
    if (!known || this.#now() - known.reportedAt > REPORT_KEPT_MILLISECONDS) return 0;
    return known.reported;
  }

  /** Forgets servers that are no longer registered. */
  retain(isRegistered: (id: string) => boolean): void {
    [...this.#times.keys()]
      .filter((id) => !isRegistered(id))
      .forEach((id) => this.#times.delete(id));
  }
}
