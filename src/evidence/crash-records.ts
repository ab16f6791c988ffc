/**
 * Records under which requests backend servers ended. Content that two processes of servers were
 * beginning to run when they ended is blocked, so that a request that crashes every server it runs on
 * cannot take down the fleet when it is sent repeatedly. Handles many servers that end at a time, each of
 * which cuts the streams of many innocent requests: what was already being written at an end is blamed only
 * for ends that nothing else explains, what has completed is innocent, and what was seen at fewer ends is
 * forgotten first.
 */
import { LruMap } from '../common/lru-map.js';
import { getOwnValue } from '../common/own-value.js';
import type { Logger } from '../telemetry/log.js';

/** Options of {@link CrashRecords}. */
export interface CrashRecordsOptions {
  /** Whether something other than whole content is known to have ended a process. */
  readonly isExplained?: (processKey: string) => boolean;
  readonly log: Logger;
  readonly now?: () => number;
}

/** The keys of ended processes by content hash, as exchanged with peers. */
export type CrashedServers = Record<string, string[]>;

/** What an instance tells its peers. */
export interface ReportedCrashes {
  readonly crashes: CrashedServers;
  /** Those of the ends at which the content had been written for a while; absent from older builds. */
  readonly crashesWhileWritten?: CrashedServers | undefined;
}

/** A part of the records, in the order in which they were made. */
export interface CrashesSince extends ReportedCrashes {
  /** The number of the last change that the part holds; what follows it has higher ones. */
  readonly changeNumber: number;
}

/** Content is blocked once this many processes of servers ended under it. */
export const CRASHES_TO_BLOCK = 3;
/**
 * The same for ends at which it was beginning, if it has never completed. Each end takes the layers of an
 * engine away for seconds, and costs more than one content that is refused without being at fault.
 */
export const CRASHES_AT_BEGIN_TO_BLOCK = 2;
/** How long content stays blocked and is reported to peers. */
export const CRASH_RETENTION_MILLISECONDS = 120_000;
/** Kept for longer than reported, so that a peer's report doesn't make expired content new again. */
const FORGET_AFTER_MILLISECONDS = 2 * CRASH_RETENTION_MILLISECONDS;
const MAXIMUM_CONTENTS = 2000;
/** Bounds the size of the records that peers exchange. */
const MAXIMUM_REPORTED_CONTENTS = 200;
const MAXIMUM_COMPLETED_CONTENTS = 2000;
/** Of the contents and of the servers of one report; the lines of a log stay short. */
const MAXIMUM_LOGGED_KEYS = 10;
const MAXIMUM_CLEARED_ENDS_PER_CONTENT = 100;
/** Servers that fail together end many runs of content that is asked for often, and completes meanwhile. */
const INNOCENT_AFTER_COMPLETION_MILLISECONDS = 3000;

/** What a server was doing with a content when it ended. */
type Phase = 'beginning' | 'written';

/** The ends of servers during which one content was running. */
interface ContentCrashes {
  readonly contentHash: string;
  readonly phases: Map<string, Phase>;
  lastCrashAt: number;
  /** Number of the last change of this record among those of all contents. */
  changeNumber: number;
}

/** What the last completion of a content shows. */
interface Completion {
  /** On the monotonic clock. */
  readonly completedAt: number;
  /** Ends that the content is not to blame for; peers may go on reporting them. */
  readonly clearedKeys: Set<string>;
}

/** Processes of servers that ended during a phase of the content. */
function listEnds({ phases }: ContentCrashes, wanted: Phase): string[] {
  return [...phases].flatMap(([processKey, phase]) => (phase === wanted ? [processKey] : []));
}

/** Sorts what is more likely to crash servers first: more ends, then newer ones. */
function compareByRisk(one: ContentCrashes, other: ContentCrashes): number {
  return other.phases.size - one.phases.size || other.lastCrashAt - one.lastCrashAt;
}

function describeCrashes(described: readonly ContentCrashes[]): ReportedCrashes {
  const written = described
    .map((crashes) => [crashes.contentHash, listEnds(crashes, 'written')] as const)
    .filter(([, processKeys]) => processKeys.length > 0);
  return {
    crashes: Object.fromEntries(
      described.map(({ contentHash, phases }) => [contentHash, [...phases.keys()]]),
    ),
    crashesWhileWritten: Object.fromEntries(written),
  };
}

/** The crash records of one instance, merged with those of its peers. */
export class CrashRecords {
  readonly #crashesByContent = new Map<string, ContentCrashes>();

  #changeCount = 0;

