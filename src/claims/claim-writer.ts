/**
 * Applies claim operations to stored shards in groups, by conditional writes. Any instance may
 * write any shard: the conditional write alone prevents two grants of one key. That one instance
 * usually writes a shard only saves calls to the object API.
 */
import PQueue from 'p-queue';
import { sleep } from '../common/clock.js';
import { LruMap } from '../common/lru-map.js';
import type { ClaimAnswer, ClaimMessage } from '../peer/messages.js';
import { writeObject } from '../platform/commands/write-objects.js';
import type { PlatformConnection } from '../platform/connection.js';
import { ABSENT_VERSION } from '../platform/object.js';
import { readObject } from '../platform/queries/read-objects.js';
import { applyClaims, ClaimShard } from './claim-shard.js';

/** Options of {@link ClaimWriter}. */
export interface ClaimWriterOptions {
  readonly connection: PlatformConnection;
  /** How long an operation is retried before it is answered with `unavailable`. */
  readonly timeoutMilliseconds?: number;
  /** The pause between two group writes of a shard, while operations are waiting. */
  readonly writeIntervalMilliseconds?: number;
}

interface PendingOperation {
  readonly message: ClaimMessage;
  /** On the monotonic clock, in milliseconds. */
  readonly deadline: number;
  readonly answer: (answer: ClaimAnswer) => void;
}

/** A shard and its version in the object API, as last read or written. */
interface StoredShard {
  readonly shard: ClaimShard;
  readonly version: number;
}

/** The operations that wait for a shard, and the task queue that writes them in one group after the other. */
interface ShardQueue {
  readonly writes: PQueue;
  pending: PendingOperation[];
}

/** What a read of a shard shows about the copy from which a change was computed. */
type CopyState = 'current' | 'outdated' | 'unreadable';

const UNREADABLE_SHARD: ClaimAnswer = {
  kind: 'unavailable',
  message: 'The stored shard of claims does not match the schema.',
};
const ABSENT_SHARD: StoredShard = { shard: { entries: {} }, version: ABSENT_VERSION };
const MAXIMUM_CACHED_SHARDS = 256;
const RETRY_MILLISECONDS = 20;
const MAXIMUM_GROUP_SIZE = 200;
/** After an operation timed out, new ones are answered with `unavailable` at once for this long. */
const REJECTION_MILLISECONDS = 1000;
/** The time-out of operations after that, until one succeeds again. */
const PROBE_TIMEOUT_MILLISECONDS = 400;

function answerAll(pending: readonly PendingOperation[], answers: readonly ClaimAnswer[]): void {
  pending.forEach((operation, index) => {
    operation.answer(answers[index] ?? { kind: 'unavailable', message: 'There is no answer.' });
  });
}

export class ClaimWriter {
  readonly #options: ClaimWriterOptions;

  readonly #shardQueues = new Map<string, ShardQueue>();

  readonly #cache = new LruMap<string, StoredShard>(MAXIMUM_CACHED_SHARDS);

  #rejectUntil = -Infinity;

  #isPlatformUnavailable = false;

  constructor(options: ClaimWriterOptions) {
    this.#options = options;
  }

