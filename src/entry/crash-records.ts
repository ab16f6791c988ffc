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
export type CrashedServers = Record<string, string[]>;

export const CRASHES_TO_BLOCK = 3;
const RETENTION_MILLISECONDS = 120_000;
const MAXIMUM_CONTENTS = 200;

interface ContentCrashes {
  readonly servers: Set<string>;
  lastCrashAt: number;
}

export class CrashRecords {
  readonly #crashesByContent = new Map<string, ContentCrashes>();

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
    const known = this.#crashesByContent.get(content) ?? {
      servers: new Set<string>(),
      lastCrashAt: 0,
    };
    if (known.servers.has(serverId)) return;
    known.servers.add(serverId);
    known.lastCrashAt = this.#now();
    this.#crashesByContent.set(content, known);
    this.#log.warn('Server died under a request.', {
      content,
      serverId,
      deaths: known.servers.size,
    });
    this.#trim();
  }

  /** Whether a request's content has taken too many servers. */
  isBlocked(content: string): boolean {
    const known = this.#crashesByContent.get(content);
    if (!known || this.#now() - known.lastCrashAt > RETENTION_MILLISECONDS) return false;
    return known.servers.size >= CRASHES_TO_BLOCK;
  }

  /** What peers are told. */
  get serversByContent(): CrashedServers {
    const entries = [...this.#crashesByContent].map(
      ([content, { servers }]): [string, string[]] => [content, [...servers]],
    );
    return Object.fromEntries(entries);
  }

  /** Takes in what a peer has noted. */
  merge(list: CrashedServers): void {
    Object.entries(list).forEach(([content, servers]) => {
      servers.forEach((serverId) => this.recordCrash(content, serverId));
    });
  }

  #trim(): void {
    const [oldest] = this.#crashesByContent.keys();
    if (this.#crashesByContent.size > MAXIMUM_CONTENTS && oldest !== undefined)
      this.#crashesByContent.delete(oldest);
  }
}
