/**
 * Counts the backend servers on which one request may have run, for the limit that its route sets.
 * An attempt that was cut counts even if no event of it arrived, since the server may have begun to
 * run it while the cut was on its way. Handles retries in quick succession, as after a stalled chain.
 */

/** Options of {@link StreamRuns}. */
export interface StreamRunsOptions {
  /** The maximum number of backend servers that may run the request; at least 1. */
  readonly maximumServers: number;
  /** Whether a server's process is shown to have ended; such a one does not count. */
  readonly hasEnded: (processKey: string) => boolean;
  /** Whether it is open if a server's process has ended; false by default. */
  readonly mayHaveEnded?: (processKey: string) => boolean;
}

export class StreamRuns {
  readonly #options: StreamRunsOptions;

  readonly #runs: { readonly processKey: string; readonly hadEvents: boolean }[] = [];

  constructor(options: StreamRunsOptions) {
    this.#options = options;
  }

  /**
   * Records an attempt that may have run.
   *
   * @param processKey - The process of the server that the request was sent to.
   * @param hadEvents - Whether the attempt failed after it had begun to answer, so that it did run.
   */
  record(processKey: string, hadEvents: boolean): void {
    this.#runs.push({ processKey, hadEvents });
  }

  /** Processes of the servers that may have run the request. */
  get processKeys(): string[] {
    return [...new Set(this.#runs.map(({ processKey }) => processKey))];
  }

  /** Number of attempts that may have run. */
  get total(): number {
    return this.#runs.length;
  }

  /** The attempts that may have run, without those on servers that have ended. */
  get #countedRuns(): readonly { readonly processKey: string; readonly hadEvents: boolean }[] {
    return this.#runs.filter(({ processKey }) => !this.#options.hasEnded(processKey));
  }

  /** Processes of servers that are left out of the count since they have ended, for the log. */
  get endedProcessKeys(): string[] {
    const ended = this.#runs.filter(({ processKey }) => this.#options.hasEnded(processKey));
    return [...new Set(ended.map(({ processKey }) => processKey))];
  }

  /** Number of servers that may have run the request, without those that have ended. */
  get countedServers(): number {
    return new Set(this.#countedRuns.map(({ processKey }) => processKey)).size;
  }

  /**
   * Whether the request may be sent to a server: to any while the limit is not reached, otherwise
   * only to one that may have run it, and only if fewer attempts than the limit have run for certain.
   *
   * @param processKey - The server's process.
   */
  allows(processKey: string): boolean {
    if (this.isExhausted) return false;
    if (this.#runs.some((run) => run.processKey === processKey)) return true;
    return this.countedServers < Math.max(1, this.#options.maximumServers);
  }

  /** Whether as many servers as the limit allows have run the request for certain. */
  get isExhausted(): boolean {
    return this.#certainRuns.length >= Math.max(1, this.#options.maximumServers);
  }

  /** Whether that stays so: runs of servers whose end is open may turn out not to count. */
  get isExhaustedForGood(): boolean {
    const { maximumServers, mayHaveEnded = () => false } = this.#options;
    const lasting = this.#certainRuns.filter(({ processKey }) => !mayHaveEnded(processKey));
    return lasting.length >= Math.max(1, maximumServers);
  }

  get #certainRuns(): readonly { readonly processKey: string }[] {
    return this.#countedRuns.filter(({ hadEvents }) => hadEvents);
  }

  /**
   * Whether one more server could run the request after an attempt on the given one.
   *
   * @param processKey - The process of the server that the request is on now.
   */
  allowsAnotherAfter(processKey: string): boolean {
    const counted = new Set(this.#countedRuns.map((run) => run.processKey));
    return counted.add(processKey).size < Math.max(1, this.#options.maximumServers);
  }
}