  readonly #completions = new LruMap<string, Completion>(MAXIMUM_COMPLETED_CONTENTS);

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
   * @param wasWritten - Whether a server had been writing the answer for a while.
   */
  recordCrash(contentHash: string, processKey: string, wasWritten = false): void {
    if (!this.#add(contentHash, processKey, wasWritten)) return;
    this.#log.warn('Backend server crashed while running a request.', {
      content: contentHash,
      server: processKey,
      wasWritten,
      crashes: this.#crashesByContent.get(contentHash)?.phases.size,
    });
    this.#trim();
  }

  /** Records that a request ran to a good end, so that its content did not crash servers so far. */
  recordCompletion(contentHash: string): void {
    const known = this.#crashesByContent.get(contentHash)?.phases.keys() ?? [];
    const cleared = [...(this.#completions.get(contentHash)?.clearedKeys ?? []), ...known];
    this.#completions.set(contentHash, {
      completedAt: this.#now(),
      clearedKeys: new Set(cleared.slice(-MAXIMUM_CLEARED_ENDS_PER_CONTENT)),
    });
    this.#crashesByContent.delete(contentHash);
  }

  /** Whether requests with this content are no longer run, as too many servers crashed under it. */
  isBlocked(contentHash: string): boolean {
    const crashes = this.#crashesByContent.get(contentHash);
    if (!crashes || !this.#isCurrent(crashes)) return false;
    if (this.#isCulprit(crashes)) return true;
    if (crashes.phases.size < CRASHES_TO_BLOCK) return false;
    const unexplained = [...crashes.phases.keys()].filter((key) => !this.#explains(key));
    return unexplained.length >= CRASHES_TO_BLOCK;
  }

  /** The number of servers that ended under a content, by what they were doing with it. */
  countEnds(contentHash: string): Readonly<Record<Phase, number>> {
    const crashes = this.#crashesByContent.get(contentHash);
    if (!crashes || !this.#isCurrent(crashes)) return { beginning: 0, written: 0 };
    const beginning = listEnds(crashes, 'beginning').length;
    return { beginning, written: crashes.phases.size - beginning };
  }

  /** The records that peers should know, the most dangerous ones where there are too many. */
  get reported(): ReportedCrashes {
    return this.#describe(() => true);
  }

  /** The records that make other instances block the same contents. */
  get blocking(): ReportedCrashes {
    return this.#describe(({ contentHash }) => this.isBlocked(contentHash));
  }

  /** Number of the last change. */
  get changeNumber(): number {
    return this.#changeCount;
  }

  /**
   * Returns what was recorded after a change, so that a peer is sent nothing twice. Where that is too much for one
   * report, the rest follows in the next one.
   *
   * @param changeNumber - The last change that the peer knows; 0 if it knows none. It is then sent all contents that
   *   are blocked as well.
   */
  reportSince(changeNumber: number): CrashesSince {
    const changed = [...this.#crashesByContent.values()]
      .filter((crashes) => crashes.changeNumber > changeNumber && this.#isCurrent(crashes))
      .sort((one, other) => one.changeNumber - other.changeNumber);
    const part = changed.slice(0, MAXIMUM_REPORTED_CONTENTS);
    const last = changed.length > part.length ? part.at(-1)?.changeNumber : undefined;
    const blocked =
      changeNumber === 0
        ? changed.slice(part.length).filter(({ contentHash }) => this.isBlocked(contentHash))
        : [];
    return { ...describeCrashes([...part, ...blocked]), changeNumber: last ?? this.#changeCount };
  }

  /** Adds the crashes that a peer has recorded. */
  merge({ crashes, crashesWhileWritten = {} }: ReportedCrashes): void {
    const contents = new Set<string>();
    const servers = new Set<string>();
    Object.entries(crashes).forEach(([contentHash, processKeys]) => {
      const written = new Set(getOwnValue(crashesWhileWritten, contentHash));
      processKeys
        .filter((key) => this.#add(contentHash, key, written.has(key)))
        .forEach((key) => {
          contents.add(contentHash);
          servers.add(key);
        });
    });
    if (contents.size === 0) return;
    this.#log.warn('Peer reports backend servers that crashed while running requests.', {
      contents: contents.size,
      servers: servers.size,
      firstContents: [...contents].slice(0, MAXIMUM_LOGGED_KEYS),
      firstServers: [...servers].slice(0, MAXIMUM_LOGGED_KEYS),
    });
    this.#trim();
  }

  /** Adds an end of a process, or that it was earlier in the run than known; whether the end is new. */
  #add(contentHash: string, processKey: string, wasWritten: boolean): boolean {
    if (this.#isCleared(contentHash, processKey)) return false;
    const crashes = this.#crashesByContent.get(contentHash) ?? {
      contentHash,
      phases: new Map<string, Phase>(),
      lastCrashAt: 0,
      changeNumber: 0,
    };
    const known = crashes.phases.get(processKey);
    if (known === 'beginning' || (known && wasWritten)) return false;
    crashes.phases.set(processKey, wasWritten ? 'written' : 'beginning');
    this.#changeCount += 1;
    crashes.changeNumber = this.#changeCount;
    if (known) return false;
    crashes.lastCrashAt = this.#now();
    this.#crashesByContent.set(contentHash, crashes);
    return true;
  }

  /** Whether so many servers ended as they began the content that nothing else need explain it. */
  #isCulprit(crashes: ContentCrashes): boolean {
    const hasCompleted = this.#completions.get(crashes.contentHash) !== undefined;
    const needed = hasCompleted ? CRASHES_TO_BLOCK : CRASHES_AT_BEGIN_TO_BLOCK;
    return listEnds(crashes, 'beginning').length >= needed;
  }

  #explains(processKey: string): boolean {
    if (this.#isExplained(processKey)) return true;
    const contents = [...this.#crashesByContent.values()];
    return contents.some((crashes) => crashes.phases.has(processKey) && this.#isCulprit(crashes));
  }

  #describe(isWanted: (crashes: ContentCrashes) => boolean): ReportedCrashes {
    const described = [...this.#crashesByContent.values()]
      .filter((crashes) => this.#isCurrent(crashes) && isWanted(crashes))
      .sort(compareByRisk)
      .slice(0, MAXIMUM_REPORTED_CONTENTS);
    return describeCrashes(described);
  }

  #isCurrent({ lastCrashAt }: ContentCrashes): boolean {
    return this.#now() - lastCrashAt <= CRASH_RETENTION_MILLISECONDS;
  }

  /** Whether a completion shows that the content is not to blame for an end. */
  #isCleared(contentHash: string, processKey: string): boolean {
    const completion = this.#completions.get(contentHash);
    if (!completion) return false;
    const { completedAt, clearedKeys } = completion;
    if (this.#now() - completedAt <= INNOCENT_AFTER_COMPLETION_MILLISECONDS)
      clearedKeys.add(processKey);
    return clearedKeys.has(processKey);
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
