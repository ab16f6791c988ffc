/**
 * The components of an entry instance, and what they tell each other: records of peers go to whatever acts
 * on them, changes that peers should act on lead to a new record at once.
 */
import { probeConnection } from '../common/connection-probe.js';
import { ActiveConfiguration } from '../entry/active-configuration.js';
import { ConfigurationCheck } from '../entry/configuration-check.js';
import { CrashBlame } from '../entry/crash-blame.js';
import { CrashRecords } from '../entry/crash-records.js';
import { PromptPartRecords } from '../entry/prompt-part-records.js';
import { EngineReports } from '../entry/engine-reports.js';
import type { EntryContext } from '../entry/entry-context.js';
import { EntryMetrics } from '../entry/entry-metrics.js';
import { type EntryServer } from '../entry/entry-server.js';
import type { EntrySettings } from '../entry/entry-settings.js';
import { PeerRelay } from '../entry/peer-relay.js';
import { RELAY_HEADER } from '../entry/relayed-request.js';
import { RefusalPacing } from '../entry/refusal-pacing.js';
import { RetryBudget } from '../entry/retry-budget.js';
import { StallDetector } from '../entry/stall-detector.js';
import { BackendFleet } from '../fleet/backend-fleet.js';
import { CallTimes } from '../fleet/call-times.js';
import { EndCheck } from '../fleet/end-check.js';
import {
  applyPeerObservations,
  collectServerObservations,
  RemoteLoads,
  sumDataCentreLoads,
} from '../fleet/server-observations.js';
import { OutlierEjection } from '../fleet/outlier-ejection.js';
import { ServerReach } from '../fleet/server-reach.js';
import { ServerLimits } from '../fleet/server-limits.js';
import { StatementRecorder } from '../fleet/server-statements.js';
import { Gossip } from '../gossip/gossip.js';
import type { PeerRecord, ServerLoads } from '../gossip/peer-record.js';
import { PeerTable } from '../gossip/peer-table.js';
import { DataCentreLinkLoad } from '../layers/data-centre-link-load.js';
import { PlannerLease } from '../layers/planner-lease.js';
import type { LoggerFactory } from '../telemetry/log.js';
import { createStatusDocuments } from './status-documents.js';
import type { EntryPlatform } from './entry-platform.js';
import { isHolderGone, isPlanner } from './planner-role.js';
import { listPeerEjections } from '../gossip/peer-ejections.js';
import { CONNECTION_PATH, createPeerInquiry, describeConnection } from './peer-inquiry.js';
import { InstanceRegistration } from './instance-registration.js';
import { OwnRecord, type RecordState } from './own-record.js';
import { ServerHealth } from './server-health.js';
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

/** The shortest time between two updates of the servers from the peers' records. */
const OBSERVATION_INTERVAL_MILLISECONDS = 100;
/** Time between two checks of streams for stalls. */
export const STALL_CHECK_INTERVAL_MILLISECONDS = 70;
/** A cut may reset connections this long before one can't be made. */
const CUT_NOTICE_MILLISECONDS = 500;

export class EntryComponents {
  readonly #options: EntryComponentsOptions;

  /** Start time of the process in wall-clock milliseconds. */
  readonly incarnation = Date.now();

  readonly configuration: ActiveConfiguration;

  readonly configurationCheck: ConfigurationCheck;

  readonly fleet: BackendFleet;

  readonly outlierEjection: OutlierEjection;

  readonly serverReach: ServerReach;

  readonly peers: PeerTable;

  readonly peerRelay: PeerRelay;

  readonly storeFollower: StoreFollower;

  readonly gossip: Gossip;

  readonly context: EntryContext;

  readonly engineReports: EngineReports;

  readonly serverHealth: ServerHealth;

  readonly lease: PlannerLease;

  readonly registration: InstanceRegistration;

  readonly remoteLoads = new RemoteLoads();

  /** Loads by all instances of this data centre, summed at each heartbeat. */
  #dataCentreLoads: ServerLoads = {};

  #observationsAppliedAt = Number.NEGATIVE_INFINITY;

  readonly ownRecord: OwnRecord;

