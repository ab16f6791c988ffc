/**
 * Idempotency keys, by which repeats of a non-idempotent request are recognised: their two forms,
 * their expiry, and which stored shard holds a key's claim.
 */
import { Left, Right, type Either } from 'purify-ts';
import type { Issue } from '../common/issue.js';
import { hashText32 } from '../routing/text-hash.js';

/** A key that the caller made, with a timestamp by which its claim is found and expires. */
export interface TimedKey {
  readonly kind: 'timed';
  /** The whole key, as the caller sent it. */
  readonly text: string;
  /** The timestamp in the key, in milliseconds since 1970. */
  readonly createdAt: number;
}

/**
 * A key that an instance issued. Only that instance may run the request, and only until it is
 * restarted, so the key needs no claim in the object API.
 */
export interface TicketKey {
  readonly kind: 'ticket';
  /** The whole key, as the caller sent it. */
  readonly text: string;
  /** The instance that issued the ticket. */
  readonly instance: string;
  /** The incarnation of that instance, which changes at each start. */
  readonly incarnation: number;
}

/** A parsed key of either form. */
export type IdempotencyKey = TimedKey | TicketKey;

const TIMED_PATTERN = /^(\d{13})-([A-Za-z0-9_-]{4,80})$/;
const TICKET_PATTERN = /^ticket\.([a-z0-9-]{1,63})\.(\d{10,16})\.([0-9a-f]{1,40})$/;

/** How long claims are kept; a request with an older key is never run. */
export const CLAIM_RETENTION_MILLISECONDS = 24 * 3_600_000;
/** How far a key's timestamp may lie in the future, because the caller's clock may be ahead. */
const MAXIMUM_CLOCK_SKEW_MILLISECONDS = 300_000;

/** The number of shards for each time window. */
const SHARDS_PER_WINDOW = 16;
const WINDOW_MILLISECONDS = 10_000;
const MINUTE_MILLISECONDS = 60_000;

/** The prefix of the object keys of all claim shards in the object API. */
export const CLAIM_PREFIX = 'claims/';

function invalid(message: string): Either<Issue[], IdempotencyKey> {
  return Left([{ code: 'invalid_key', path: ['idempotency-key'], message }]);
}

/**
 * Parses an idempotency key.
 *
 * @param now - Wall-clock time in milliseconds since 1970.
 * @returns The key, or why it is malformed or too far in the future. Expired keys are parsed too;
 * see {@link isExpired}.
 */
export function safeParseKey(text: string, now: number): Either<Issue[], IdempotencyKey> {
  const ticket = TICKET_PATTERN.exec(text);
  if (ticket) {
    const [, instance = '', incarnation = ''] = ticket;
    return Right({ kind: 'ticket', text, instance, incarnation: Number(incarnation) });
  }
  const timed = TIMED_PATTERN.exec(text);
  if (!timed) {
    return invalid(
      'Write <milliseconds since 1970>-<4 to 80 letters, digits, dashes>, or a ticket.',
    );
  }
  const createdAt = Number(timed[1]);
  if (createdAt > now + MAXIMUM_CLOCK_SKEW_MILLISECONDS)
    return invalid('Its time lies in the future.');
  return Right({ kind: 'timed', text, createdAt });
}

/**
 * Tells whether a key is so old that its claim may have been deleted, so that a request with this
 * key must not be run.
 *
 * @param now - Wall-clock time in milliseconds since 1970.
 */
export function isExpired(key: TimedKey, now: number): boolean {
  return key.createdAt < now - CLAIM_RETENTION_MILLISECONDS;
}

/**
 * Builds the prefix of the object keys of all claim shards of one minute.
 *
 * @param at - A time in that minute, in milliseconds since 1970.
 */
export function buildMinutePrefix(at: number): string {
  return `${CLAIM_PREFIX}${Math.floor(at / MINUTE_MILLISECONDS)}/`;
}

/**
 * Builds the object key of the shard that holds a key's claim. Keys with nearly the same timestamp
 * share a few shards, so that claims can be written in groups and deleted by listing one minute.
 *
 * @param scopedKey - The idempotency key, prefixed with its client account; it selects one of the
 * shards of the time window.
 */
export function buildShardKey(key: TimedKey, scopedKey: string): string {
  const window = Math.floor((key.createdAt % MINUTE_MILLISECONDS) / WINDOW_MILLISECONDS);
  return `${buildMinutePrefix(key.createdAt)}${window}-${hashText32(scopedKey) % SHARDS_PER_WINDOW}`;
}
