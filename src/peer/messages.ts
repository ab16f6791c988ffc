/** The schemas of the messages between instances, and their MessagePack encoding. */
import { Packr } from 'msgpackr';
import { z } from 'zod';

/** Request and answer of an exchange: the records that the receiver has not confirmed yet. */
export const ExchangeMessage = z.object({
  instance: z.string(),
  region: z.string(),
  /** The id of the sender's record table. An index is valid only together with its table's id. */
  table: z.number(),
  /** The id of the receiver's table to which `confirmed` refers. */
  confirmedTable: z.number(),
  /** The index in the receiver's table up to which the sender has stored its records. */
  confirmed: z.number().int().min(0),
  /** The index in the sender's table up to which the receiver is up to date with these records. */
  index: z.number().int().min(0),
  /** Each is read by itself: one of a kind that a newer build has added costs no other record. */
  records: z.array(z.unknown()),
});
export type ExchangeMessage = z.infer<typeof ExchangeMessage>;

/** A response that is stored with a claim and returned for repeated calls with the same key. */
export const RecordedOutcome = z.object({
  status: z.number().int(),
  contentType: z.string(),
  body: z.string(),
});
export type RecordedOutcome = z.infer<typeof RecordedOutcome>;

/** Asks the instance that most likely owns a claim shard to change a claim in it. */
export const ClaimMessage = z.object({
  operation: z.enum(['claim', 'record', 'release']),
  shard: z.string(),
  /** The client account and the idempotency key that it sent. */
  key: z.string(),
  /** A unique id of this submission of the request. */
  token: z.string(),
  /** The instance that will run the request. */
  instance: z.string(),
  /** A hash of the request, which tells whether a key is reused for a different request. */
  content: z.string(),
  outcome: RecordedOutcome.optional(),
});
export type ClaimMessage = z.infer<typeof ClaimMessage>;

/** The result of a claim operation. */
export const ClaimAnswer = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('granted') }),
  /** Another submission holds the key; `instance` runs it or has run it. */
  z.object({
    kind: z.literal('held'),
    instance: z.string(),
    outcome: RecordedOutcome.optional(),
  }),
  /** The key is held by a request with different content. */
  z.object({ kind: z.literal('other_content') }),
  /** It is not known whether the claim was stored. */
  z.object({ kind: z.literal('unavailable'), message: z.string() }),
]);
export type ClaimAnswer = z.infer<typeof ClaimAnswer>;

/**
 * A call to a plain service, forwarded to the instance that issued its ticket or that runs the
 * request with its idempotency key.
 */
export const ServiceCallMessage = z.object({
  account: z.string(),
  team: z.string(),
  service: z.string(),
  method: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  body: z.string(),
  key: z.string(),
  requestId: z.string(),
  deadlineMilliseconds: z.number(),
});
export type ServiceCallMessage = z.infer<typeof ServiceCallMessage>;

/** The outcome of a forwarded call. */
export const OutcomeMessage = z.object({ outcome: z.unknown() });
export type OutcomeMessage = z.infer<typeof OutcomeMessage>;

/** Asks for the outcome of the request with this key, which the receiver runs or has run. */
export const OutcomeQuery = z.object({
  key: z.string(),
  account: z.string(),
  waitMilliseconds: z.number(),
});
export type OutcomeQuery = z.infer<typeof OutcomeQuery>;

/** Asks the home instance of a client account for request tokens from the account's bucket. */
export const BorrowMessage = z.object({
  account: z.string(),
  amount: z.number().int().min(1).max(100_000),
});
export type BorrowMessage = z.infer<typeof BorrowMessage>;

/** The request tokens granted to the asking instance. */
export const BorrowAnswer = z.object({
  granted: z.number().int().min(0),
  /** Time until more tokens are available, in milliseconds. */
  retryMilliseconds: z.number(),
});
export type BorrowAnswer = z.infer<typeof BorrowAnswer>;

const packr = new Packr({ useRecords: false });

/** Encodes a message as MessagePack. */
export function encodeMessage(message: unknown): Buffer {
  return packr.pack(message);
}

/**
 * Decodes a MessagePack value.
 *
 * @returns The value, not yet validated against the schema of its message.
 * @throws Error when the bytes are not valid MessagePack.
 */
export function decodeMessage(bytes: Buffer): unknown {
  return packr.unpack(bytes) as unknown;
}
