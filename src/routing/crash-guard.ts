/**
 * Keeps a request that crashes backend servers from crashing one server after another. The content
 * of a request becomes suspect when the first server crashes while running it. Suspect requests
 * run on separate servers. Content that was running on three servers when they crashed is blocked:
 * requests with it are rejected until the crashes are older than the retention period. Handles servers
 * that crash at a high rate for other reasons: a crash counts no longer towards the three once the same
 * generation has gone on, elsewhere, past the token at which the server crashed.
 */
import { z } from 'zod';
import type { RecordTable } from '../peer/record-table.js';
import type { PeerRecord } from '../peer/record.js';
import { LruMap } from '../common/lru-map.js';
import { hashText64 } from './text-hash.js';

/** Options of {@link CrashGuard}. */
export interface CrashGuardOptions {
  readonly table: RecordTable;
  readonly wallMilliseconds?: () => number;
}

/** The number of server crashes after which the content that was running is blocked. */
export const MAXIMUM_CRASHES = 3;
/**
 * The same with those that a generation has gone past. Bounds the loss to content that crashes servers
 * some time after they have begun it.
 */
export const MAXIMUM_CRASHES_WITH_PASSED = 2 * MAXIMUM_CRASHES;
/** A crash counts for 10 minutes. */
const RETENTION_MILLISECONDS = 600_000;
const MAXIMUM_CONTENTS = 10_000;

/**
 * The value of a record: null until the generation has gone past the crash. Other values, of a newer
 * build, are read as null.
 */
const CrashRecordValue = z.literal('passed').nullable().catch(null);
type CrashRecordValue = z.infer<typeof CrashRecordValue>;

/** A crash of a server under one content. */
interface KnownCrash {
  /** On the wall clock. */
  readonly crashedAt: number;
  readonly value: CrashRecordValue;
}

/** Whether content may run normally, must run apart from other suspects, or must not run. */
export type CrashVerdict = 'clear' | 'suspect' | 'blocked';

export class CrashGuard {
  readonly #table: RecordTable;

  readonly #wallClock: () => number;

  /** For each content hash: its crashes by record key. */
  readonly #crashesByContent = new LruMap<string, Map<string, KnownCrash>>(MAXIMUM_CONTENTS);

  constructor(options: CrashGuardOptions) {
    this.#table = options.table;
    this.#wallClock = options.wallMilliseconds ?? (() => Date.now());
    options.table.onRecord('suspicion', (record) => this.#applyRecord(record));
  }

  /**
   * Hashes the content of a request.
   *
   * @param parts - The parts of the request that determine what a server runs.
   * @returns The content hash, which is the same on every instance.
   */
  static hashContent(parts: readonly string[]): string {
    return hashText64(parts.join('\n'));
  }

  /**
   * Records that a server crashed while it ran a request, and shares this with all peers.
   *
   * @param contentHash - The content hash of the request.
   * @param server - The id of the server.
   * @param incarnation - The start time of the server's process, so that one crash that several
   *   instances notice counts once.
   */
  recordCrash(contentHash: string, server: string, incarnation: number): void {
    this.#putRecord(contentHash, `${contentHash}/${server}/${incarnation}`, null);
  }

  /**
   * Records that a generation went on past the token at which a server crashed while it ran it, and
   * shares this with all peers. Without effect if the crash is not known.
   *
   * @param contentHash - The content hash of the request.
   * @param server - The id of the server.
   * @param incarnation - The start time of the server's process.
   */
  recordPassed(contentHash: string, server: string, incarnation: number): void {
    const key = `${contentHash}/${server}/${incarnation}`;
    if (this.#crashesByContent.get(contentHash)?.has(key))
      this.#putRecord(contentHash, key, 'passed');
  }

  /**
   * Classifies the content of a request by the crashes within the retention period.
   *
   * @param contentHash - The content hash of the request.
   * @returns Whether the content may run normally, must run apart, or must not run.
   */
  classify(contentHash: string): CrashVerdict {
    const crashes = this.#crashesByContent.get(contentHash);
    if (!crashes) return 'clear';
    const oldestKept = this.#wallClock() - RETENTION_MILLISECONDS;
    crashes.forEach(({ crashedAt }, key) => {
      if (crashedAt >= oldestKept) return;
      crashes.delete(key);
      this.#table.remove('suspicion', key);
    });
    const open = [...crashes.values()].filter(({ value }) => value !== 'passed');
    if (open.length >= MAXIMUM_CRASHES) return 'blocked';
    if (crashes.size >= MAXIMUM_CRASHES_WITH_PASSED) return 'blocked';
    return crashes.size > 0 ? 'suspect' : 'clear';
  }

  /** Stores a record that is newer than the known one of the same key; a passed crash stays passed. */
  #putRecord(contentHash: string, key: string, value: CrashRecordValue): void {
    const known = this.#crashesByContent.get(contentHash)?.get(key);
    if (known?.value === 'passed') return;
    const counter = Math.max(this.#wallClock(), (known?.crashedAt ?? 0) + 1);
    this.#table.put({ kind: 'suspicion', key, epoch: 0, counter, value });
  }

  #applyRecord(record: PeerRecord): void {
    const [contentHash] = record.key.split('/');
    if (!contentHash || record.counter < this.#wallClock() - RETENTION_MILLISECONDS) return;
    const crashes = this.#crashesByContent.get(contentHash) ?? new Map<string, KnownCrash>();
    // An instance that doesn't know yet that a crash has been passed may record it later.
    const wasPassed = crashes.get(record.key)?.value === 'passed';
    crashes.set(record.key, {
      crashedAt: record.counter,
      value: wasPassed ? 'passed' : CrashRecordValue.parse(record.value),
    });
    this.#crashesByContent.set(contentHash, crashes);
  }
}
