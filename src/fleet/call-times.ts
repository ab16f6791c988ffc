/**
 * Average call duration of each backend server of a plain service (one without model engines), so
 * that slow servers get fewer requests. Handles one slow server among few, and servers that become
 * slow only when they are nearly full.
 */

/** Times are in milliseconds on the monotonic clock. */
interface ServerTimes {
  averageMilliseconds: number;
  measuredAt: number;
  /** Running and waiting requests, as the server last reported. */
  reportedLoad: number;
  reportedAt: number;
}

/** Weight of a new measurement in the exponential moving average. */
const NEW_MEASUREMENT_WEIGHT = 0.3;
/** Without new measurements the average moves halfway back to the default in this time. */
const HALF_LIFE_MILLISECONDS = 4000;
const LOAD_REPORT_MAX_AGE_MILLISECONDS = 500;
const DEFAULT_MILLISECONDS = 50;

export class CallTimes {
  readonly #times = new Map<string, ServerTimes>();

  readonly #now: () => number;

  constructor(now: () => number = () => performance.now()) {
    this.#now = now;
  }

  /**
   * Records the duration of a call.
   *
   * @param id - Id of the server.
   * @param milliseconds - Time from sending the request to the complete answer or the failure.
   * @param load - Running and waiting requests that the server reported, if it did.
   */
  record(id: string, milliseconds: number, load: number | undefined): void {
    const now = this.#now();
    const average = this.expectedMilliseconds(id);
    this.#times.set(id, {
      averageMilliseconds: average + NEW_MEASUREMENT_WEIGHT * (milliseconds - average),
      measuredAt: now,
      reportedLoad: load ?? 0,
      reportedAt: now,
    });
  }

  /**
   * Estimates the duration of the next call.
   *
   * @param id - Id of the server.
   * @returns Milliseconds; 50 for a server without measurements.
   */
  expectedMilliseconds(id: string): number {
    const known = this.#times.get(id);
    if (!known) return DEFAULT_MILLISECONDS;
    const age = this.#now() - known.measuredAt;
    const weight = 0.5 ** (age / HALF_LIFE_MILLISECONDS);
    return DEFAULT_MILLISECONDS + weight * (known.averageMilliseconds - DEFAULT_MILLISECONDS);
  }

  /**
   * Returns the load that a server last reported.
   *
   * @param id - Id of the server.
   * @returns Running and waiting requests; 0 if there is no report from the last 500 ms.
   */
  reportedLoad(id: string): number {
    const known = this.#times.get(id);
    if (!known || this.#now() - known.reportedAt > LOAD_REPORT_MAX_AGE_MILLISECONDS) return 0;
    return known.reportedLoad;
  }

  /** Discards the measurements of a server, since another process has its id now. */
  forget(id: string): void {
    this.#times.delete(id);
  }

  /** Discards the measurements of servers that are no longer registered. */
  retain(isRegistered: (id: string) => boolean): void {
    [...this.#times.keys()]
      .filter((id) => !isRegistered(id))
      .forEach((id) => this.#times.delete(id));
  }
}
