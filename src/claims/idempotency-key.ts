/** Idempotency keys: what callers name non-idempotent requests with. */
import { Left, Right, type Either } from 'purify-ts';
import type { Issue } from '../common/issue.js';
import { hashText32 } from '../routing/text-hash.js';

/** A key that the caller made; it carries the time at which it was made. */
export interface TimedKey {
  readonly kind: 'timed';
  readonly text: string;
  readonly createdAt: number;
}

/** A key that one incarnation of one instance issued and only that incarnation may spend. */
export interface TicketKey {
  readonly kind: 'ticket';
  readonly text: string;
  readonly instance: string;
  readonly incarnation: number;
}

export type IdempotencyKey = TimedKey | TicketKey;

const TIMED_PATTERN = /^(\d{13})-([A-Za-z0-9_-]{4,80})$/;
const TICKET_PATTERN = /^ticket\.([a-z0-9-]{1,63})\.(\d{10,16})\.([0-9a-f]{1,40})$/;

/** Claims are kept this long; an older key is never run. */
export const CLAIM_RETENTION_MILLISECONDS = 24 * 3_600_000;
const CLOCK_DIFFERENCE_ALLOWED_MILLISECONDS = 300_000;

const SHARD_COUNT = 16;
const WINDOW_MILLISECONDS = 10_000;
const MINUTE_MILLISECONDS = 60_000;

/** The key prefix of claims in the object API. */
export const CLAIM_PREFIX = 'claims/';

function invalid(message: string): Either<Issue[], IdempotencyKey> {
  return Left([{ code: 'invalid_key', path: ['idempotency-key'], message }]);
}

/**
 * Reads a key.
 *
 * @param text - The key as the caller sent it.
 * @param now - Wall-clock time in milliseconds.
 * @returns The key, or what is wrong with it. An expired key is valid; see {@link isExpired}.
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
  if (createdAt > now + CLOCK_DIFFERENCE_ALLOWED_MILLISECONDS)
    return invalid('Its time lies in the future.');
  return Right({ kind: 'timed', text, createdAt });
}

/**
 * Tells whether a key is older than the claims that are kept.
 *
 * @param key - The key.
 * @param now - Wall-clock time in milliseconds.
 * @returns Whether it is too old to run.
 */
export function isExpired(key: TimedKey, now: number): boolean {
  return key.createdAt < now - CLAIM_RETENTION_MILLISECONDS;
}

/**
 * Gives the prefix of all claims of one minute.
 *
 * @param at - A time in that minute, in milliseconds.
 * @returns The prefix of their objects' keys.
 */
export function buildMinutePrefix(at: number): string {
  return `${CLAIM_PREFIX}${Math.floor(at / MINUTE_MILLISECONDS)}/`;
}

/**
 * Names the object that holds a key's claim. Keys of the same time share a few objects, so that
 * claims can be written in groups and expired by listing one minute.
 *
 * @param key - The key.
 * @param scopedKey - The key together with its account.
 * @returns The object's key.
 */
export function buildShardKey(key: TimedKey, scopedKey: string): string {
  const window = Math.floor((key.createdAt % MINUTE_MILLISECONDS) / WINDOW_MILLISECONDS);
  return `${buildMinutePrefix(key.createdAt)}${window}-${hashText32(scopedKey) % SHARD_COUNT}`;
}