  /**
   * Applies one operation, in a group with others that wait for the same shard.
   *
   * @returns The answer. `unavailable` means that the operation may or may not have been stored;
   * after it a request must not be run.
   */
  submit(message: ClaimMessage): Promise<ClaimAnswer> {
    const { timeoutMilliseconds = 1500 } = this.#options;
    const now = performance.now();
    if (now < this.#rejectUntil) {
      return Promise.resolve({ kind: 'unavailable', message: 'The platform does not answer.' });
    }
    const shardQueue = this.#getOrCreateQueue(message.shard);
    return new Promise((resolve) => {
      const deadline =
        now + (this.#isPlatformUnavailable ? PROBE_TIMEOUT_MILLISECONDS : timeoutMilliseconds);
      shardQueue.pending.push({ message, deadline, answer: resolve });
      if (shardQueue.writes.size > 0) return;
      void shardQueue.writes.add(() => this.#writeGroup(message.shard, shardQueue));
    });
  }

  #getOrCreateQueue(shard: string): ShardQueue {
    const existing = this.#shardQueues.get(shard);
    if (existing) return existing;
    const shardQueue: ShardQueue = { writes: new PQueue({ concurrency: 1 }), pending: [] };
    this.#shardQueues.set(shard, shardQueue);
    return shardQueue;
  }

  async #writeGroup(shard: string, shardQueue: ShardQueue): Promise<void> {
    const { writeIntervalMilliseconds = 50 } = this.#options;
    const group = shardQueue.pending.splice(0, MAXIMUM_GROUP_SIZE);
    await this.#writeOrRetry(shard, group);
    const hasMore = shardQueue.pending.length > 0;
    if (hasMore) await sleep(writeIntervalMilliseconds);
    if (shardQueue.pending.length > 0 && shardQueue.writes.size === 0) {
      void shardQueue.writes.add(() => this.#writeGroup(shard, shardQueue));
    } else if (shardQueue.pending.length === 0 && shardQueue.writes.size === 0)
      this.#shardQueues.delete(shard);
  }

  /** Retries the write until every operation has an answer or has passed its deadline. */
  async #writeOrRetry(shard: string, group: readonly PendingOperation[]): Promise<void> {
    let unanswered = group;
    let message = 'The platform did not answer in time.';
    while (unanswered.length > 0) {
      unanswered = this.#answerExpired(unanswered, message);
      if (unanswered.length === 0) return;
      const result = await this.#tryWrite(
        shard,
        unanswered.map((operation) => operation.message),
      );
      if (typeof result !== 'string') {
        this.#isPlatformUnavailable = false;
        answerAll(unanswered, result);
        return;
      }
      message = result;
      await sleep(RETRY_MILLISECONDS * (0.5 + Math.random()));
    }
  }

  /** Answers the operations that have passed their deadline and returns the others. */
  #answerExpired(unanswered: readonly PendingOperation[], message: string): PendingOperation[] {
    const now = performance.now();
    const expired = unanswered.filter((operation) => operation.deadline <= now);
    if (expired.length > 0) this.#markPlatformUnavailable(now);
    expired.forEach((operation) => operation.answer({ kind: 'unavailable', message }));
    return unanswered.filter((operation) => operation.deadline > now);
  }

  #markPlatformUnavailable(now: number): void {
    this.#isPlatformUnavailable = true;
    this.#rejectUntil = now + REJECTION_MILLISECONDS;
  }

  /** Makes one attempt; returns the answers, or the reason why the attempt must be repeated. */
  async #tryWrite(
    shard: string,
    messages: readonly ClaimMessage[],
  ): Promise<ClaimAnswer[] | string> {
    const cached = this.#cache.get(shard);
    // A shard that is not cached is probably new: creating it takes one call, reading it first
    // would take two.
    const stored = cached ?? ABSENT_SHARD;
    const { shard: next, answers, isChanged } = applyClaims(stored.shard, messages);
    if (!isChanged) {
      // No write will check the version, so a read must confirm that the cached copy is current.
      const state = await this.#refresh(shard, stored.version);
      if (state === 'unreadable') return messages.map(() => UNREADABLE_SHARD);
      return state === 'current' ? answers : 'The shard was read anew.';
    }
    const result = await writeObject(this.#options.connection, shard, next, stored.version);
    if (result.kind === 'written') {
      this.#cache.set(shard, { shard: next, version: result.version });
      return answers;
    }
    if (result.kind === 'unavailable') return result.message;
    // Another instance wrote the shard, or it is unknown whether this write was stored. Read the
    // shard, so that the next attempt starts from what is stored.
    const state = await this.#refresh(shard, stored.version);
    if (state === 'unreadable') return messages.map(() => UNREADABLE_SHARD);
    return result.kind === 'conflict' ? 'Another instance wrote first.' : result.message;
  }

  /** Reads the shard into the cache, and compares its version with the given one. */
  async #refresh(shard: string, version: number): Promise<CopyState> {
    const result = await readObject(this.#options.connection, shard);
    if (result.kind === 'unavailable') return 'outdated';
    if (result.kind === 'absent') {
      this.#cache.delete(shard);
      return version === ABSENT_VERSION ? 'current' : 'outdated';
    }
    const { object } = result;
    const parsed = ClaimShard.safeParse(object.value);
    if (!parsed.success) {
      this.#cache.delete(shard);
      return 'unreadable';
    }
    this.#cache.set(shard, { shard: parsed.data, version: object.version });
    return object.version === version ? 'current' : 'outdated';
  }
}
