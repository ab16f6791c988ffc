/**
 * Keeps each client account's rate over all instances. One instance, found by hashing, keeps an
 * account's bucket; the others borrow from it in small parts. If it can't be reached, each
 * instance grants its even share.
 */

import { createRefusal, type Refusal } from './outcome.js';

/** Options of {@link AccountLimiter}. */
export interface AccountLimiterOptions {
  /** The account's limit in requests a second, if the account is known. */
  readonly findRequestsPerSecond: (account: string) => number | undefined;
  /** Whether this instance keeps the account's bucket. */
  readonly isOwner: (account: string) => boolean;
  /** Borrows from the account's home; rejects when it can't be reached. */
  readonly borrowTokens: (
    account: string,
    amount: number,
  ) => Promise<{ granted: number; retryMilliseconds: number }>;
  /** How many instances share the limit when the home can't be reached. */
  readonly countSharingInstances: () => number;
  readonly monotonicMilliseconds?: () => number;
}

/** Whether a request is within its account's limit. */
export type RateLimitResult =
  { readonly kind: 'granted' } | { readonly kind: 'exceeded'; readonly retryMilliseconds: number };

interface Bucket {
  tokens: number;
  filledAt: number;
}

interface Credit {
  amount: number;
  expiresAt: number;
  refusedUntil: number;
  pending: Promise<void> | undefined;
}

/** A bucket holds what comes in this time, so that much is the most that can burst. */
const BURST_MILLISECONDS = 1000;
const BORROW_SHARE = 0.05;
const CREDIT_KEPT_MILLISECONDS = 1000;
const GRANTED: RateLimitResult = { kind: 'granted' };

export class AccountLimiter {
  readonly #options: AccountLimiterOptions;

  readonly #buckets = new Map<string, Bucket>();

  readonly #credits = new Map<string, Credit>();

  readonly #now: () => number;

  constructor(options: AccountLimiterOptions) {
    this.#options = options;
    this.#now = options.monotonicMilliseconds ?? (() => performance.now());
  }

  /**
   * Takes one request out of an account's limit.
   *
   * @param account - The account.
   * @returns Whether it is within the limit, or when to come back.
   */
  async consume(account: string): Promise<RateLimitResult> {
    if (this.#options.isOwner(account)) {
      const { granted, retryMilliseconds } = this.grantTokens(account, 1);
      return granted > 0 ? GRANTED : { kind: 'exceeded', retryMilliseconds };
    }
    return this.#takeBorrowed(account);
  }

  /**
   * Takes one request out of an account's limit.
   *
   * @param account - The account.
   * @returns The refusal to send when it is over the limit.
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
   * Lends part of an account's rate, as its home.
   *
   * @param account - The account.
   * @param amount - How much is asked for.
   * @returns How much is granted, and when to ask again if nothing was.
   */
  grantTokens(account: string, amount: number): { granted: number; retryMilliseconds: number } {
    return this.#draw(account, amount, this.#options.findRequestsPerSecond(account) ?? 0);
  }

  #draw(
    account: string,
    amount: number,
    rate: number,
  ): { granted: number; retryMilliseconds: number } {
    const capacity = Math.max(1, (rate * BURST_MILLISECONDS) / 1000);
    const now = this.#now();
    const bucket = this.#buckets.get(account) ?? { tokens: capacity, filledAt: now };
    const earned = ((now - bucket.filledAt) * rate) / 1000;
    bucket.tokens = Math.min(capacity, bucket.tokens + earned);
    bucket.filledAt = now;
    this.#buckets.set(account, bucket);
    const granted = Math.min(amount, Math.floor(bucket.tokens));
    bucket.tokens -= granted;
    if (granted > 0) return { granted, retryMilliseconds: 0 };
    const missing = 1 - bucket.tokens;
    const retryMilliseconds = rate > 0 ? Math.ceil((missing * 1000) / rate) : BURST_MILLISECONDS;
    return { granted, retryMilliseconds };
  }

  async #takeBorrowed(account: string): Promise<RateLimitResult> {
    const credit = this.#creditOf(account);
    if (this.#now() >= credit.expiresAt) credit.amount = 0;
    while (credit.amount < 1 && this.#now() >= credit.refusedUntil) {
      credit.pending ??= this.#borrow(account, credit).finally(() => {
        credit.pending = undefined;
      });
      await credit.pending;
    }
    if (credit.amount >= 1) {
      credit.amount -= 1;
      return GRANTED;
    }
    const wait = Math.max(1, Math.ceil(credit.refusedUntil - this.#now()));
    return { kind: 'exceeded', retryMilliseconds: wait };
  }

  async #borrow(account: string, credit: Credit): Promise<void> {
    const rate = this.#options.findRequestsPerSecond(account) ?? 0;
    const amount = Math.max(1, Math.ceil(rate * BORROW_SHARE));
    const answer = await this.#options
      .borrowTokens(account, amount)
      .catch(() =>
        this.#draw(account, amount, rate / Math.max(1, this.#options.countSharingInstances())),
      );
    const now = this.#now();
    credit.amount = answer.granted;
    credit.expiresAt = now + CREDIT_KEPT_MILLISECONDS;
    credit.refusedUntil = answer.granted > 0 ? now : now + Math.max(1, answer.retryMilliseconds);
  }

  #creditOf(account: string): Credit {
    const known = this.#credits.get(account);
    if (known) return known;
    const credit: Credit = { amount: 0, expiresAt: 0, refusedUntil: 0, pending: undefined };
    this.#credits.set(account, credit);
    return credit;
  }
}
