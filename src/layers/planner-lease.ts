/**
 * The planner lease: a lease in the object store, so that only one instance at a time sends orders
 * to engines. It is renewed by a conditional write right before each round of orders, so that an
 * instance that was paused or has lost the lease notices before it sends any order. No renewals are
 * needed between rounds. Each write carries the orders in progress, which the next holder reads.
 */
import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import type { ObjectStore, StoredObject, WriteObjectResult } from '../store/object-store.js';
import { keepWritableFields } from '../store/writable-fields.js';
import type { Logger } from '../telemetry/log.js';
import {
  decodeLeaseOrders,
  encodeLeaseOrders,
  type InheritedOrder,
  type LeaseOrder,
} from './planner-lease-orders.js';

/**
 * Result of acquiring or renewing the lease. `unconfirmed` means that the store did not answer, so
 * that no other instance can be expected to renew or take over the lease either.
 */
export type LeaseState = 'held' | 'lost' | 'unconfirmed';

/** Options of {@link PlannerLease}. */
export interface PlannerLeaseOptions {
  readonly store: ObjectStore;
  /** Identifies this run of this instance: `instance/incarnation`. */
  readonly holder: string;
  readonly log: Logger;
  readonly now?: () => number;
  /** The wall clock in milliseconds. */
  readonly wallNow?: () => number;
}

/** Keeps fields that it doesn't know, which a newer build may have written. */
const LeaseValue = z.looseObject({ holder: z.string(), token: z.string(), term: z.number() });
type LeaseValue = z.infer<typeof LeaseValue>;

/** Reads each field by itself, so that one of another format doesn't make a holder's lease free. */
const ReadableLease = z
  .looseObject({
    holder: z.string().catch(''),
    token: z.string().catch(''),
    term: z.number().catch(0),
  })
  .catch({ holder: '', token: '', term: 0 });

export const LEASE_KIND = 'leases';
export const LEASE_NAME = 'planner';
/** Orders may be sent for this long after the start of a renewal. */
const VALIDITY_MILLISECONDS = 1500;
const MAXIMUM_MESSAGE_CHARACTERS = 200;
/** More than there can be changes of the holder between two returns of the store from an older copy. */
const TERMS_PER_ERA = 2 ** 32;

export class PlannerLease {
  readonly #options: PlannerLeaseOptions;

  readonly #now: () => number;

  readonly #wallNow: () => number;

  #revision: number | undefined;

  #term = 0;

  /** The highest term that this instance has seen; a store that is back from an older copy may hold a lower one. */
  #highestTerm = 0;

  /** Era of the store that gave the revision; see `store-position`. */
  #era = 0;

  /** The lease as it was read, with what other builds wrote. */
  #found: Record<string, unknown> = {};

  /** Orders of the previous holder, until they are taken. */
  #inheritedOrders: readonly InheritedOrder[] = [];

  #validUntil = Number.NEGATIVE_INFINITY;

  constructor(options: PlannerLeaseOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
    this.#wallNow = options.wallNow ?? (() => Date.now());
  }

  /** Whether the last renewal is recent enough to send orders. */
  get isValid(): boolean {
    return this.#now() < this.#validUntil;
  }

  /** Whether this instance held the lease after its last confirmed renewal. */
  get isHolder(): boolean {
    return this.#revision !== undefined && this.#validUntil > Number.NEGATIVE_INFINITY;
  }

