/**
 * Records which backend servers crashed while they ran a request with a certain content. Content
 * that was running on three crashed servers is blocked, so that a request that crashes every server
 * it runs on cannot take down the fleet when it is sent repeatedly.
 */
import type { Logger } from '../telemetry/log.js';

/** Options of {@link CrashRecords}. */
export interface CrashRecordsOptions {
  readonly log: Logger;
  readonly now?: () => number;
}

/** The ids of crashed servers by content hash, as exchanged with peers. */
export type CrashedServers = Record<string, string[]>;

/** Content is blocked once it was running on this many servers that crashed. */
export const CRASHES_TO_BLOCK = 3;
const RETENTION_MILLISECONDS = 120_000;
const MAXIMUM_CONTENTS = 200;

/** The crashes during which one content was running. */
interface ContentCrashes {
  readonly serverIds: Set<string>;
  lastCrashAt: number;
}

/** The crash records of one instance, merged with those of its peers. */
export class CrashRecords {
  readonly #crashesByContent = new Map<string, ContentCrashes>();

  readonly #log: Logger;

  readonly #now: () => number;

  constructor(options: CrashRecordsOptions) {
    this.#log = options.log;
    this.#now = options.now ?? (() => performance.now());
  }

  /**
   * Records that a backend server crashed while it ran a request. Each server counts once.
   *
   * @param contentHash - The hash of the request's content.
   * @param serverId - The id of the server's process; a restarted server has a new one.
   */
  recordCrash(contentHash: string, serverId: string): void {
    const crashes = this.#crashesByContent.get(contentHash) ?? {
      serverIds: new Set<string>(),
      lastCrashAt: 0,
    };
    if (crashes.serverIds.has(serverId)) return;
    crashes.serverIds.add(serverId);
    crashes.lastCrashAt = this.#now();
    this.#crashesByContent.set(contentHash, crashes);
    this.#log.warn('Backend server crashed while running a request.', {
      content: contentHash,
      serverId,
      crashes: crashes.serverIds.size,
    });
    this.#trim();
  }

  /** Whether requests with this content are no longer run, as too many servers crashed under it. */
  isBlocked(contentHash: string): boolean {
    const crashes = this.#crashesByContent.get(contentHash);
    if (!crashes || this.#now() - crashes.lastCrashAt > RETENTION_MILLISECONDS) return false;
    return crashes.serverIds.size >= CRASHES_TO_BLOCK;
  }

  /** All records, as reported to peers. */
  get serversByContent(): CrashedServers {
    const entries = [...this.#crashesByContent].map(
      ([contentHash, { serverIds }]): [string, string[]] => [contentHash, [...serverIds]],
    );
    return Object.fromEntries(entries);
  }

  /** Adds the crashes that a peer has recorded. */
  merge(peerRecords: CrashedServers): void {
    Object.entries(peerRecords).forEach(([contentHash, serverIds]) => {
      serverIds.forEach((serverId) => this.recordCrash(contentHash, serverId));
    });
  }

  /** Drops the content that was recorded first once there are too many. */
  #trim(): void {
    const [oldestContent] = this.#crashesByContent.keys();
    if (this.#crashesByContent.size > MAXIMUM_CONTENTS && oldestContent !== undefined)
      this.#crashesByContent.delete(oldestContent);
  }
}
