/**
 * A shard of claims, stored as one object in the object API, and the pure functions that apply
 * claim, record and release operations to it.
 */
import { z } from 'zod';
import { RecordedOutcome, type ClaimAnswer, type ClaimMessage } from '../peer/messages.js';
import { keepWritableFields } from '../store/writable-fields.js';

/** The stored claim of one idempotency key. */
export const ClaimEntry = z.looseObject({
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

/** Leaves out fields, never the entry: a key without one is free. */
function makeWritable(entry: unknown): unknown {
  return typeof entry === 'object' && entry !== null
    ? keepWritableFields(entry as Readonly<Record<string, unknown>>)
    : entry;
}

/**
 * A shard of claims; each key is an idempotency key, prefixed with its client account. Entries are
 * read one by one, so that one that can't be read costs only its key. Fields of a newer build are kept.
 */
export const ClaimShard = z
  .looseObject({ entries: z.record(z.string(), z.unknown()) })
  .transform((shard) => ({
    ...keepWritableFields(shard),
    entries: Object.fromEntries(
      Object.entries(shard.entries).map(([key, entry]) => [key, makeWritable(entry)]),
    ),
  }));
export type ClaimShard = z.infer<typeof ClaimShard>;

type Entries = Record<string, unknown>;

/** It may be held, so it is neither granted nor changed. */
const UNREADABLE: ClaimAnswer = {
  kind: 'unavailable',
  message: 'The stored claim does not match the schema.',
};

function describeHolder(entry: ClaimEntry, content: string): ClaimAnswer {
  if (entry.content !== content) return { kind: 'other_content' };
  return { kind: 'held', instance: entry.instance, outcome: entry.outcome };
}

function claim(
  entries: Entries,
  entry: ClaimEntry | undefined,
  message: ClaimMessage,
): ClaimAnswer {
  const { key, token, instance, content } = message;
  if (entry && entry.token !== token) return describeHolder(entry, content);
  // Changing the map in place is safe: applyClaims passes a copy.
  entries[key] ??= { token, instance, content };
  return { kind: 'granted' };
}

function record(
  entries: Entries,
  entry: ClaimEntry | undefined,
  message: ClaimMessage,
): ClaimAnswer {
  if (entry?.token === message.token && message.outcome) {
    entries[message.key] = { ...entry, outcome: message.outcome };
  }
  return { kind: 'granted' };
}

function release(
  entries: Entries,
  entry: ClaimEntry | undefined,
  message: ClaimMessage,
): ClaimAnswer {
  if (entry?.token === message.token) delete entries[message.key];
  return { kind: 'granted' };
}

const OPERATIONS: Readonly<
  Record<
    ClaimMessage['operation'],
    (entries: Entries, entry: ClaimEntry | undefined, message: ClaimMessage) => ClaimAnswer
  >
> = { claim, record, release };

function apply(entries: Entries, message: ClaimMessage): ClaimAnswer {
  const stored = entries[message.key];
  const parsed = ClaimEntry.optional().safeParse(stored);
  return parsed.success ? OPERATIONS[message.operation](entries, parsed.data, message) : UNREADABLE;
}

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
  const answers = messages.map((message) => apply(entries, message));
  const before = Object.keys(shard.entries);
  const isChanged =
    before.length !== Object.keys(entries).length ||
    Object.entries(entries).some(([key, entry]) => shard.entries[key] !== entry);
  return { shard: { ...shard, entries: { ...entries } }, answers, isChanged };
}
