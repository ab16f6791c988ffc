/**
 * The components of an entry instance, and what they tell each other: records of peers go to whatever acts
 * on them, changes that peers should act on lead to a new record at once.
 */
import { getOwnValue } from '../common/own-value.js';
import { ActiveConfiguration } from '../entry/active-configuration.js';
import { ConfigurationCheck } from '../entry/configuration-check.js';
import type { EngineReports } from '../evidence/engine-reports.js';
import type { EntryContext } from '../entry/entry-context.js';
import { type EntryServer } from '../entry/entry-server.js';
import type { EntrySettings } from '../entry/entry-settings.js';
import { PeerRelay } from '../relay/peer-relay.js';
import { maySend } from '../relay/send-permission.js';
import { RELAY_HEADER } from '../relay/relayed-request.js';
import type { BackendFleet } from '../fleet/backend-fleet.js';
import type { OutlierEjection } from '../fleet/outlier-ejection.js';
import { EvidenceExchange } from '../gossip/evidence-exchange.js';
import { Gossip, type GossipOptions } from '../gossip/gossip.js';
import { PeerTable } from '../gossip/peer-table.js';
import { PlannerLease } from '../layers/planner-lease.js';
import type { LoggerFactory } from '../telemetry/log.js';
import type { EntryPlatform } from './entry-platform.js';
import { InstanceRegistration } from './instance-registration.js';
import { OwnRecord } from './own-record.js';
import { CONNECTION_PATH, describeConnection } from './peer-inquiry.js';
import { PeerObservations } from './peer-observations.js';
import { isHolderGone, isPlanner } from './planner-role.js';
import { describeRecordState } from './record-state.js';
import { createEntryContext } from './request-components.js';
import { ServerComponents } from './server-components.js';
import type { ServerHealth } from './server-health.js';
import { createStatusDocuments } from './status-documents.js';
import { isFollowedByPeers } from './store-follower-role.js';
import { StoreFollower } from './store-follower.js';

/** Options of {@link EntryComponents}. */
export interface EntryComponentsOptions {
  readonly settings: EntrySettings;
  readonly platform: EntryPlatform;
  readonly logs: LoggerFactory;
  /** Ends the components' tasks. */
  readonly signal: AbortSignal;
  readonly isStopping: () => boolean;
  /** The server for callers; undefined until it listens. */
  readonly server: () => EntryServer | undefined;
}

/** The components of one entry instance. */
export class EntryComponents {
  readonly #options: EntryComponentsOptions;

  /** Start time of the process in wall-clock milliseconds. */
  readonly incarnation = Date.now();

  readonly configuration: ActiveConfiguration;

  readonly configurationCheck: ConfigurationCheck;

  readonly peers: PeerTable;

  readonly peerRelay: PeerRelay;

  readonly lease: PlannerLease;

  readonly storeFollower: StoreFollower;

  readonly gossip: Gossip;

  readonly context: EntryContext;

  readonly registration: InstanceRegistration;

  readonly ownRecord: OwnRecord;

  readonly #servers: ServerComponents;

  readonly #peerObservations: PeerObservations;

