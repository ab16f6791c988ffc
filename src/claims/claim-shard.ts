/**
 * A shard of claims, stored as one object in the object API, and the pure functions that apply
 * claim, record and release operations to it.
 */
import { z } from 'zod';
import { RecordedOutcome, type ClaimAnswer, type ClaimMessage } from '../peer/messages.js';

/** The stored claim of one idempotency key. */
export const ClaimEntry = z.object({
  /** The unique token of the submission that holds the key. */
  token: z.string(),
  /** The instance that runs or ran the submission. */
  instance: z.string(),
  /** A hash of the request, which detects reuse of the key for another request. */
  content: z.string(),
  /** The outcome to replay for repeats of the key, once it is recorded. */
  outcome: RecordedOutcome.optional(),
});
export type ClaimEntry = z.infer<typeof ClaimEntry>;

/** A shard of claims; each key is an idempotency key, prefixed with its client account. */
export const ClaimShard = z.object({ entries: z.record(z.string(), ClaimEntry) });
export type ClaimShard = z.infer<typeof ClaimShard>;

type Entries = Record<string, ClaimEntry>;

function describeHolder(entry: ClaimEntry, content: string): ClaimAnswer {
  if (entry.content !== content) return { kind: 'other_content' };
  return { kind: 'held', instance: entry.instance, outcome: entry.outcome };
}

function claim(entries: Entries, message: ClaimMessage): ClaimAnswer {
  const { key, token, instance, content } = message;
  const entry = entries[key];
  if (entry && entry.token !== token) return describeHolder(entry, content);
  // Changing the map in place is safe: applyClaims passes a copy.
  entries[key] = entry ?? { token, instance, content };
  return { kind: 'granted' };
}

function record(entries: Entries, message: ClaimMessage): ClaimAnswer {
  const entry = entries[message.key];
  if (entry?.token === message.token && message.outcome) {
    entries[message.key] = { ...entry, outcome: message.outcome };
  }
  return { kind: 'granted' };
}

function release(entries: Entries, message: ClaimMessage): ClaimAnswer {
  if (entries[message.key]?.token === message.token) delete entries[message.key];
  return { kind: 'granted' };
}

const OPERATIONS: Readonly<
  Record<ClaimMessage['operation'], (entries: Entries, message: ClaimMessage) => ClaimAnswer>
> = { claim, record, release };

/** The result of applying a group of operations. */
export interface AppliedClaims {
  /** The shard after the operations. */
  readonly shard: ClaimShard;
  /** One answer for each operation, in the same order. */
  readonly answers: ClaimAnswer[];
  /** Whether the shard differs from the one that was read and has to be written. */
  readonly isChanged: boolean;
}

/**
 * Applies a group of operations in order. Each operation is idempotent, because it acts only on
 * a key that is free or that its own token holds.
 *
 * @param shard - The shard as last read; it is not modified.
 */
export function applyClaims(shard: ClaimShard, messages: readonly ClaimMessage[]): AppliedClaims {
  const entries: Entries = Object.assign(Object.create(null) as Entries, shard.entries);
  const answers = messages.map((message) => OPERATIONS[message.operation](entries, message));
  const before = Object.keys(shard.entries);
  const isChanged =
    before.length !== Object.keys(entries).length ||
    Object.entries(entries).some(([key, entry]) => shard.entries[key] !== entry);
  return { shard: { entries: { ...entries } }, answers, isChanged };
}
