/** The keyed requests that this instance runs or ran lately, for repeats of their keys. */
import { LruMap } from '../common/lru-map.js';
import type { Outcome } from '../routing/outcome.js';

/** One keyed run. */
export interface KeyedRun {
  readonly contentHash: string;
  readonly outcome: Promise<Outcome>;
}

const MAXIMUM_RUNS = 10_000;

export class RunRegistry {
  readonly #runs = new LruMap<string, KeyedRun>(MAXIMUM_RUNS);

  readonly #claiming = new Map<string, Set<Promise<unknown>>>();

  /**
   * Finds a run.
   *
   * @param key - The account and its key.
   * @returns The run, if this instance has it.
   */
  find(key: string): KeyedRun | undefined {
    return this.#runs.get(key);
  }

  /**
   * Finds a run. While a claim of the key is under way here, its end is awaited: a peer may hear
   * that this instance holds the key before this instance does.
   *
   * @param key - The account and its key.
   * @returns The run, if this instance has it.
   */
  async findAfterPendingClaims(key: string): Promise<KeyedRun | undefined> {
    await Promise.allSettled(this.#claiming.get(key) ?? []);
    return this.find(key);
  }

  /**
   * Notes that a claim of a key is under way.
   *
   * @param key - The account and its key.
   * @param claiming - Ends when the claim is granted and its run kept, or when it is not granted.
   */
  trackPendingClaim(key: string, claiming: Promise<unknown>): void {
    const group = this.#claiming.get(key) ?? new Set();
    this.#claiming.set(key, group.add(claiming));
    const forget = (): void => {
      group.delete(claiming);
      if (group.size === 0) this.#claiming.delete(key);
    };
    claiming.then(forget, forget);
  }

  /**
   * Keeps a run; one that was refused is forgotten, since its key may run later.
   *
   * @param key - The account and its key.
   * @param run - The run.
   */
  register(key: string, run: KeyedRun): void {
    this.#runs.set(key, run);
    const forget = (): void => {
      if (this.#runs.get(key) === run) this.#runs.delete(key);
    };
    run.outcome.then((outcome) => {
      if (outcome.kind === 'refused') forget();
    }, forget);
  }
}
