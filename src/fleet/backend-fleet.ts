/** Every backend server that is registered, with what this instance and its peers know of it. */
import { formatAddress } from '../common/address.js';
import type { Logger } from '../telemetry/log.js';
import type { LayerRange, ServerEntry } from './server-entry.js';

/** Work under way at a server. */
export interface ServerLoad {
  requests: number;
  /** KV cache promised to requests, in tokens times layers. */
  reservedTokenLayers: number;
}

/** Layers that an engine has said to hold. */
export interface LayerReport {
  readonly layers: LayerRange;
  /** When, on the monotonic clock. */
  readonly reportedAt: number;
}

/** A registered server and what is known of it. */
export interface FleetServer {
  entry: ServerEntry;
  /** Sent by this instance. */
  readonly ownLoad: ServerLoad;
  /** Sent by all peers, as last heard. */
  readonly peerLoad: ServerLoad;
  /** How many times slower it is than its kind, as this instance has read. */
  ownSlowdownFactor: number;
  /** The same, as peers have read. */
  peerSlowdownFactor: number;
  /** What it has said to hold, ahead of its entry. */
  ownLayerReport: LayerReport | undefined;
  /** What it has said to peers. */
  peerLayerReport: LayerReport | undefined;
  /** Until when it is thought to have no room, on the monotonic clock. */
  fullUntil: number;
  /** Since when it has refused every request. */
  refusingSince: number | undefined;
  /** Requests refused since it last served one. */
  consecutiveRefusals: number;
  /** Since when it is gone from the store, on the monotonic clock; it may come back. */
  missingSince: number | undefined;
}

/** Options of {@link BackendFleet}. */
export interface BackendFleetOptions {
  readonly log: Logger;
  readonly now?: () => number;
}

/** While a store comes back, entries of servers that live may be missing for this long. */
const MISSING_GRACE_MILLISECONDS = 1900;

/** An engine's entry shows what it has said for certain after this long. */
const HOLDING_KEPT_MILLISECONDS = 6000;
const FIRST_FULL_MILLISECONDS = 150;
const LONGEST_FULL_MILLISECONDS = 1200;

/**
 * Tells what an engine holds.
 *
 * @param server - The engine.
 * @returns What it has last said, or else what it has registered.
 */
export function getHeldLayers(server: FleetServer): LayerRange | undefined {
  const { ownLayerReport: ownHolding, peerLayerReport: othersHolding, entry } = server;
  const newest =
    (ownHolding?.reportedAt ?? 0) >= (othersHolding?.reportedAt ?? 0) ? ownHolding : othersHolding;
  if (!newest || performance.now() - newest.reportedAt > HOLDING_KEPT_MILLISECONDS)
    return entry.layers;
  return newest.layers;
}

/**
 * Notes that a server refused a request for want of room or because it leaves.
 *
 * @param server - The server.
 * @param now - The monotonic clock.
 */
export function recordRefusal(server: FleetServer, now: number): void {
  const pause = Math.min(
    LONGEST_FULL_MILLISECONDS,
    FIRST_FULL_MILLISECONDS * 2 ** server.consecutiveRefusals,
  );
  server.consecutiveRefusals += 1;
  server.refusingSince ??= now;
  server.fullUntil = now + pause;
}

/**
 * Notes that a server took a request.
 *
 * @param server - The server.
 */
export function recordAcceptance(server: FleetServer): void {
  server.consecutiveRefusals = 0;
  server.refusingSince = undefined;
  server.fullUntil = 0;
}

export class BackendFleet {
  readonly #servers = new Map<string, FleetServer>();

  readonly #log: Logger;

  readonly #now: () => number;

  /** The store's revision that this view is as of. */
  revision = 0;

  /** When the store was last known to be away, on the monotonic clock. */
  storeUnavailableAt = Number.NEGATIVE_INFINITY;

  constructor(options: BackendFleetOptions) {
    this.#log = options.log;
    this.#now = options.now ?? (() => performance.now());
  }

