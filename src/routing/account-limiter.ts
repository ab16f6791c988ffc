/**
 * Enforces each client account's request rate across all instances. One instance, chosen by
 * hashing, owns the account's token bucket; the others borrow tokens from it in small batches. If
 * the owner cannot be reached, each instance allows an equal share of the rate.
 */

import { createRefusal, type Refusal } from './outcome.js';

/** Options of {@link AccountLimiter}. */
export interface AccountLimiterOptions {
  /** Returns the account's limit in requests per second, or undefined for an unknown account. */
  readonly findRequestsPerSecond: (account: string) => number | undefined;
  /** Tells whether this instance owns the account's token bucket. */
  readonly isOwner: (account: string) => boolean;
  /** Borrows tokens from the owner of the account's bucket; rejects if it cannot be reached. */
  readonly borrowTokens: (
    account: string,
    amount: number,
  ) => Promise<{ granted: number; retryMilliseconds: number }>;
  /** Returns the number of instances that share the limit while the owner cannot be reached. */
  readonly countSharingInstances: () => number;
  readonly monotonicMilliseconds?: () => number;
}

/** Whether a request is within its account's limit, and otherwise how long to wait. */
export type RateLimitResult =
  { readonly kind: 'granted' } | { readonly kind: 'exceeded'; readonly retryMilliseconds: number };

/** The token bucket of an account that this instance owns, or stands in for. */
interface Bucket {
  tokens: number;
  refilledAt: number;
}

/** Tokens that this instance has borrowed for one account from the bucket's owner. */
interface BorrowedTokens {
  remaining: number;
  expiresAt: number;
  refusedUntil: number;
  pendingRequest: Promise<void> | undefined;
}

/** A bucket holds at most the tokens that it gains in this time, which bounds bursts. */
const BURST_MILLISECONDS = 1000;
/** One batch of borrowed tokens is this share of the tokens that the account gains per second. */
const BORROWED_SHARE_OF_RATE = 0.05;
const BORROWED_LIFETIME_MILLISECONDS = 1000;
const GRANTED: RateLimitResult = { kind: 'granted' };

export class AccountLimiter {
  readonly #options: AccountLimiterOptions;

  readonly #buckets = new Map<string, Bucket>();

  readonly #borrowedByAccount = new Map<string, BorrowedTokens>();

  readonly #now: () => number;

  constructor(options: AccountLimiterOptions) {
    this.#options = options;
    this.#now = options.monotonicMilliseconds ?? (() => performance.now());
  }

  /**
   * Consumes one token of an account's limit, borrowing from the owner if necessary.
   *
   * @param account - The id of the client account.
   * @returns Whether the request is within the limit, and otherwise how long to wait.
   */
  async consume(account: string): Promise<RateLimitResult> {
    if (this.#options.isOwner(account)) {
      const { granted, retryMilliseconds } = this.grantTokens(account, 1);
      return granted > 0 ? GRANTED : { kind: 'exceeded', retryMilliseconds };
    }
    return this.#consumeBorrowed(account);
  }

  /**
   * Consumes one token of an account's limit, or refuses the request.
   *
   * @param account - The id of the client account.
   * @returns The refusal to answer with if the account is over its limit, otherwise undefined.
   */
  async consumeOrRefuse(account: string): Promise<Refusal | undefined> {
    const result = await this.consume(account);
    if (result.kind === 'granted') return undefined;
    return createRefusal(
      'account_limit',
      'The client account is over its rate.',
      result.retryMilliseconds,
    );
  }

  /**
   * Grants tokens from an account's bucket, as its owner.
   *
   * @param account - The id of the client account.
   * @param amount - The number of tokens requested.
   * @returns The number of tokens granted, and how long to wait if none was.
   */
  grantTokens(account: string, amount: number): { granted: number; retryMilliseconds: number } {
    return this.#drawFromBucket(account, amount, this.#options.findRequestsPerSecond(account) ?? 0);
  }

  #drawFromBucket(
    account: string,
    amount: number,
    rate: number,
  ): { granted: number; retryMilliseconds: number } {
    const capacity = Math.max(1, (rate * BURST_MILLISECONDS) / 1000);
    const now = this.#now();
    const bucket = this.#buckets.get(account) ?? { tokens: capacity, refilledAt: now };
    const refilled = ((now - bucket.refilledAt) * rate) / 1000;
    bucket.tokens = Math.min(capacity, bucket.tokens + refilled);
    bucket.refilledAt = now;
    this.#buckets.set(account, bucket);
    const granted = Math.min(amount, Math.floor(bucket.tokens));
    bucket.tokens -= granted;
    if (granted > 0) return { granted, retryMilliseconds: 0 };
    const missing = 1 - bucket.tokens;
    const retryMilliseconds = rate > 0 ? Math.ceil((missing * 1000) / rate) : BURST_MILLISECONDS;
    return { granted, retryMilliseconds };
  }

  async #consumeBorrowed(account: string): Promise<RateLimitResult> {
    const borrowed = this.#getBorrowedTokens(account);
    if (this.#now() >= borrowed.expiresAt) borrowed.remaining = 0;
    while (borrowed.remaining < 1 && this.#now() >= borrowed.refusedUntil) {
      borrowed.pendingRequest ??= this.#borrowTokens(account, borrowed).finally(() => {
        borrowed.pendingRequest = undefined;
      });
      await borrowed.pendingRequest;
    }
    if (borrowed.remaining >= 1) {
      borrowed.remaining -= 1;
      return GRANTED;
    }
    const retryMilliseconds = Math.max(1, Math.ceil(borrowed.refusedUntil - this.#now()));
    return { kind: 'exceeded', retryMilliseconds };
  }

  async #borrowTokens(account: string, borrowed: BorrowedTokens): Promise<void> {
    const rate = this.#options.findRequestsPerSecond(account) ?? 0;
    const amount = Math.max(1, Math.ceil(rate * BORROWED_SHARE_OF_RATE));
    const answer = await this.#options
      .borrowTokens(account, amount)
      .catch(() =>
        this.#drawFromBucket(
          account,
          amount,
          rate / Math.max(1, this.#options.countSharingInstances()),
        ),
      );
    const now = this.#now();
    borrowed.remaining = answer.granted;
    borrowed.expiresAt = now + BORROWED_LIFETIME_MILLISECONDS;
    borrowed.refusedUntil = answer.granted > 0 ? now : now + Math.max(1, answer.retryMilliseconds);
  }

  #getBorrowedTokens(account: string): BorrowedTokens {
    const existing = this.#borrowedByAccount.get(account);
    if (existing) return existing;
    const borrowed: BorrowedTokens = {
      remaining: 0,
      expiresAt: 0,
      refusedUntil: 0,
      pendingRequest: undefined,
    };
    this.#borrowedByAccount.set(account, borrowed);
    return borrowed;
  }
}
