/**
 * Keeps a request that crashes backend servers from crashing one after another. A request's
 * content becomes suspect with the first server that dies while running it; suspects run apart
 * from each other; content that was there at three deaths is rejected.
 */
import type { RecordTable } from '../peer/record-table.js';
import type { PeerRecord } from '../peer/record.js';
import { LruMap } from '../common/lru-map.js';
import { hashText64 } from './text-hash.js';

/** Options of {@link CrashGuard}. */
export interface CrashGuardOptions {
  readonly table: RecordTable;
  readonly wallMilliseconds?: () => number;
}

/** The most servers that the content of one request may be at the death of. */
export const MAXIMUM_CRASHES = 3;
const REMEMBERED_MILLISECONDS = 600_000;
const MAXIMUM_CONTENTS = 10_000;

export type CrashVerdict = 'clear' | 'suspect' | 'convicted';

export class CrashGuard {
  readonly #table: RecordTable;

  readonly #wall: () => number;

  /** For each content, when each server died that ran it. */
  readonly #deaths = new LruMap<string, Map<string, number>>(MAXIMUM_CONTENTS);

  constructor(options: CrashGuardOptions) {
    this.#table = options.table;
    this.#wall = options.wallMilliseconds ?? (() => Date.now());
    options.table.onRecord('suspicion', (record) => this.#take(record));
  }

  /**
   * Names a request's content.
   *
   * @param parts - What makes up the request.
   * @returns A fingerprint; the same content has the same one on every instance.
   */
  static hashContent(parts: readonly string[]): string {
    return hashText64(parts.join('\n'));
  }

  /**
   * Notes that a server died while it ran a request, and tells peers.
   *
   * @param content - The request's content.
   * @param server - The server's name.
   * @param incarnation - When that server's process started.
   */
  recordCrash(content: string, server: string, incarnation: number): void {
    const key = `${content}/${server}/${incarnation}`;
    this.#table.put({ kind: 'suspicion', key, epoch: 0, counter: this.#wall(), value: null });
  }

  /**
   * Judges a request's content.
   *
   * @param content - The content.
   * @returns Whether it is clear, must run apart, or must not run any more.
   */
  classify(content: string): CrashVerdict {
    const deaths = this.#deaths.get(content);
    if (!deaths) return 'clear';
    const oldest = this.#wall() - REMEMBERED_MILLISECONDS;
    deaths.forEach((at, key) => {
      if (at >= oldest) return;
      deaths.delete(key);
      this.#table.drop('suspicion', key);
    });
    if (deaths.size >= MAXIMUM_CRASHES) return 'convicted';
    return deaths.size > 0 ? 'suspect' : 'clear';
  }

  #take(record: PeerRecord): void {
    const [content] = record.key.split('/');
    if (!content || record.counter < this.#wall() - REMEMBERED_MILLISECONDS) return;
    const deaths = this.#deaths.get(content) ?? new Map<string, number>();
    deaths.set(record.key, record.counter);
    this.#deaths.set(content, deaths);
  }
}