  /** Every server that may be used or ordered. */
  get servers(): readonly FleetServer[] {
    this.#forgetMissing();
    return [...this.#servers.values()];
  }

  /**
   * Finds a server by its id.
   *
   * @param id - The id.
   * @returns The server, or undefined when it isn't registered.
   */
  find(id: string): FleetServer | undefined {
    return this.#servers.get(id);
  }

  /**
   * Finds a server by where it listens.
   *
   * @param address - `host:port`.
   * @returns The server, or undefined when none is registered there.
   */
  findByAddress(address: string): FleetServer | undefined {
    return this.servers.find(({ entry }) => formatAddress(entry.address) === address);
  }

  /**
   * Lists a service's servers that take new work.
   *
   * @param service - The service's name.
   * @returns Its servers that aren't leaving.
   */
  listForService(service: string): FleetServer[] {
    return this.servers.filter(({ entry }) => entry.service === service && !entry.isLeaving);
  }

  /**
   * Takes in every registered server.
   *
   * @param entries - The entries.
   * @param revision - The store's revision that they are as of.
   */
  replaceAll(entries: readonly ServerEntry[], revision: number): void {
    if (revision < this.revision) return;
    this.revision = revision;
    const present = new Set(entries.map(({ id }) => id));
    entries.forEach((entry) => this.#put(entry));
    [...this.#servers.keys()].filter((id) => !present.has(id)).forEach((id) => this.#lose(id));
  }

  /**
   * Takes in one changed entry.
   *
   * @param entry - The entry.
   * @param revision - The store's revision after the change.
   */
  put(entry: ServerEntry, revision: number): void {
    this.revision = Math.max(this.revision, revision);
    this.#put(entry);
  }

  /**
   * Takes in that an entry is gone or names no server to use.
   *
   * @param id - The entry's name.
   * @param revision - The store's revision after the change.
   */
  remove(id: string, revision: number): void {
    this.revision = Math.max(this.revision, revision);
    this.#lose(id);
  }

  #put(entry: ServerEntry): void {
    const known = this.#servers.get(entry.id);
    if (!known) {
      this.#log.info('Server registered.', { ...entry, revision: this.revision });
      this.#servers.set(entry.id, {
        entry,
        ownLoad: { requests: 0, reservedTokenLayers: 0 },
        peerLoad: { requests: 0, reservedTokenLayers: 0 },
        ownSlowdownFactor: 1,
        peerSlowdownFactor: 1,
        ownLayerReport: undefined,
        peerLayerReport: undefined,
        fullUntil: 0,
        refusingSince: undefined,
        consecutiveRefusals: 0,
        missingSince: undefined,
      });
      return;
    }
    if (known.entry.isLeaving !== entry.isLeaving) {
      this.#log.info('Server leaves.', { id: entry.id, revision: this.revision });
    }
    if (hasOtherLayers(known.entry, entry)) {
      known.ownLayerReport = undefined;
      known.peerLayerReport = undefined;
    }
    known.entry = entry;
    known.missingSince = undefined;
  }

  #lose(id: string): void {
    const known = this.#servers.get(id);
    if (!known) return;
    const wasDisturbed = this.#now() - this.storeUnavailableAt < MISSING_GRACE_MILLISECONDS;
    if (!wasDisturbed || known.entry.isLeaving) {
      this.#servers.delete(id);
      this.#log.info('Server is gone.', { id, revision: this.revision });
      return;
    }
    known.missingSince ??= this.#now();
  }

  #forgetMissing(): void {
    const oldest = this.#now() - MISSING_GRACE_MILLISECONDS;
    this.#servers.forEach((server, id) => {
      if (server.missingSince === undefined || server.missingSince > oldest) return;
      this.#servers.delete(id);
      this.#log.info('Server is gone.', { id, revision: this.revision, missed: true });
    });
  }
}

function hasOtherLayers(before: ServerEntry, after: ServerEntry): boolean {
  return before.layers?.from !== after.layers?.from || before.layers?.to !== after.layers?.to;
}
