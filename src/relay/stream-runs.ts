/**
 * Counts the backend servers on which one request may have run, for the limit that its route sets.
 * An attempt that was cut counts even if no event of it arrived, since the server may have begun to
 * run it while the cut was on its way. An instance that serves a request for a peer runs it on one server, as the
 * peer can't learn how many it were. Handles retries in quick succession, as after a stalled chain.
 */

/** Options of {@link StreamRuns}. */
export interface StreamRunsOptions {
  /** The maximum number of backend servers that may run the request; at least 1. */
  readonly maximumServers: number;
  /** What may have run the request before a peer passed it on: processes of servers, and peers. */
  readonly elsewhere?: readonly string[] | undefined;
  /** Whether a server's process is shown to have ended; such a one does not count. */
  readonly hasEnded: (processKey: string) => boolean;
  /** Whether it is open if a server's process has ended; false by default. */
  readonly mayHaveEnded?: (processKey: string) => boolean;
}

/** An attempt that may have run. */
interface PossibleRun {
  readonly processKey: string;
  /** Whether it did run. */
  readonly hadEvents: boolean;
  readonly wasElsewhere: boolean;
}

/** Servers on which an instance may run a request that a peer has passed on. */
const MAXIMUM_SERVERS_FOR_PEER = 1;

type RunCount = (runs: readonly PossibleRun[]) => number;

function countRuns({ length }: readonly PossibleRun[]): number {
  return length;
}

function countProcesses(runs: readonly PossibleRun[]): number {
  return new Set(runs.map(({ processKey }) => processKey)).size;
}

export class StreamRuns {
  readonly #options: StreamRunsOptions;

  readonly #runs: PossibleRun[];

  constructor(options: StreamRunsOptions) {
    const { elsewhere = [] } = options;
    this.#options = options;
    this.#runs = elsewhere.map((processKey) => ({
      processKey,
      hadEvents: true,
      wasElsewhere: true,
    }));
  }

  /**
   * Records an attempt that may have run.
   *
   * @param processKey - The process of the server that the request was sent to.
   * @param hadEvents - Whether the attempt failed after it had begun to answer, so that it did run.
   */
  record(processKey: string, hadEvents: boolean): void {
    this.#runs.push({ processKey, hadEvents, wasElsewhere: false });
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
  get #countedRuns(): readonly PossibleRun[] {
    return this.#runs.filter(({ processKey }) => !this.#options.hasEnded(processKey));
  }

  /** Processes of servers that are left out of the count since they have ended, for the log. */
  get endedProcessKeys(): string[] {
    const ended = this.#runs.filter(({ processKey }) => this.#options.hasEnded(processKey));
    return [...new Set(ended.map(({ processKey }) => processKey))];
  }

  /** Number of servers that may have run the request, without those that have ended. */
  get countedServers(): number {
    return countProcesses(this.#countedRuns);
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
    return !this.#isAtLimit(this.#countedRuns, countProcesses);
  }

  /** Whether as many servers as the limit allows have run the request for certain. */
  get isExhausted(): boolean {
    return this.#isAtLimit(this.#certainRuns, countRuns);
  }

  /**
   * Whether that stays so: runs of servers whose end is open may turn out not to count. A peer that passed the
   * request on is not kept waiting for that.
   */
  get isExhaustedForGood(): boolean {
    const { mayHaveEnded = () => false } = this.#options;
    const certain = this.#certainRuns;
    const lasting = certain.filter(({ processKey }) => !mayHaveEnded(processKey));
    return this.#isRouteAtLimit(lasting.length) || this.#isShareAtLimit(certain, countRuns);
  }

  #isAtLimit(runs: readonly PossibleRun[], count: RunCount): boolean {
    return this.#isRouteAtLimit(count(runs)) || this.#isShareAtLimit(runs, count);
  }

  #isRouteAtLimit(count: number): boolean {
    return count >= Math.max(1, this.#options.maximumServers);
  }

  /** Whether this instance has run as much as it may for a peer. */
  #isShareAtLimit(runs: readonly PossibleRun[], count: RunCount): boolean {
    if (!this.#options.elsewhere) return false;
    return count(runs.filter(({ wasElsewhere }) => !wasElsewhere)) >= MAXIMUM_SERVERS_FOR_PEER;
  }

  get #certainRuns(): readonly PossibleRun[] {
    return this.#countedRuns.filter(({ hadEvents }) => hadEvents);
  }

  /**
   * Whether one more server could run the request after an attempt on the given one.
   *
   * @param processKey - The process of the server that the request is on now.
   */
  allowsAnotherAfter(processKey: string): boolean {
    const open = { processKey, hadEvents: false, wasElsewhere: false };
    return !this.#isAtLimit([...this.#countedRuns, open], countProcesses);
  }
}
