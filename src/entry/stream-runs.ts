/**
 * Counts the backend servers on which one request may have run, for the limit that its route sets.
 * An attempt that was cut counts even if no event of it arrived, since the server may have begun to
 * run it while the cut was on its way. Handles retries in quick succession, as after a stalled chain.
 */

/** Options of {@link StreamRuns}. */
export interface StreamRunsOptions {
  /** The maximum number of backend servers that may run the request; at least 1. */
  readonly maximumServers: number;
  /** Whether a server is known to have ended or to be unreachable; such a server does not count. */
  readonly hasEnded: (serverId: string) => boolean;
}

export class StreamRuns {
  readonly #options: StreamRunsOptions;

  readonly #serverIds = new Set<string>();

  #total = 0;

  constructor(options: StreamRunsOptions) {
    this.#options = options;
  }

  /**
   * Records an attempt that may have run.
   *
   * @param serverId - Id of the server that the request was sent to.
   */
  record(serverId: string): void {
    this.#total += 1;
    this.#serverIds.add(serverId);
  }

  /** Number of attempts that may have run, several on one server included. */
  get total(): number {
    return this.#total;
  }

  /** Number of servers that may have run the request, without those that have ended. */
  get countedServers(): number {
    return [...this.#serverIds].filter((id) => !this.#options.hasEnded(id)).length;
  }

  /**
   * Whether the request may be sent to a server: one that may have run it before, or any other one
   * while the limit is not reached.
   *
   * @param serverId - Id of the server.
   */
  allows(serverId: string): boolean {
    if (this.#serverIds.has(serverId)) return true;
    return this.countedServers < Math.max(1, this.#options.maximumServers);
  }
}