  constructor(options: EntryComponentsOptions) {
    this.#options = options;
    const { settings } = options;
    this.configuration = this.#createConfiguration();
    this.peers = this.#createPeerTable();
    this.#servers = this.#createServerComponents();
    this.peerRelay = this.#createPeerRelay();
    this.lease = this.#createLease();
    this.storeFollower = this.#createStoreFollower();
    this.configurationCheck = this.#createConfigurationCheck();
    this.#peerObservations = new PeerObservations({
      dataCentre: settings.dataCentre,
      servers: this.#servers,
      peers: this.peers,
      storeFollower: this.storeFollower,
    });
    this.gossip = this.#createGossip();
    this.context = createEntryContext({
      ...options,
      servers: this.#servers,
      peers: this.peers,
      peerRelay: this.peerRelay,
      configuration: this.configuration,
    });
    this.registration = this.#createRegistration();
    this.ownRecord = new OwnRecord({
      settings,
      incarnation: this.incarnation,
      describeState: () =>
        describeRecordState({
          isReady: this.isReady,
          isStopping: options.isStopping(),
          configuration: this.configuration,
          storeFollower: this.storeFollower,
          lease: this.lease,
          peers: this.peers,
          servers: this.#servers,
          retryBudget: this.context.retryBudget,
        }),
    });
  }

  get fleet(): BackendFleet {
    return this.#servers.fleet;
  }

  get outlierEjection(): OutlierEjection {
    return this.#servers.outlierEjection;
  }

  get engineReports(): EngineReports {
    return this.#servers.engineReports;
  }

  get serverHealth(): ServerHealth {
    return this.#servers.serverHealth;
  }

  /** Whether requests can be served: the configuration and the backend servers are known. */
  get isReady(): boolean {
    return (
      !this.#options.isStopping() &&
      this.configuration.current !== undefined &&
      this.storeFollower.hasFleet
    );
  }

  /** Rebuilds the record and sends it to peers without waiting for the next heartbeat. */
  gossipImmediately(): void {
    this.ownRecord.refresh();
    void this.gossip.runRound(true);
  }

  /** Makes a new record, and sums the loads of this data centre. */
  refreshRecord(): void {
    this.ownRecord.refresh();
    this.#peerObservations.sumLoads(this.ownRecord.current);
  }

  /** Whether the holder of the planner lease is gone. */
  isHolderGone(holder: string): boolean {
    const [instance = ''] = holder.split('/');
    return isHolderGone(holder, this.#options.settings.instance, this.peers.findAlive(instance));
  }

  /** Whether no instance has recently received a request to a service. */
  isServiceIdle(service: string): boolean {
    const [own] = getOwnValue(this.context.retryBudget.counts, service) ?? [0];
    const [others] = this.peers.sumRetries(service);
    return own + others === 0;
  }

  #createConfiguration(): ActiveConfiguration {
    const { settings, logs } = this.#options;
    return new ActiveConfiguration({
      log: logs('configuration'),
      changeBoundMilliseconds: settings.changeBoundMilliseconds,
    });
  }

  #createConfigurationCheck(): ConfigurationCheck {
    return new ConfigurationCheck({
      configuration: this.configuration,
      sources: () => this.storeFollower.configurationSources,
      log: this.#options.logs('configuration'),
    });
  }

  #createPeerTable(): PeerTable {
    const { settings, logs } = this.#options;
    return new PeerTable({
      instance: settings.instance,
      dataCentre: settings.dataCentre,
      log: logs('peer'),
      // A dead instance cannot withdraw its ejections, so they are dropped with it.
      onPeerLost: (instance) => this.outlierEjection.replacePeerEjections(instance, []),
    });
  }

  #createPeerRelay(): PeerRelay {
    const { settings, platform, logs } = this.#options;
    return new PeerRelay({
      instance: settings.instance,
      listPeers: () => this.peers.aliveRecords,
      configurationVersion: () => this.configuration.current?.version ?? -1,
      protocol: platform.protocol,
      isBlocked: (content) => this.context.crashBlame.isBlocked(content),
      acquireRetry: (service) => this.context.retryBudget.tryAcquire(service),
      maySend: (request) => maySend(request, this.context.eventLoopDelay),
      log: logs('routing'),
    });
  }

  #createServerComponents(): ServerComponents {
    const { settings, platform, logs, signal } = this.#options;
    return new ServerComponents({
      instance: settings.instance,
      dataCentre: settings.dataCentre,
      contactMilliseconds: settings.contactMilliseconds,
      protocol: platform.protocol,
      configuration: this.configuration,
      peers: this.peers,
      fetch: (peer, path, timeout) => this.gossip.fetchDocument(peer, path, timeout),
      onNews: () => this.gossipImmediately(),
      logs,
      signal,
    });
  }

  /** Creates the lease; this process holds it under a name that differs after a restart. */
  #createLease(): PlannerLease {
    const { settings, platform, logs } = this.#options;
    return new PlannerLease({
      store: platform.store,
      holder: `${settings.instance}/${this.incarnation}`,
      log: logs('placement'),
    });
  }

  #createStoreFollower(): StoreFollower {
    const { settings, platform, logs, signal } = this.#options;
    const { instance, dataCentre, changeBoundMilliseconds, serverHeartbeatMilliseconds } = settings;
    const { contactMilliseconds } = settings;
    return new StoreFollower({
      platform,
      configuration: this.configuration,
      dataCentre,
      fleet: this.fleet,
      changeBoundMilliseconds,
      contactMilliseconds,
      serverHeartbeatMilliseconds,
      listPeers: () => this.peers.aliveRecords,
      fetch: (peer, path) => this.gossip.fetchDocument(peer, path),
      isFollowedByPeers: () => isFollowedByPeers(instance, dataCentre, this.peers.aliveRecords),
      onNews: () => this.#pushNews(),
      onEra: () => {
        this.lease.forget();
        void this.registration.registerAgain();
      },
      isIdle: () =>
        Object.values(this.context.retryBudget.counts).every(([requests]) => requests === 0),
      logs,
      signal,
    });
  }

  #createGossip(): Gossip {
    const { settings, logs, signal } = this.#options;
    return new Gossip({
      address: settings.listen.peers,
      dataCentre: settings.dataCentre,
      seeds: settings.seeds,
      table: this.peers,
      ownRecord: () => this.ownRecord.current,
      dataCentreLoads: () => this.#peerObservations.dataCentreLoads,
      evidence: new EvidenceExchange(this.#servers.evidenceChanges),
      onRecord: (record) => this.#peerObservations.accept(record),
      onRecords: () => this.#peerObservations.apply(),
      documents: this.#createDocuments(),
      relay: this.#createRelayEndpoint(),
      log: logs('peer'),
      signal,
    });
  }

  /** Creates the documents that peers and operators may read. */
  #createDocuments(): GossipOptions['documents'] {
    const { settings, server } = this.#options;
    return {
      ...this.storeFollower.documents,
      [CONNECTION_PATH]: (query) => describeConnection(this.fleet, query),
      ...createStatusDocuments({
        settings,
        configuration: this.configuration,
        fleet: this.fleet,
        outlierEjection: this.outlierEjection,
        lease: this.lease,
        getOwnRecord: () => this.ownRecord.current,
        listPeerRecords: () => this.peers.aliveRecords,
        getServersAgeMilliseconds: () => this.storeFollower.serversAgeMilliseconds,
        countOpenRequests: () => server()?.openRequests() ?? 0,
        eventLoopDelay: {
          longestSince: (since) => this.context.eventLoopDelay.longestSince(since),
        },
      }),
    };
  }

  /** Serves callers' requests that peers pass on. */
  #createRelayEndpoint(): GossipOptions['relay'] {
    return {
      header: RELAY_HEADER,
      serve: (incoming, response) => {
        const server = this.#options.server();
        if (server) server.serveRelayed(incoming, response);
        else response.destroy();
      },
    };
  }

  #createRegistration(): InstanceRegistration {
    const { settings, platform, logs, signal } = this.#options;
    return new InstanceRegistration({
      settings,
      store: platform.store,
      crashBlame: this.context.crashBlame,
      onPeer: (record) => this.peers.accept(record),
      isKeeper: () => isPlanner(this.ownRecord.current, this.peers.aliveRecords),
      log: logs('peer'),
      signal,
    });
  }

  /** Tells peers of this data centre that this instance has a newer configuration or server list. */
  #pushNews(): void {
    this.ownRecord.refresh();
    void this.gossip.pushRecord();
  }
}
