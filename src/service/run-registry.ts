/**
 * Keeps the runs of requests with idempotency keys, current and recent ones, so that repeated
 * submissions get the outcome of the first.
 */
import { LruMap } from '../common/lru-map.js';
import type { Outcome } from '../routing/outcome.js';

/** One run of a request with an idempotency key. */
export interface KeyedRun {
  /** A hash of the request. */
  readonly contentHash: string;
  readonly outcome: Promise<Outcome>;
}

/** Above this number the least recently used run is dropped. */
const MAXIMUM_RUNS = 10_000;

export class RunRegistry {
  readonly #runs = new LruMap<string, KeyedRun>(MAXIMUM_RUNS);

  readonly #pendingClaims = new Map<string, Set<Promise<unknown>>>();

  /**
   * Finds a run.
   *
   * @param key - The idempotency key with its account.
   * @returns The run, if it started on this instance and is still kept.
   */
  find(key: string): KeyedRun | undefined {
    return this.#runs.get(key);
  }

  /**
   * Finds a run after any pending claims of its key have ended. A peer can learn that this instance
   * holds the claim before this instance itself does, and ask for the outcome too early.
   *
   * @param key - The idempotency key with its account.
   * @returns The run, if it started on this instance and is still kept.
   */
  async findAfterPendingClaims(key: string): Promise<KeyedRun | undefined> {
    await Promise.allSettled(this.#pendingClaims.get(key) ?? []);
    return this.find(key);
  }

  /**
   * Tracks a pending claim until it ends.
   *
   * @param key - The idempotency key with its account.
   * @param pendingClaim - Settles when the claim was granted and its run is registered, or when
   *   the claim was not granted.
   */
  trackPendingClaim(key: string, pendingClaim: Promise<unknown>): void {
    const pendingForKey = this.#pendingClaims.get(key) ?? new Set();
    this.#pendingClaims.set(key, pendingForKey.add(pendingClaim));
    const remove = (): void => {
      pendingForKey.delete(pendingClaim);
      if (pendingForKey.size === 0) this.#pendingClaims.delete(key);
    };
    pendingClaim.then(remove, remove);
  }

  /**
   * Registers a run. It is removed again if it is refused, since nothing ran and a later submission
   * with its key may run, or if it throws.
   *
   * @param key - The idempotency key with its account.
   * @param run - The run.
   */
  register(key: string, run: KeyedRun): void {
    this.#runs.set(key, run);
    const remove = (): void => {
      if (this.#runs.get(key) === run) this.#runs.delete(key);
    };
    run.outcome.then((outcome) => {
      if (outcome.kind === 'refused') remove();
    }, remove);
  }
}
