/**
 * Keeps an instance's configuration and list of backend servers up to date: by watching the store,
 * and from peers while the store is unreachable.
 */
import type { Address } from '../common/address.js';
import type { ActiveConfiguration } from '../entry/active-configuration.js';
import type { ConfigurationSource } from '../entry/configuration-check.js';
import type { BackendFleet } from '../fleet/backend-fleet.js';
import type { PeerRecord } from '../gossip/peer-record.js';
import { Confirmation, getFollowBounds, type FollowBounds } from '../store/confirmation.js';
import { followObjects } from '../store/follow-objects.js';
import type { ObjectChange, StoredObject } from '../store/object-store.js';
import { isLater } from '../store/store-position.js';
import type { LoggerFactory } from '../telemetry/log.js';
import { CONFIGURATION_STATE_PATH, ConfigurationEvidence } from './configuration-evidence.js';
import type { EntryPlatform } from './entry-platform.js';
import { CONFIGURATION_PATH, PeerConfiguration } from './peer-configuration.js';
import { FLEET_PATH, ServerList } from './server-list.js';

/** Options of {@link StoreFollower}. */
export interface StoreFollowerOptions {
  readonly platform: EntryPlatform;
  readonly configuration: ActiveConfiguration;
  /** Name of this instance's data centre. */
  readonly dataCentre: string;
  readonly fleet: BackendFleet;
  /** The time after its acknowledgement at which a configuration must be in force everywhere. */
  readonly changeBoundMilliseconds: number;
  /** How long after a disturbance of its connections this instance must know again what the store holds. */
  readonly contactMilliseconds: number;
  /** How often backend servers renew their entries in the store. */
  readonly serverHeartbeatMilliseconds: number;
  /** Records of the live peers. */
  readonly listPeers: () => readonly PeerRecord[];
  /** Reads a document of a peer; resolves to undefined when the peer does not provide it. */
  readonly fetch: (peer: Address, path: string) => Promise<unknown>;
  /** Whether peers follow the store on behalf of this instance, so that it need not call it. */
  readonly isFollowedByPeers: () => boolean;
  /** Called when this instance has got a newer configuration or list of servers. */
  readonly onNews: () => void;
  /** Called when the store is back from an older copy: what this instance wrote there since is gone. */
  readonly onEra: () => void;
  /** Whether no request has arrived recently. */
  readonly isIdle: () => boolean;
  readonly logs: LoggerFactory;
  readonly signal: AbortSignal;
}

/** Pause between two watches of backend servers, so that changes arrive in batches. */
const WATCH_PAUSE_MILLISECONDS = 200;
/** Longer while idle, so that servers that register in quick succession are applied together. */
const IDLE_WATCH_PAUSE_MILLISECONDS = 500;
/**
 * One watch of the configuration waits so much shorter than the bound of changes that a watch whose
 * connection has gone silent is noticed within the bound.
 */
const WATCH_MARGIN_MILLISECONDS = 700;
const MINIMUM_WATCH_MILLISECONDS = 500;
/**
 * The store counts as reachable for this long after a response, unless a call fails. Longer than one
 * watch of the configuration.
 */
const STORE_REACHABLE_MILLISECONDS = 5000;
/**
 * Entries lapse after three heartbeats of silence, of which one may lie before an outage; so those of live
 * servers are all there after a shorter one.
 */
const HEARTBEATS_TO_LAPSE = 2;

/** Applies changes in the store to the configuration and the fleet of one instance. */
export class StoreFollower {
  readonly #options: StoreFollowerOptions;

  readonly #evidence: ConfigurationEvidence;

  readonly #peerConfiguration: PeerConfiguration;

  readonly #servers: ServerList;

  /** When the store last answered; or never, if a call has failed since. */
  #lastContactAt = Number.NEGATIVE_INFINITY;

  /** When the store last answered. */
  #answeredAt = Number.NEGATIVE_INFINITY;

  /** Whether the last call to the store failed. */
  #hasFailed = false;

  /** Ends the watches that wait now. */
  #watches = new AbortController();

  readonly #serversConfirmation: Confirmation;

  /** The newest version that this instance has itself received from the store. */
  #versionFromStore = -1;

  /** Whether the configuration that the store last sent could be read; one that can't is newer than what is in force. */
  #isNewestReadable = true;

