/** Takes, renews and gives up one lease. */
import { randomUUID } from 'node:crypto';
import { writeObject } from '../platform/commands/write-objects.js';
import type { PlatformConnection } from '../platform/connection.js';
import { ABSENT_VERSION, type ReadResult } from '../platform/object.js';
import { readObject } from '../platform/queries/read-objects.js';
import { hasRunOut, Lease, LEASE_PREFIX, type LeaseSighting } from './lease.js';

/** Options of {@link LeaseManager}. */
export interface LeaseManagerOptions {
  readonly connection: PlatformConnection;
  /** What the lease is on. */
  readonly name: string;
  /** This incarnation of this instance. */
  readonly holder: string;
  readonly durationMilliseconds: number;
  /** The longest order; a new holder waits this out after the old lease. */
  readonly orderTimeoutMilliseconds: number;
  readonly monotonicMilliseconds?: () => number;
}

/** A lease that this instance holds. */
export interface HeldLease {
  readonly fencingNumber: number;
  /** Until when it holds, on the monotonic clock. */
  readonly validUntil: number;
  /** From when orders may be given. */
  readonly ordersFrom: number;
}

export class LeaseManager {
  readonly #options: LeaseManagerOptions;

  readonly #now: () => number;

  #sighting: LeaseSighting | undefined;

  #held: HeldLease | undefined;

  constructor(options: LeaseManagerOptions) {
    this.#options = options;
    this.#now = options.monotonicMilliseconds ?? (() => performance.now());
  }

  /** The lease, if this instance holds it now. */
  get held(): HeldLease | undefined {
    const held = this.#held;
    return held && this.#now() < held.validUntil ? held : undefined;
  }

  /**
   * Tells whether an order may be given now: whether the lease holds for longer than the longest
   * order takes. It is to be asked right before each order.
   *
   * @returns The fencing number for the order, or undefined when none may be given.
   */
  fencingNumberForOrder(): number | undefined {
    const now = this.#now();
    const { held } = this;
    if (!held || now < held.ordersFrom) return undefined;
    return now + this.#options.orderTimeoutMilliseconds < held.validUntil
      ? held.fencingNumber
      : undefined;
  }

  /** Renews the lease if it is held, or takes it if it is free. */
  async acquireOrRenew(): Promise<void> {
    const result = await readObject(this.#options.connection, this.#key);
    if (result.kind === 'unavailable') return;
    const { holder } = this.#options;
    if (result.kind === 'absent') {
      await this.#write({ lease: undefined, version: ABSENT_VERSION, isTakeover: false });
      return;
    }
    const lease = Lease.safeParse(result.object.value);
    this.#see(result);
    if (!lease.success) return;
    const { version } = result.object;
    if (lease.data.holder === holder) {
      await this.#write({ lease: lease.data, version, isTakeover: false });
      return;
    }
    this.#held = undefined;
    if (this.#sighting && hasRunOut(lease.data, this.#sighting, this.#now())) {
      await this.#write({ lease: lease.data, version, isTakeover: true });
    }
  }

  /** Gives the lease up, so that another instance need not wait it out. */
  async release(): Promise<void> {
    if (!this.held) return;
    this.#held = undefined;
    const result = await readObject(this.#options.connection, this.#key);
    if (result.kind !== 'found') return;
    const lease = Lease.safeParse(result.object.value);
    if (!lease.success || lease.data.holder !== this.#options.holder) return;
    const released: Lease = {
      ...lease.data,
      holder: '',
      durationMilliseconds: 1,
      token: randomUUID(),
    };
    await writeObject(this.#options.connection, this.#key, released, result.object.version);
  }

  get #key(): string {
    return LEASE_PREFIX + this.#options.name;
  }

  #see(result: ReadResult): void {
    if (result.kind !== 'found') return;
    const { version } = result.object;
    if (this.#sighting?.version === version) return;
    this.#sighting = { version, firstSeenAt: this.#now() };
  }

  async #write(from: {
    readonly lease: Lease | undefined;
    readonly version: number;
    readonly isTakeover: boolean;
  }): Promise<void> {
    const {
      connection,
      holder,
      durationMilliseconds,
      orderTimeoutMilliseconds: orderMilliseconds,
    } = this.#options;
    const isRenewal = from.lease?.holder === holder;
    const previous = from.lease?.fencingNumber ?? 0;
    const next: Lease = {
      holder,
      fencingNumber: isRenewal ? previous : previous + 1,
      durationMilliseconds,
      renewals: isRenewal ? (from.lease?.renewals ?? 0) + 1 : 0,
      token: randomUUID(),
    };
    // Counted from before the write: others count from when they can first see it.
    const askedAt = this.#now();
    const result = await writeObject(connection, this.#key, next, from.version);
    const isHeld =
      result.kind === 'written' || (result.kind === 'unknown' && (await this.#isStored(next)));
    if (!isHeld) return;
    const wait = from.isTakeover ? orderMilliseconds : 0;
    const ordersFrom = isRenewal && this.#held ? this.#held.ordersFrom : askedAt + wait;
    this.#held = {
      fencingNumber: next.fencingNumber,
      validUntil: askedAt + durationMilliseconds,
      ordersFrom,
    };
  }

  /** Settles a write whose answer was lost by reading its own token back. */
  async #isStored(lease: Lease): Promise<boolean> {
    const result = await readObject(this.#options.connection, this.#key);
    if (result.kind !== 'found') return false;
    const stored = Lease.safeParse(result.object.value);
    return stored.success && stored.data.token === lease.token;
  }
}
