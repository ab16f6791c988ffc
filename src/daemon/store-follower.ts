/**
 * Brings what the store holds, configuration and backend servers, into an instance's own views:
 * from the store itself, and from peers while it can't be reached.
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
  /** Reads one of a peer's documents; undefined when it can't be had. */
  readonly fetch: (peer: Address, path: string) => Promise<unknown>;
  /** Whether no request has come of late. */
  readonly isIdle: () => boolean;
  readonly logs: LoggerFactory;
  readonly signal: AbortSignal;
}

const CONFIGURATION_PATH = '/configuration';
const FLEET_PATH = '/fleet';
const SERVER_CHANGES_PAUSE_MILLISECONDS = 200;
/** While nothing is served, servers that register one after the other are taken in together. */
const IDLE_CHANGES_PAUSE_MILLISECONDS = 500;
/** The store counts as reachable for this long after an answer, unless a call fails. */
const STORE_CONTACT_MILLISECONDS = 11_500;

export class StoreFollower {
  readonly #options: StoreFollowerOptions;

  #contactAt = Number.NEGATIVE_INFINITY;

  #hasFleet = false;

  constructor(options: StoreFollowerOptions) {
    this.#options = options;
  }

  /** Whether the backend servers are known. */
  get hasFleet(): boolean {
    return this.#hasFleet;
  }

  /** Whether the store has answered of late. */
  get isStoreReachable(): boolean {
    return performance.now() - this.#contactAt < STORE_CONTACT_MILLISECONDS;
  }

  /** What peers read when they don't reach the store, by path. */
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

  /** Follows the store until the signal aborts. */
  start(): void {
    void this.#followConfiguration();
    void this.#followServers();
  }

  /**
   * Takes from a peer what it has newer, if this instance needs it.
   *
   * @param record - The peer's record.
   */
  catchUp(record: PeerRecord): void {
    const { configuration, fleet } = this.#options;
    const version = configuration.current?.version ?? -1;
    if (record.configurationVersion > version) void this.#fetchConfiguration(record);
    else if (record.isStoreReachable && record.configurationVersion === version) {
      configuration.markUpToDate();
    }
    const isBehind = record.fleetRevision > fleet.revision;
    if (isBehind && (!this.isStoreReachable || !this.#hasFleet)) void this.#fetchFleet(record);
  }

  #noteContact(): void {
    if (!this.isStoreReachable) this.#options.fleet.storeUnavailableAt = performance.now();
    this.#contactAt = performance.now();
  }

  #noteLoss(): void {
    this.#contactAt = Number.NEGATIVE_INFINITY;
  }

  #followConfiguration(): Promise<void> {
    const { platform, configuration, logs, signal } = this.#options;
    return followObjects({
      store: platform.store,
      objectKind: platform.configurationKind,
      onList: (objects) => objects.forEach((object) => this.#takeConfiguration(object)),
      onChanges: (changes) => changes.forEach(({ object }) => this.#takeConfiguration(object)),
      onStoreAnswer: () => {
        this.#noteContact();
        configuration.markUpToDate();
      },
      onStoreUnavailable: () => this.#noteLoss(),
      log: logs('configuration'),
      signal,
    });
  }

  #followServers(): Promise<void> {
    const { platform, fleet, isIdle, logs, signal } = this.#options;
    return followObjects({
      store: platform.store,
      objectKind: platform.serverKind,
      batchPauseMilliseconds: () =>
        isIdle() ? IDLE_CHANGES_PAUSE_MILLISECONDS : SERVER_CHANGES_PAUSE_MILLISECONDS,
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
      onStoreAnswer: () => this.#noteContact(),
      onStoreUnavailable: () => this.#noteLoss(),
      log: logs('backend'),
      signal,
    });
  }

  #takeConfiguration(object: StoredObject): void {
    const { platform, configuration, logs } = this.#options;
    if (object.name !== platform.configurationName) return;
    platform.parseConfiguration(object.value).caseOf({
      Right: (parsed) => configuration.applyIfNewer(parsed, object.value, 'store'),
      Left: (issues) => logs('configuration').error('Configuration not understood.', { issues }),
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
