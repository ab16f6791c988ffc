/**
 * The lease under which one instance at a time gives orders to engines. It is renewed right before
 * each round of orders by a conditional write, so that a holder that was paused or lost it learns
 * so before it orders anything; between rounds it costs nothing.
 */
import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import type { ObjectStore, StoredObject, WriteObjectResult } from '../store/object-store.js';
import type { Logger } from '../telemetry/log.js';

/** Whether the lease is held. `unconfirmed`: the store can't say, and nobody else can have it said. */
export type LeaseState = 'held' | 'lost' | 'unconfirmed';

/** Options of {@link PlannerLease}. */
export interface PlannerLeaseOptions {
  readonly store: ObjectStore;
  /** This life of this instance. */
  readonly holder: string;
  readonly log: Logger;
  readonly now?: () => number;
}

const LeaseValue = z.object({ holder: z.string(), token: z.string(), term: z.number() });
type LeaseValue = z.infer<typeof LeaseValue>;

export const LEASE_KIND = 'leases';
export const LEASE_NAME = 'planner';
/** After a renewal, orders may be given for this long. */
const VALID_MILLISECONDS = 1500;

export class PlannerLease {
  readonly #options: PlannerLeaseOptions;

  readonly #now: () => number;

  #revision: number | undefined;

  #term = 0;

  #validUntil = Number.NEGATIVE_INFINITY;

  constructor(options: PlannerLeaseOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /** Whether a renewal is recent enough to give orders by. */
  get isValid(): boolean {
    return this.#now() < this.#validUntil;
  }

  /** Whether this instance held the lease when it last asked. */
  get isHolder(): boolean {
    return this.#revision !== undefined && this.#validUntil > Number.NEGATIVE_INFINITY;
  }

  /** For how long orders may still be given, in milliseconds; 0 once a renewal is due. */
  get remainingMilliseconds(): number {
    return Math.max(0, Math.round(this.#validUntil - this.#now()));
  }

  /** The term of this holder; each change of holder raises it. */
  get term(): number {
    return this.#term;
  }

  /**
   * Renews the lease, or takes it over.
   *
   * @param isHolderGone - Tells whether a holder may be superseded.
   * @returns Whether this instance holds the lease now.
   */
  async acquire(isHolderGone: (holder: string) => boolean): Promise<LeaseState> {
    const askedAt = this.#now();
    if (this.#revision === undefined) {
      const found = await this.#look(isHolderGone);
      if (found !== 'held') return found;
    }
    const value: LeaseValue = {
      holder: this.#options.holder,
      token: randomUUID(),
      term: this.#term,
    };
    const result = await this.#write(value);
    if (result.kind === 'written') return this.#hold(result.object.revision, askedAt);
    if (result.kind === 'unavailable') return 'unconfirmed';
    if (result.kind === 'unknown') {
      // Settled by reading one's own token back.
      const found = await this.#read();
      if (found && found.value.token === value.token) return this.#hold(found.revision, askedAt);
      if (!found) return 'unconfirmed';
    }
    if (result.kind === 'conflict') this.#options.log.info('Lease lost.', { term: this.#term });
    this.#revision = undefined;
    this.#validUntil = Number.NEGATIVE_INFINITY;
    return 'lost';
  }

  #hold(revision: number, askedAt: number): LeaseState {
    this.#revision = revision;
    this.#validUntil = askedAt + VALID_MILLISECONDS;
    return 'held';
  }

  /** Looks whether the lease may be taken, and under which revision. */
  async #look(isHolderGone: (holder: string) => boolean): Promise<LeaseState> {
    const { store, holder, log } = this.#options;
    const result = await store.read(LEASE_KIND, LEASE_NAME);
    if (result.kind === 'unavailable') return 'unconfirmed';
    if (result.kind === 'absent') {
      this.#revision = 0;
      this.#term = 1;
      return 'held';
    }
    const lease = LeaseValue.safeParse(result.object.value);
    const held = lease.success ? lease.data : { holder: '', token: '', term: 0 };
    if (held.holder !== holder && !isHolderGone(held.holder)) return 'lost';
    this.#revision = result.object.revision;
    this.#term = held.holder === holder ? held.term : held.term + 1;
    log.info('Lease sought.', { before: held.holder, term: this.#term });
    return 'held';
  }

  #write(value: LeaseValue): Promise<WriteObjectResult> {
    const { store } = this.#options;
    const revision = this.#revision ?? 0;
    if (revision === 0) return store.create(LEASE_KIND, LEASE_NAME, value);
    return store.replace(LEASE_KIND, LEASE_NAME, { value, revision });
  }

  async #read(): Promise<(StoredObject & { readonly value: LeaseValue }) | undefined> {
    const result = await this.#options.store.read(LEASE_KIND, LEASE_NAME);
    if (result.kind !== 'found') return undefined;
    const lease = LeaseValue.safeParse(result.object.value);
    return lease.success ? { ...result.object, value: lease.data } : undefined;
  }
}
