/**
 * Requests that were under way when backend servers died, by content. One that was there at three
 * deaths is not sent on again. Answers a request that crashes whatever runs it and comes again.
 */
import type { Logger } from '../telemetry/log.js';

/** Options of {@link CrashRecords}. */
export interface CrashRecordsOptions {
  readonly log: Logger;
  readonly now?: () => number;
}

/** Deaths by content, for peers. */
export type CrashList = Record<string, string[]>;

export const MAXIMUM_CRASHES = 3;
const KEPT_MILLISECONDS = 120_000;
const MAXIMUM_CONTENTS = 200;

interface Deaths {
  readonly servers: Set<string>;
  at: number;
}

export class CrashRecords {
  readonly #deaths = new Map<string, Deaths>();

  readonly #log: Logger;

  readonly #now: () => number;

  constructor(options: CrashRecordsOptions) {
    this.#log = options.log;
    this.#now = options.now ?? (() => performance.now());
  }

  /**
   * Notes that a server died while it ran a request.
   *
   * @param content - The request's content.
   * @param serverId - The server.
   */
  recordCrash(content: string, serverId: string): void {
    const known = this.#deaths.get(content) ?? { servers: new Set<string>(), at: 0 };
    if (known.servers.has(serverId)) return;
    known.servers.add(serverId);
    known.at = this.#now();
    this.#deaths.set(content, known);
    this.#log.warn('Server died under a request.', {
      content,
      serverId,
      deaths: known.servers.size,
    });
    this.#trim();
  }

  /** Whether a request's content has taken too many servers. */
  isBlocked(content: string): boolean {
    const known = this.#deaths.get(content);
    if (!known || this.#now() - known.at > KEPT_MILLISECONDS) return false;
    return known.servers.size >= MAXIMUM_CRASHES;
  }

  /** What peers are told. */
  get serversByContent(): CrashList {
    const entries = [...this.#deaths].map(([content, { servers }]): [string, string[]] => [
      content,
      [...servers],
    ]);
    return Object.fromEntries(entries);
  }

  /** Takes in what a peer has noted. */
  merge(list: CrashList): void {
    Object.entries(list).forEach(([content, servers]) => {
      servers.forEach((serverId) => this.recordCrash(content, serverId));
    });
  }

  #trim(): void {
    const [oldest] = this.#deaths.keys();
    if (this.#deaths.size > MAXIMUM_CONTENTS && oldest !== undefined) this.#deaths.delete(oldest);
  }
}
