/**
 * Keeps at which times engines ended, the requests that they had just begun, and when engines last began to
 * write on the parts of these requests and lived on.
 */
import { LruMap } from '../common/lru-map.js';
import type { EndedProcess, RequestContent } from './blocked-parts.js';

/** A process that has ended, as it is kept while further requests that it had begun become known. */
export interface EngineEnd extends EndedProcess {
  readonly beginning: RequestContent[];
}

/** A part that was beginning at an end. */
interface PartAtEnds {
  readonly lastEndAt: number;
  /** When an engine first began to write on it after that end. */
  writtenAt: number | undefined;
}

/** How long an end is kept that no blocked part explains. */
export const UNEXPLAINED_RETENTION_MILLISECONDS = 120_000;
/** Each trial that fails is an end too, and renews what is known of the part. */
const BLOCKED_RETENTION_MILLISECONDS = 3_600_000;
const MAXIMUM_ENDS = 200;
const MAXIMUM_REQUESTS_PER_END = 50;
const MAXIMUM_WRITTEN_PARTS = 5000;

/** The ends of engines that one instance knows of. */
export class EngineEnds {
  readonly #now: () => number;

  readonly #ends = new Map<string, EngineEnd>();

  /** When an engine last began to write on a part, and lived on. */
  readonly #writtenAt = new LruMap<string, number>(MAXIMUM_WRITTEN_PARTS);

  readonly #partsAtEnds = new Map<string, PartAtEnds>();

  constructor(now: () => number) {
    this.#now = now;
  }

  get size(): number {
    return this.#ends.size;
  }

  /** The ends in the order in which they became known. */
  get all(): EngineEnd[] {
    return [...this.#ends.values()];
  }

  get newestFirst(): EngineEnd[] {
    return this.all.sort((one, two) => two.endedAt - one.endedAt);
  }

  /**
   * Adds a request that was beginning at an end.
   *
   * @param processKey - The engine's process.
   * @param endedAt - When it ended; counts if the end isn't known yet.
   * @param content - The request.
   * @returns Whether the request was not known to have been beginning at that end.
   */
  add(processKey: string, endedAt: number, content: RequestContent): boolean {
    if (this.#now() - endedAt > BLOCKED_RETENTION_MILLISECONDS) return false;
    const end = this.#ends.get(processKey) ?? { processKey, endedAt, beginning: [] };
    const isKnown = end.beginning.some(({ hash }) => hash === content.hash);
    if (isKnown || end.beginning.length >= MAXIMUM_REQUESTS_PER_END) return false;
    end.beginning.push(content);
    this.#ends.set(processKey, end);
    content.sharedParts.forEach((part) => this.#addPart(part, end.endedAt));
    return true;
  }

  /**
   * Records that an engine has written on a part for a while.
   *
   * @param part - The part.
   * @param beganAt - When the engine began to write.
   * @returns Whether this is the first time since the last end at which the part was beginning.
   */
  recordWritten(part: string, beganAt: number): boolean {
    if (beganAt > (this.#writtenAt.get(part) ?? Number.NEGATIVE_INFINITY))
      this.#writtenAt.set(part, beganAt);
    const atEnds = this.#partsAtEnds.get(part);
    if (!atEnds || atEnds.writtenAt !== undefined || beganAt <= atEnds.lastEndAt) return false;
    atEnds.writtenAt = beganAt;
    return true;
  }

  /** Returns when a process ended, or undefined if that isn't known. */
  findEndedAt(processKey: string): number | undefined {
    return this.#ends.get(processKey)?.endedAt;
  }

  /** Returns when an engine last began to write on a part, or undefined if that isn't known. */
  findLastWrittenAt(part: string): number | undefined {
    return this.#writtenAt.get(part);
  }

  /**
   * Returns when an engine first began to write on a part after the last end at which it was beginning, or
   * else when one last did.
   */
  findFirstWrittenAt(part: string): number | undefined {
    return this.#partsAtEnds.get(part)?.writtenAt ?? this.#writtenAt.get(part);
  }

  /** Counts the ends at which a part was beginning since an engine last wrote on it. */
  countOfPart(part: string): number {
    const writtenAt = this.#writtenAt.get(part) ?? Number.NEGATIVE_INFINITY;
    const ends = this.all.filter(
      ({ endedAt, beginning }) =>
        endedAt >= writtenAt && beginning.some(({ sharedParts }) => sharedParts.includes(part)),
    );
    return ends.length;
  }

  /** Counts for each content at how many ends it was beginning. */
  countByContent(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    this.#ends.forEach(({ beginning }) =>
      beginning.forEach(({ hash }) => counts.set(hash, (counts.get(hash) ?? 0) + 1)),
    );
    return counts;
  }

  /**
   * Forgets ends that are too old, and the oldest known of the others where there are too many.
   *
   * @param explained - The processes whose ends a blocked part explains; these are kept for longer.
   */
  forgetOld(explained: ReadonlySet<string>): void {
    const now = this.#now();
    this.#ends.forEach(({ endedAt }, processKey) => {
      const retention = explained.has(processKey)
        ? BLOCKED_RETENTION_MILLISECONDS
        : UNEXPLAINED_RETENTION_MILLISECONDS;
      if (now - endedAt > retention) this.#ends.delete(processKey);
    });
    const unexplained = [...this.#ends.keys()].filter((processKey) => !explained.has(processKey));
    const surplus = Math.max(0, this.#ends.size - MAXIMUM_ENDS);
    unexplained.slice(0, surplus).forEach((processKey) => this.#ends.delete(processKey));
    this.#forgetPartsWithoutEnds();
  }

  #addPart(part: string, endedAt: number): void {
    const known = this.#partsAtEnds.get(part);
    if (known && known.lastEndAt >= endedAt) return;
    const writtenAt = this.#writtenAt.get(part);
    const isWritten = writtenAt !== undefined && writtenAt > endedAt;
    this.#partsAtEnds.set(part, {
      lastEndAt: endedAt,
      writtenAt: isWritten ? writtenAt : undefined,
    });
  }

  #forgetPartsWithoutEnds(): void {
    const oldest = Math.min(...this.all.map(({ endedAt }) => endedAt));
    this.#partsAtEnds.forEach(({ lastEndAt }, part) => {
      if (lastEndAt < oldest) this.#partsAtEnds.delete(part);
    });
  }
}
