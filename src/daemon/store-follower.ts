/**
 * Keeps an instance's configuration and list of backend servers up to date: by watching the store,
 * and from peers while the store is unreachable.
 */
import type { Address } from '../common/address.js';
import type { ActiveConfiguration } from '../entry/active-configuration.js';
import type { BackendFleet } from '../fleet/backend-fleet.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import type { PeerRecord } from '../gossip/peer-record.js';
import { followObjects } from '../store/follow-objects.js';
import type { StoredObject } from '../store/object-store.js';
import type { LoggerFactory } from '../telemetry/log.js';
import type { EntryPlatform } from './entry-platform.js';

/** Options of {@link StoreFollower}. */
export interface StoreFollowerOptions {
  readonly platform: EntryPlatform;
  readonly configuration: ActiveConfiguration;
  readonly fleet: BackendFleet;
  /** Reads a document of a peer; resolves to undefined when the peer does not provide it. */
  readonly fetch: (peer: Address, path: string) => Promise<unknown>;
  /** Whether no request has arrived recently. */
  readonly isIdle: () => boolean;
  readonly logs: LoggerFactory;
  readonly signal: AbortSignal;
}

/** Paths under which peers read the stored configuration and the list of backend servers. */
const CONFIGURATION_PATH = '/configuration';
const FLEET_PATH = '/fleet';
/** Pause between two watches of backend servers, so that changes arrive in batches. */
const WATCH_PAUSE_MILLISECONDS = 200;
/** Longer while idle, so that servers that register in quick succession are applied together. */
const IDLE_WATCH_PAUSE_MILLISECONDS = 500;
/**
 * The store counts as reachable for this long after a response, unless a call fails. Longer than one
 * watch, which may wait 10 s without a change.
 */
const STORE_REACHABLE_MILLISECONDS = 11_500;

/** Applies changes in the store to the configuration and the fleet of one instance. */
export class StoreFollower {
  readonly #options: StoreFollowerOptions;

  #lastContactAt = Number.NEGATIVE_INFINITY;

  #hasFleet = false;

  constructor(options: StoreFollowerOptions) {
    this.#options = options;
  }

  /** Whether the list of backend servers has been received. */
  get hasFleet(): boolean {
    return this.#hasFleet;
  }

  /** Whether the store has responded recently; see {@link STORE_REACHABLE_MILLISECONDS}. */
  get isStoreReachable(): boolean {
    return performance.now() - this.#lastContactAt < STORE_REACHABLE_MILLISECONDS;
  }

  /** Documents, by path, that peers read while they cannot reach the store. */
  get documents(): Readonly<Record<string, () => unknown>> {
    const { configuration, fleet } = this.#options;
    return {
      [CONFIGURATION_PATH]: () => configuration.storedValue,
      [FLEET_PATH]: () => ({
        revision: fleet.revision,
        entries: fleet.servers.map(({ entry }) => entry),
      }),
    };
  }

  /** Starts to watch the store; runs until the signal aborts. */
  start(): void {
    void this.#watchConfiguration();
    void this.#watchServers();
  }

  /**
   * Fetches newer state from a peer: its configuration whenever that has a higher version, its list
   * of backend servers only while this instance cannot read them from the store.
   *
   * A peer that reaches the store and has the same version confirms this instance's configuration.
   *
   * @param record - The latest record of the peer.
   */
  catchUpWithPeer(record: PeerRecord): void {
    const { configuration, fleet } = this.#options;
    const version = configuration.current?.version ?? -1;
    if (record.configurationVersion > version) void this.#fetchConfiguration(record);
    else if (record.isStoreReachable && record.configurationVersion === version) {
      configuration.markUpToDate();
    }
    const isBehind = record.fleetRevision > fleet.revision;
    if (isBehind && (!this.isStoreReachable || !this.#hasFleet)) void this.#fetchFleet(record);
  }

  /**
   * Notes a response of the store. The first one after an outage tells the fleet, since entries of live
   * servers may be missing for a moment while a store comes back.
   */
  #recordContact(): void {
    if (!this.isStoreReachable) this.#options.fleet.storeUnavailableAt = performance.now();
    this.#lastContactAt = performance.now();
  }

  #recordFailure(): void {
    this.#lastContactAt = Number.NEGATIVE_INFINITY;
  }

  #watchConfiguration(): Promise<void> {
    const { platform, configuration, logs, signal } = this.#options;
    return followObjects({
      store: platform.store,
      objectKind: platform.configurationKind,
      onList: (objects) => objects.forEach((object) => this.#applyConfiguration(object)),
      onChanges: (changes) => changes.forEach(({ object }) => this.#applyConfiguration(object)),
      onStoreAnswer: () => {
        this.#recordContact();
        configuration.markUpToDate();
      },
      onStoreUnavailable: () => this.#recordFailure(),
      log: logs('configuration'),
      signal,
    });
  }

  #watchServers(): Promise<void> {
    const { platform, fleet, isIdle, logs, signal } = this.#options;
    return followObjects({
      store: platform.store,
      objectKind: platform.serverKind,
      batchPauseMilliseconds: () =>
        isIdle() ? IDLE_WATCH_PAUSE_MILLISECONDS : WATCH_PAUSE_MILLISECONDS,
      onList: (objects, revision) => {
        const entries = objects.map(platform.parseServer).filter((entry) => entry !== undefined);
        fleet.replaceAll(entries, revision);
        this.#hasFleet = true;
      },
      onChanges: (changes, revision) =>
        changes.forEach(({ object, isDeleted }) => {
          const entry = isDeleted ? undefined : platform.parseServer(object);
          if (entry) fleet.put(entry, revision);
          else fleet.remove(object.name, revision);
        }),
      onStoreAnswer: () => this.#recordContact(),
      onStoreUnavailable: () => this.#recordFailure(),
      log: logs('backend'),
      signal,
    });
  }

  #applyConfiguration(object: StoredObject): void {
    const { platform, configuration, logs } = this.#options;
    if (object.name !== platform.configurationName) return;
    platform.parseConfiguration(object.value).caseOf({
      Right: (parsed) => configuration.applyIfNewer(parsed, object.value, 'store'),
      Left: (issues) =>
        logs('configuration').error('Invalid configuration in the store; ignored.', { issues }),
    });
  }

  async #fetchConfiguration(record: PeerRecord): Promise<void> {
    const { platform, configuration, fetch } = this.#options;
    const value = await fetch(record.peers, CONFIGURATION_PATH);
    if (value === undefined) return;
    platform.parseConfiguration(value).ifRight((parsed) => {
      configuration.applyIfNewer(parsed, value, record.instance);
    });
  }

  /** Takes over a peer's list of backend servers, unless this instance's list is as new. */
  async #fetchFleet(record: PeerRecord): Promise<void> {
    const { fleet, fetch } = this.#options;
    const value = await fetch(record.peers, FLEET_PATH);
    if (typeof value !== 'object' || value === null) return;
    const { revision, entries } = value as { revision: number; entries: ServerEntry[] };
    if (revision <= fleet.revision) return;
    fleet.replaceAll(entries, revision);
    this.#hasFleet = true;
  }
}