  constructor(options: EntryComponentsOptions) {
    this.#options = options;
    const { settings, platform, logs, signal } = options;
    this.configuration = new ActiveConfiguration({
      log: logs('configuration'),
      changeBoundMilliseconds: settings.changeBoundMilliseconds,
    });
    this.fleet = new BackendFleet({
      log: logs('backend'),
      onEnded: (processKey) => this.context.crashBlame.recordEndedServer(processKey),
      onRestarted: (id) => {
        this.outlierEjection.forget(id);
        this.context.callTimes.forget(id);
        this.context.serverLimits.forget(id);
      },
    });
    this.outlierEjection = new OutlierEjection({
      log: logs('backend'),
      onEjected: () => this.gossipImmediately(),
      isCut: () => this.serverReach.isCut,
    });
    this.serverReach = new ServerReach({
      listServers: () => this.fleet.servers.map(({ entry }) => entry),
      probe: ({ address }) => probeConnection(address),
      onChange: (isCut) => this.#applyReach(isCut),
      log: logs('backend'),
      signal,
    });
    this.peers = new PeerTable({
      instance: settings.instance,
      dataCentre: settings.dataCentre,
      log: logs('peer'),
      // A dead instance cannot withdraw its ejections, so they are dropped with it.
      onPeerLost: (instance) => {
        this.outlierEjection.replacePeerEjections(instance, []);
        void this.peerRelay.abandon(instance);
      },
    });
    this.peerRelay = new PeerRelay({
      instance: settings.instance,
      listPeers: () => this.peers.aliveRecords,
      configurationVersion: () => this.configuration.current?.version ?? -1,
      protocol: platform.protocol,
      log: logs('routing'),
    });
    this.lease = new PlannerLease({
      store: platform.store,
      holder: this.#leaseHolder,
      log: logs('placement'),
    });
    this.storeFollower = new StoreFollower({
      platform,
      configuration: this.configuration,
      dataCentre: settings.dataCentre,
      fleet: this.fleet,
      changeBoundMilliseconds: settings.changeBoundMilliseconds,
      serverHeartbeatMilliseconds: settings.serverHeartbeatMilliseconds,
      listPeers: () => this.peers.aliveRecords,
      fetch: (peer, path) => this.gossip.fetchDocument(peer, path),
      isFollowedByPeers: () =>
        isFollowedByPeers(settings.instance, settings.dataCentre, this.peers.aliveRecords),
      onNews: () => this.#pushNews(),
      isIdle: () =>
        Object.values(this.context.retryBudget.counts).every(([requests]) => requests === 0),
      logs,
      signal,
    });
    this.configurationCheck = new ConfigurationCheck({
      configuration: this.configuration,
      sources: () => this.storeFollower.configurationSources,
      log: logs('configuration'),
    });
    this.gossip = new Gossip({
      address: settings.listen.peers,
      dataCentre: settings.dataCentre,
      seeds: settings.seeds,
      table: this.peers,
      ownRecord: () => this.ownRecord.current,
      dataCentreLoads: () => this.#dataCentreLoads,
      onRecord: (record) => this.#acceptRecord(record),
      onRecords: () => this.#applyPeerObservations(),
      documents: {
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
          countOpenRequests: () => options.server()?.openRequests() ?? 0,
        }),
      },
      relay: {
        header: RELAY_HEADER,
        serve: (incoming, response) => {
          const server = options.server();
          if (server) server.serveRelayed(incoming, response);
          else response.destroy();
        },
      },
      log: logs('peer'),
      signal,
    });
    const endCheck = new EndCheck({
      fleet: this.fleet,
      serverReach: this.serverReach,
      askPeer: createPeerInquiry({
        listPeers: () => this.peers.aliveRecords,
        fetch: (peer, path, timeout) => this.gossip.fetchDocument(peer, path, timeout),
      }),
      log: logs('backend'),
      signal,
    });
    const serverLimits = new ServerLimits({
      instance: settings.instance,
      listPeers: () => this.peers.allRecords.map(({ instance }) => instance),
      log: logs('backend'),
    });
    const statements = new StatementRecorder({
      fleet: this.fleet,
      serverLimits,
      log: logs('routing'),
    });
    this.engineReports = new EngineReports({ protocol: platform.protocol, statements });
    this.context = {
      dataCentre: settings.dataCentre,
      protocol: platform.protocol,
      fleet: this.fleet,
      outlierEjection: this.outlierEjection,
      callTimes: new CallTimes(),
      endCheck,
      crashBlame: this.#createCrashBlame(),
      serverLimits,
      statements,
      serverReach: this.serverReach,
      peerRelay: this.peerRelay,
      refusalPacing: new RefusalPacing(),
      retryBudget: new RetryBudget({
        settings: settings.retryBudget,
        peerCount: () => this.peers.allRecords.length,
        peerCountsOf: (service) => this.peers.sumRetries(service),
      }),
      linkLoad: new DataCentreLinkLoad({
        instanceCount: () => this.peers.aliveCount + 1,
      }),
      stallDetector: new StallDetector({
        reports: this.engineReports,
        fleet: this.fleet,
        outlierEjection: this.outlierEjection,
        endCheck,
        serverReach: this.serverReach,
        log: logs('routing'),
        checkIntervalMilliseconds: STALL_CHECK_INTERVAL_MILLISECONDS,
      }),
      metrics: new EntryMetrics(),
      logs,
    };
    this.registration = new InstanceRegistration({
      settings,
      store: platform.store,
      crashBlame: this.context.crashBlame,
      onPeer: (record) => this.peers.accept(record),
      isKeeper: () => isPlanner(this.ownRecord.current, this.peers.aliveRecords),
      log: logs('peer'),
      signal,
    });
    this.serverHealth = new ServerHealth({
      fleet: this.fleet,
      outlierEjection: this.outlierEjection,
      endCheck,
      serverLimits,
      statements,
      protocol: platform.protocol,
      callTimes: this.context.callTimes,
      configuration: this.configuration,
    });
    this.ownRecord = new OwnRecord({
      settings,
      incarnation: this.incarnation,
      describeState: () => this.#describeState(),
    });
  }

  #createCrashBlame(): CrashBlame {
    const { logs } = this.#options;
    const promptParts = new PromptPartRecords({
      countInstances: () => this.peers.aliveCount + 1,
      onNews: () => this.gossipImmediately(),
      log: logs('routing'),
    });
    const contents = new CrashRecords({
      isExplained: (processKey) => promptParts.explains(processKey),
      log: logs('routing'),
    });
    return new CrashBlame({ contents, promptParts });
  }

  /** Whether requests can be served: the configuration and the backend servers are known. */
  get isReady(): boolean {
    return (
      !this.#options.isStopping() &&
      this.configuration.current !== undefined &&
      this.storeFollower.hasFleet
    );
  }

  /** Acts on the loss of the links to all servers, and on their return. */
  #applyReach(isCut: boolean): void {
    const { failingSince } = this.serverReach;
    if (isCut) this.outlierEjection.withdrawSince(failingSince - CUT_NOTICE_MILLISECONDS);
    this.gossipImmediately();
  }

  /** Rebuilds the record and sends it to peers without waiting for the next heartbeat. */
  gossipImmediately(): void {
    this.ownRecord.refresh();
    void this.gossip.runRound(true);
  }

  /** Makes a new record, and sums the loads of this data centre. */
  refreshRecord(): void {
    this.ownRecord.refresh();
    this.#dataCentreLoads = sumDataCentreLoads(
      [this.ownRecord.current, ...this.peers.aliveRecords],
      this.#options.settings.dataCentre,
    );
  }

  /** Tells peers of this data centre that this instance has a newer configuration or server list. */
  #pushNews(): void {
    this.ownRecord.refresh();
    void this.gossip.pushRecord();
  }

  /** The name under which this process holds the planner lease; it differs after a restart. */
  get #leaseHolder(): string {
    return `${this.#options.settings.instance}/${this.incarnation}`;
  }

  /** Whether the holder of the planner lease is gone. */
  isHolderGone(holder: string): boolean {
    const [instance = ''] = holder.split('/');
    return isHolderGone(holder, this.#options.settings.instance, this.peers.findAlive(instance));
  }

  /** Whether no instance has recently received a request to a service. */
  isServiceIdle(service: string): boolean {
    const [own] = this.context.retryBudget.counts[service] ?? [0];
    const [others] = this.peers.sumRetries(service);
    return own + others === 0;
  }

  #describeState(): RecordState {
    return {
      urgent: {
        isReady: this.isReady,
        isStopping: this.#options.isStopping(),
        configurationVersion: this.configuration.current?.version ?? -1,
        isStoreReachable: this.storeFollower.isStoreReachable,
        isCutFromServers: this.serverReach.isCut,
        suspects: this.outlierEjection.ownEjections,
        ejections: this.outlierEjection.ownEjectionCauses,
        plannerTerm: this.lease.isHolder ? this.lease.term : 0,
        ...this.context.crashBlame.contents.reported,
        promptParts: this.context.crashBlame.promptParts.reported,
      },
      fleetRevision: this.fleet.revision,
      ...collectServerObservations(this.fleet),
      retries: this.context.retryBudget.counts,
      limits: this.context.serverLimits.reported,
    };
  }

  /**
   * Takes over what the peers observed of the servers, unless that was done a moment ago: the work
   * grows with the number of peers, and so does the number of records that arrive.
   */
  #applyPeerObservations(): void {
    const now = performance.now();
    if (now - this.#observationsAppliedAt < OBSERVATION_INTERVAL_MILLISECONDS) return;
    this.#observationsAppliedAt = now;
    applyPeerObservations(this.fleet, this.peers.aliveRecords, this.remoteLoads.current);
  }

  #acceptRecord(record: PeerRecord): void {
    this.outlierEjection.replacePeerEjections(record.instance, listPeerEjections(record));
    this.context.crashBlame.contents.merge(record);
    if (record.promptParts && record.clock !== undefined)
      this.context.crashBlame.promptParts.merge(record.promptParts, record.clock);
    this.context.serverLimits.merge(record.limits ?? {});
    this.remoteLoads.accept(record);
    this.storeFollower.catchUpWithPeer(record);
  }
}
