/**
 * Records under which requests backend servers ended. Content under which three processes of servers
 * ended is blocked, so that a request that crashes every server it runs on cannot take down the fleet
 * when it is sent repeatedly. Handles many servers that end at a time, each of which cuts the streams of
 * many innocent requests: what has completed is innocent, and what was seen at fewer ends is forgotten
 * first.
 */
import { LruMap } from '../common/lru-map.js';
import type { Logger } from '../telemetry/log.js';

/** Options of {@link CrashRecords}. */
export interface CrashRecordsOptions {
  /** Whether something else is known to have ended a process, so that no content is to blame. */
  readonly isExplained?: (processKey: string) => boolean;
  readonly log: Logger;
  readonly now?: () => number;
}

/** The keys of ended processes by content hash, as exchanged with peers. */
export type CrashedServers = Record<string, string[]>;

/** Content is blocked once this many processes of servers ended under it. */
export const CRASHES_TO_BLOCK = 3;
/** How long content stays blocked and is reported to peers. */
export const CRASH_RETENTION_MILLISECONDS = 120_000;
/** Kept for longer than reported, so that a peer's report doesn't make expired content new again. */
const FORGET_AFTER_MILLISECONDS = 2 * CRASH_RETENTION_MILLISECONDS;
const MAXIMUM_CONTENTS = 2000;
/** Bounds the size of the records that peers exchange. */
const MAXIMUM_REPORTED_CONTENTS = 200;
const MAXIMUM_COMPLETED_CONTENTS = 2000;

/** The ends of servers during which one content was running. */
interface ContentCrashes {
  readonly contentHash: string;
  readonly processKeys: Set<string>;
  lastCrashAt: number;
}

/** Sorts what is more likely to crash servers first: more ends, then newer ones. */
function compareByRisk(one: ContentCrashes, other: ContentCrashes): number {
  return other.processKeys.size - one.processKeys.size || other.lastCrashAt - one.lastCrashAt;
}

/** The crash records of one instance, merged with those of its peers. */
export class CrashRecords {
  readonly #crashesByContent = new Map<string, ContentCrashes>();

  /** When content last completed, on the monotonic clock. */
  readonly #completedAt = new LruMap<string, number>(MAXIMUM_COMPLETED_CONTENTS);

  readonly #isExplained: (processKey: string) => boolean;

  readonly #log: Logger;

  readonly #now: () => number;

  constructor(options: CrashRecordsOptions) {
    this.#isExplained = options.isExplained ?? (() => false);
    this.#log = options.log;
    this.#now = options.now ?? (() => performance.now());
  }

  /**
   * Records that a backend server ended while it ran a request. Each process counts once.
   *
   * @param contentHash - The hash of the request's content.
   * @param processKey - Identifies the server's process; another one after a restart.
   */
  recordCrash(contentHash: string, processKey: string): void {
    if (this.#isInnocent(contentHash)) return;
    const crashes = this.#crashesByContent.get(contentHash) ?? {
      contentHash,
      processKeys: new Set<string>(),
      lastCrashAt: 0,
    };
    if (crashes.processKeys.has(processKey)) return;
    crashes.processKeys.add(processKey);
    crashes.lastCrashAt = this.#now();
    this.#crashesByContent.set(contentHash, crashes);
    this.#log.warn('Backend server crashed while running a request.', {
      content: contentHash,
      server: processKey,
      crashes: crashes.processKeys.size,
    });
    this.#trim();
  }

  /** Records that a request completed: its content does not crash the servers that run it. */
  recordCompletion(contentHash: string): void {
    this.#completedAt.set(contentHash, this.#now());
    this.#crashesByContent.delete(contentHash);
  }

  /** Whether requests with this content are no longer run, as too many servers crashed under it. */
  isBlocked(contentHash: string): boolean {
    const crashes = this.#crashesByContent.get(contentHash);
    if (!crashes || crashes.processKeys.size < CRASHES_TO_BLOCK) return false;
    if (!this.#isCurrent(crashes)) return false;
    const unexplained = [...crashes.processKeys].filter((key) => !this.#isExplained(key));
    return unexplained.length >= CRASHES_TO_BLOCK;
  }

  /** The records that peers should know, the most dangerous ones where there are too many. */
  get serversByContent(): CrashedServers {
    return this.#describe(() => true);
  }

  /** The records that make other instances block the same contents. */
  get blocking(): CrashedServers {
    return this.#describe(({ contentHash }) => this.isBlocked(contentHash));
  }

  /** Adds the crashes that a peer has recorded. */
  merge(peerRecords: CrashedServers): void {
    Object.entries(peerRecords).forEach(([contentHash, processKeys]) => {
      processKeys.forEach((processKey) => this.recordCrash(contentHash, processKey));
    });
  }

  #describe(isWanted: (crashes: ContentCrashes) => boolean): CrashedServers {
    const described = [...this.#crashesByContent.values()]
      .filter((crashes) => this.#isCurrent(crashes) && isWanted(crashes))
      .sort(compareByRisk)
      .slice(0, MAXIMUM_REPORTED_CONTENTS);
    return Object.fromEntries(
      described.map(({ contentHash, processKeys }) => [contentHash, [...processKeys]]),
    );
  }

  #isCurrent({ lastCrashAt }: ContentCrashes): boolean {
    return this.#now() - lastCrashAt <= CRASH_RETENTION_MILLISECONDS;
  }

  #isInnocent(contentHash: string): boolean {
    const completedAt = this.#completedAt.get(contentHash);
    return completedAt !== undefined && this.#now() - completedAt <= CRASH_RETENTION_MILLISECONDS;
  }

  /** Drops expired content, and the least dangerous one while there is too much. */
  #trim(): void {
    if (this.#crashesByContent.size <= MAXIMUM_CONTENTS) return;
    const oldest = this.#now() - FORGET_AFTER_MILLISECONDS;
    const kept = [...this.#crashesByContent.values()]
      .filter(({ lastCrashAt }) => lastCrashAt >= oldest)
      .sort(compareByRisk);
    this.#crashesByContent.clear();
    // A tenth more than needed, so that not every further record sorts the table again.
    kept
      .slice(0, Math.floor(0.9 * MAXIMUM_CONTENTS))
      .forEach((crashes) => this.#crashesByContent.set(crashes.contentHash, crashes));
  }
}