  constructor(options: StoreFollowerOptions) {
    this.#options = options;
    const { platform, configuration, fetch, onNews } = options;
    const { parseConfiguration } = platform;
    this.#peerConfiguration = new PeerConfiguration({
      configuration,
      parseConfiguration,
      fetch,
      onNews,
    });
    this.#evidence = this.#createEvidence();
    this.#servers = this.#createServerList();
    this.#serversConfirmation = new Confirmation(getFollowBounds(options.contactMilliseconds));
  }

  /** Whether the list of backend servers has been received. */
  get hasFleet(): boolean {
    return this.#servers.hasList;
  }

  /**
   * Whether the store has responded recently; see {@link STORE_REACHABLE_MILLISECONDS}. Not while peers
   * follow the store instead, since this instance would not notice that it is cut off.
   */
  get isStoreReachable(): boolean {
    if (this.#options.isFollowedByPeers()) return false;
    return performance.now() - this.#lastContactAt < STORE_REACHABLE_MILLISECONDS;
  }

  /** Milliseconds since the store confirmed the list of servers; undefined while peers follow the store instead. */
  get serversAgeMilliseconds(): number | undefined {
    if (this.#options.isFollowedByPeers()) return undefined;
    return this.#serversConfirmation.ageMilliseconds;
  }

  /** Documents, by path, that peers read while they do not call the store. */
  get documents(): Readonly<Record<string, () => unknown>> {
    const { configuration } = this.#options;
    return {
      [CONFIGURATION_PATH]: () => configuration.storedValue,
      [CONFIGURATION_STATE_PATH]: () => this.#evidence.describe(),
      [FLEET_PATH]: () => this.#servers.describe(),
    };
  }

  /** Starts to watch the store; runs until the signal aborts. */
  start(): void {
    this.#options.signal.addEventListener('abort', () => this.#watches.abort(), { once: true });
    void this.#watchConfiguration();
    void this.#watchServers();
  }

  /**
   * Fetches newer state from a peer: its configuration whenever that has a higher version, and its list of
   * backend servers as {@link ServerList} decides.
   *
   * @param record - The latest record of the peer.
   */
  catchUpWithPeer(record: PeerRecord): void {
    void this.#peerConfiguration.fetchNewer(record);
    this.#servers.catchUpWithPeer(record);
  }

  #createServerList(): ServerList {
    const { fleet, dataCentre, fetch, onNews, onEra, logs, signal } = this.#options;
    const isStoreReachable = (): boolean => this.isStoreReachable;
    const log = logs('backend');
    return new ServerList({
      fleet,
      dataCentre,
      fetch,
      isStoreReachable,
      onNews,
      onEra,
      log,
      signal,
    });
  }

  /** Where to ask whether the configuration is the newest one. */
  get configurationSources(): readonly ConfigurationSource[] {
    return this.#evidence.sources;
  }

  #createEvidence(): ConfigurationEvidence {
    const { platform, configuration, dataCentre, listPeers, fetch, isFollowedByPeers } =
      this.#options;
    return new ConfigurationEvidence({
      store: platform.store,
      configurationKind: platform.configurationKind,
      configurationName: platform.configurationName,
      configuration,
      dataCentre,
      listPeers,
      fetch,
      isFollowedByPeers,
      apply: (object) => this.#applyConfiguration(object),
      fetchConfiguration: (holder) => this.#peerConfiguration.fetchNewer(holder),
    });
  }

  /**
   * Notes a response of the store. The first one after an outage tells the fleet, since entries of live
   * servers may have lapsed in it, and be missing for a moment.
   */
  #recordContact(): void {
    const { fleet, serverHeartbeatMilliseconds } = this.#options;
    const now = performance.now();
    const lapseMilliseconds = HEARTBEATS_TO_LAPSE * serverHeartbeatMilliseconds;
    if (this.#hasFailed && now - this.#answeredAt >= lapseMilliseconds) fleet.storeBackAt = now;
    this.#hasFailed = false;
    this.#lastContactAt = now;
    this.#answeredAt = now;
  }

  /** Notes a failed call. What silenced the connection of one watch may have silenced both: both begin anew. */
  #recordFailure(isSilent: boolean): void {
    this.#hasFailed = true;
    this.#lastContactAt = Number.NEGATIVE_INFINITY;
    if (!isSilent) return;
    this.#watches.abort();
    this.#watches = new AbortController();
  }

  #watchConfiguration(): Promise<void> {
    const { platform, configuration, isFollowedByPeers, logs, signal } = this.#options;
    return followObjects({
      store: platform.store,
      objectKind: platform.configurationKind,
      confirmation: new Confirmation(this.#getConfigurationBounds()),
      watchSignal: () => this.#watches.signal,
      isPaused: () => isFollowedByPeers() && configuration.current !== undefined,
      isListedAfterPause: () => (configuration.current?.version ?? -1) > this.#versionFromStore,
      onList: (objects) => objects.forEach((object) => this.#applyConfiguration(object)),
      onChanges: (changes) => this.#applyNewest(changes),
      onStoreAnswer: () => this.#recordContact(),
      onCurrent: (heldAt) => {
        if (this.#isNewestReadable)
          configuration.markUpToDate('store answer', performance.now() - heldAt);
      },
      onStoreUnavailable: (isSilent) => this.#recordFailure(isSilent),
      log: logs('configuration'),
      signal,
    });
  }

  #getConfigurationBounds(): FollowBounds {
    const { changeBoundMilliseconds, contactMilliseconds } = this.#options;
    const bounds = getFollowBounds(contactMilliseconds);
    return {
      ...bounds,
      waitMilliseconds: Math.max(
        MINIMUM_WATCH_MILLISECONDS,
        changeBoundMilliseconds - WATCH_MARGIN_MILLISECONDS,
      ),
      allowanceMilliseconds: Math.min(WATCH_MARGIN_MILLISECONDS, bounds.allowanceMilliseconds),
    };
  }

  #watchServers(): Promise<void> {
    const { platform, fleet, isFollowedByPeers, isIdle, onNews, logs, signal } = this.#options;
    return followObjects({
      store: platform.store,
      objectKind: platform.serverKind,
      isPaused: () => isFollowedByPeers() && this.#servers.hasList,
      knownPosition: () => ({ era: fleet.era, revision: fleet.revision }),
      confirmation: this.#serversConfirmation,
      watchSignal: () => this.#watches.signal,
      batchPauseMilliseconds: () =>
        isIdle() ? IDLE_WATCH_PAUSE_MILLISECONDS : WATCH_PAUSE_MILLISECONDS,
      onList: (objects, revision, era) => {
        const entries = objects.map(platform.parseServer).filter((entry) => entry !== undefined);
        this.#servers.replace(entries, { revision, era });
      },
      onChanges: (changes, revision, era) => {
        // A peer's list may have overtaken a watch that was delayed.
        if (isLater(fleet, { era, revision })) return;
        changes.forEach(({ object, isDeleted }) => {
          const entry = isDeleted ? undefined : platform.parseServer(object);
          if (entry) fleet.put(entry, revision);
          else fleet.remove(object.name, revision);
        });
        onNews();
      },
      onStoreAnswer: () => this.#recordContact(),
      onStoreUnavailable: (isSilent) => this.#recordFailure(isSilent),
      log: logs('backend'),
      signal,
    });
  }

  /** Applies the last of several changes that can be read; those before it have been overtaken. */
  #applyNewest(changes: readonly ObjectChange[]): void {
    const { configurationName } = this.#options.platform;
    const versions = changes.filter(
      ({ object, isDeleted }) => object.name === configurationName && !isDeleted,
    );
    const [newest, ...overtaken] = versions.reverse();
    if (!newest || this.#applyConfiguration(newest.object)) return;
    overtaken.some(({ object }) => this.#applyConfiguration(object));
    this.#isNewestReadable = false;
  }

  /** @returns Whether the configuration can be read; true also for objects that hold none. */
  #applyConfiguration(object: StoredObject): boolean {
    const { platform, configuration, onNews, logs } = this.#options;
    if (object.name !== platform.configurationName) return true;
    return platform.parseConfiguration(object.value).caseOf({
      Right: (parsed) => {
        this.#isNewestReadable = true;
        this.#versionFromStore = Math.max(this.#versionFromStore, parsed.version);
        configuration.applyIfNewer(parsed, object.value, 'store');
        onNews();
        return true;
      },
      Left: (issues) => {
        this.#isNewestReadable = false;
        logs('configuration').error('Invalid configuration in the store; ignored.', { issues });
        return false;
      },
    });
  }
}