  /** How long orders may still be sent; 0 if the lease must be renewed first. */
  get remainingMilliseconds(): number {
    return Math.max(0, Math.round(this.#validUntil - this.#now()));
  }

  /** Number of the holder's term, which increases with each change of holder; none is given twice, in no era either. */
  get term(): number {
    return this.#term;
  }

  /** Forgets the revision, which a store that is back from an older copy may give out again. */
  forget(): void {
    this.#revision = undefined;
    this.#validUntil = Number.NEGATIVE_INFINITY;
  }

  /** Returns once the orders that the previous holder had in progress when the lease was taken over. */
  takeInheritedOrders(): readonly InheritedOrder[] {
    const orders = this.#inheritedOrders;
    this.#inheritedOrders = [];
    return orders;
  }

  /**
   * Renews the lease, or takes it over if it is free or its holder is gone.
   *
   * @param isHolderGone - Returns whether the instance with the given holder id is gone, so that
   *   its lease may be taken over.
   * @param orders - The orders in progress and those about to be sent. If the lease is taken over with orders in
   *   progress, it carries these instead, as the caller plans again with them.
   * @returns `held` if this instance holds the lease now, `lost` if another one does.
   */
  async acquireOrRenew(
    isHolderGone: (holder: string) => boolean,
    orders: readonly LeaseOrder[] = [],
  ): Promise<LeaseState> {
    const startedAt = this.#now();
    if (this.#revision === undefined) {
      const found = await this.#prepareToAcquire(isHolderGone);
      if (found !== 'held') return found;
    }
    const value: LeaseValue = {
      ...this.#found,
      holder: this.#options.holder,
      token: randomUUID(),
      term: this.#term,
      ...this.#encodeOrders(orders),
    };
    const result = await this.#write(value);
    if (result.kind === 'written') {
      const { revision, era = 0 } = result.object;
      if (era === this.#era) return this.#markHeld(revision, startedAt);
      // The revision that was replaced may have been given out again, to another holder.
      this.#options.log.warn('Planner lease written to an older copy of the store; read again.', {
        term: this.#term,
        era,
      });
      this.forget();
      return 'lost';
    }
    if (result.kind === 'unavailable') return 'unconfirmed';
    if (result.kind === 'unknown') {
      // The write may have succeeded: if so, the lease has the token of this renewal.
      const found = await this.#read();
      if (found && found.value.token === value.token)
        return this.#markHeld(found.revision, startedAt);
      if (!found) return 'unconfirmed';
    }
    if (result.kind === 'conflict')
      this.#options.log.info('Planner lease lost: another write has replaced it.', {
        term: this.#term,
      });
    this.#revision = undefined;
    this.#validUntil = Number.NEGATIVE_INFINITY;
    return 'lost';
  }

  /** Writes no field where there is nothing to carry over and the lease has none. */
  #encodeOrders(orders: readonly LeaseOrder[]): { readonly orders?: unknown } {
    const wallNow = this.#wallNow();
    const inherited = this.#inheritedOrders.map(({ order, remainingMilliseconds }) => ({
      ...order,
      expiresAt: wallNow + remainingMilliseconds,
    }));
    const carried = inherited.length > 0 ? inherited : orders;
    if (carried.length === 0 && this.#found.orders === undefined) return {};
    const field = encodeLeaseOrders(this.#term, carried);
    this.#found.orders = field;
    return { orders: field };
  }

  #markHeld(revision: number, startedAt: number): LeaseState {
    this.#revision = revision;
    this.#highestTerm = Math.max(this.#highestTerm, this.#term);
    this.#validUntil = startedAt + VALIDITY_MILLISECONDS;
    return 'held';
  }

  /**
   * Reads the lease. If it may be taken, stores the revision to replace and the term of the next
   * write, and returns `held`.
   */
  async #prepareToAcquire(isHolderGone: (holder: string) => boolean): Promise<LeaseState> {
    const { store, holder, log } = this.#options;
    const result = await store.read(LEASE_KIND, LEASE_NAME);
    if (result.kind === 'unavailable') return 'unconfirmed';
    this.#inheritedOrders = [];
    if (result.kind === 'absent') {
      this.#revision = 0;
      this.#era = result.era ?? 0;
      this.#term = this.#chooseNewTerm(this.#era);
      this.#found = {};
      return 'held';
    }
    const held = this.#parse(result.object);
    const highestBefore = this.#highestTerm;
    this.#highestTerm = Math.max(highestBefore, held.term);
    if (held.holder !== holder && !isHolderGone(held.holder)) return 'lost';
    this.#revision = result.object.revision;
    this.#era = result.object.era ?? 0;
    this.#found = keepWritableFields(held);
    const lowestTerm = Math.max(highestBefore, this.#era * TERMS_PER_ERA);
    const isOwnTerm = held.holder === holder && held.term >= lowestTerm;
    this.#term = isOwnTerm ? held.term : this.#chooseNewTerm(this.#era);
    this.#inheritedOrders = decodeLeaseOrders(held.orders, held.term, this.#wallNow());
    log.info('Taking the planner lease.', {
      before: held.holder,
      term: this.#term,
      ordersInProgress: this.#inheritedOrders.length,
    });
    return 'held';
  }

  /** A store that came back from an older copy has lost the terms given since; those of its new era are higher. */
  #chooseNewTerm(era: number): number {
    return Math.max(this.#highestTerm, era * TERMS_PER_ERA) + 1;
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
    return { ...result.object, value: this.#parse(result.object) };
  }

  #parse({ value }: StoredObject): LeaseValue {
    const { error } = LeaseValue.safeParse(value);
    if (error)
      this.#options.log.warn('Planner lease has another format; only parts of it are read.', {
        message: error.message.slice(0, MAXIMUM_MESSAGE_CHARACTERS),
      });
    return ReadableLease.parse(value);
  }
}
