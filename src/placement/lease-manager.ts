/**
 * Acquires, renews and releases one lease, and tells when its holder may send an order under it
 * without overlapping with the orders of another holder.
 */
import { randomUUID } from 'node:crypto';
import { writeObject } from '../platform/commands/write-objects.js';
import type { PlatformConnection } from '../platform/connection.js';
import { ABSENT_VERSION, type ReadResult } from '../platform/object.js';
import { readObject } from '../platform/queries/read-objects.js';
import { keepWritableFields } from '../store/writable-fields.js';
import { hasExpired, Lease, LEASE_PREFIX, type LeaseObservation } from './lease.js';

/** Options of {@link LeaseManager}. */
export interface LeaseManagerOptions {
  readonly connection: PlatformConnection;
  /** The lease's name; together with the prefix it is the object key. */
  readonly name: string;
  /** The unique name of this incarnation of this instance. */
  readonly holder: string;
  /** How long the lease is valid after each write. */
  readonly durationMilliseconds: number;
  /**
   * The longest that an order takes. A holder that took the lease over waits this long before its
   * first order, so that an order of the previous holder has ended.
   */
  readonly orderTimeoutMilliseconds: number;
  readonly monotonicMilliseconds?: () => number;
}

/** A lease that this instance holds. */
export interface HeldLease {
  readonly fencingNumber: number;
  /** When the lease expires unless it is renewed, on the monotonic clock in milliseconds. */
  readonly validUntil: number;
  /** When the first order may be sent, on the monotonic clock in milliseconds. */
  readonly ordersAllowedFrom: number;
}

export class LeaseManager {
  readonly #options: LeaseManagerOptions;

  readonly #now: () => number;

  #observation: LeaseObservation | undefined;

  #held: HeldLease | undefined;

  constructor(options: LeaseManagerOptions) {
    this.#options = options;
    this.#now = options.monotonicMilliseconds ?? (() => performance.now());
  }

  /** The lease, if this instance holds it and it has not expired. */
  get held(): HeldLease | undefined {
    const held = this.#held;
    return held && this.#now() < held.validUntil ? held : undefined;
  }

  /**
   * Tells whether an order may be sent now, and with which fencing number. Call this right before
   * each order: the process may have been paused, and an order must end before the lease expires.
   *
   * @returns The fencing number for the order, or undefined when no order may be sent.
   */
  getFencingNumberForOrder(): number | undefined {
    const now = this.#now();
    const { held } = this;
    if (!held || now < held.ordersAllowedFrom) return undefined;
    return now + this.#options.orderTimeoutMilliseconds < held.validUntil
      ? held.fencingNumber
      : undefined;
  }

  /**
   * Renews the lease if this instance holds it, or takes it if nobody holds it or its holder has
   * not renewed it in time. If the object API does not answer, nothing changes.
   */
  async acquireOrRenew(): Promise<void> {
    const result = await readObject(this.#options.connection, this.#key);
    if (result.kind === 'unavailable') return;
    const { holder } = this.#options;
    if (result.kind === 'absent') {
      await this.#write({ lease: undefined, version: ABSENT_VERSION, isTakeover: false });
      return;
    }
    const lease = Lease.safeParse(result.object.value);
    this.#observe(result);
    if (!lease.success) return;
    const { version } = result.object;
    if (lease.data.holder === holder) {
      await this.#write({ lease: lease.data, version, isTakeover: false });
      return;
    }
    this.#held = undefined;
    if (this.#observation && hasExpired(lease.data, this.#observation, this.#now())) {
      await this.#write({ lease: lease.data, version, isTakeover: true });
    }
  }

  /**
   * Releases the lease, if it is held, so that another instance can take it without waiting for it
   * to expire. It sends no further orders under the lease, even if the release cannot be stored.
   */
  async release(): Promise<void> {
    if (!this.held) return;
    this.#held = undefined;
    const result = await readObject(this.#options.connection, this.#key);
    if (result.kind !== 'found') return;
    const lease = Lease.safeParse(result.object.value);
    if (!lease.success || lease.data.holder !== this.#options.holder) return;
    const released: Lease = {
      ...keepWritableFields(lease.data),
      holder: '',
      durationMilliseconds: 1,
      token: randomUUID(),
    };
    await writeObject(this.#options.connection, this.#key, released, result.object.version);
  }

  get #key(): string {
    return LEASE_PREFIX + this.#options.name;
  }

  /** Notes when a version of the lease is read for the first time. */
  #observe(result: ReadResult): void {
    if (result.kind !== 'found') return;
    const { version } = result.object;
    if (this.#observation?.version === version) return;
    this.#observation = { version, firstSeenAt: this.#now() };
  }

  /** Writes a renewal of the stored lease, or a new lease of this holder. */
  async #write(stored: {
    readonly lease: Lease | undefined;
    readonly version: number;
    readonly isTakeover: boolean;
  }): Promise<void> {
    const { connection, holder, durationMilliseconds, orderTimeoutMilliseconds } = this.#options;
    const isRenewal = stored.lease?.holder === holder;
    const previousFencingNumber = stored.lease?.fencingNumber ?? 0;
    const next: Lease = {
      ...keepWritableFields(stored.lease ?? {}),
      holder,
      fencingNumber: isRenewal ? previousFencingNumber : previousFencingNumber + 1,
      durationMilliseconds,
      renewals: isRenewal ? (stored.lease?.renewals ?? 0) + 1 : 0,
      token: randomUUID(),
    };
    // The lease is measured from before the write. Observers measure from when they first read it,
    // which is later, so it expires here first.
    const writeStartedAt = this.#now();
    const result = await writeObject(connection, this.#key, next, stored.version);
    const isHeld =
      result.kind === 'written' || (result.kind === 'unknown' && (await this.#isStored(next)));
    if (!isHeld) return;
    const waitMilliseconds = stored.isTakeover ? orderTimeoutMilliseconds : 0;
    const ordersAllowedFrom =
      isRenewal && this.#held ? this.#held.ordersAllowedFrom : writeStartedAt + waitMilliseconds;
    this.#held = {
      fencingNumber: next.fencingNumber,
      validUntil: writeStartedAt + durationMilliseconds,
      ordersAllowedFrom,
    };
  }

  /** Finds out whether a write whose response was lost took effect, by reading its token back. */
  async #isStored(lease: Lease): Promise<boolean> {
    const result = await readObject(this.#options.connection, this.#key);
    if (result.kind !== 'found') return false;
    const stored = Lease.safeParse(result.object.value);
    return stored.success && stored.data.token === lease.token;
  }
}
