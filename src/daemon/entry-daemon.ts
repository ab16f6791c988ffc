/**
 * Assembles the entry instance that `platform/main.ts` starts: creates its components, runs their
 * periodic tasks, and starts and stops it.
 */
import { setMaxListeners } from 'node:events';
import { sleep } from '../common/clock.js';
import { probeConnection } from '../common/connection-probe.js';
import { ActiveConfiguration } from '../entry/active-configuration.js';
import { ConfigurationCheck } from '../entry/configuration-check.js';
import { CrashBlame } from '../entry/crash-blame.js';
import { CrashRecords } from '../entry/crash-records.js';
import { PromptPartRecords } from '../entry/prompt-part-records.js';
import type { EntryContext } from '../entry/entry-context.js';
import { EntryMetrics } from '../entry/entry-metrics.js';
import { startEntryServer, type EntryServer } from '../entry/entry-server.js';
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
import { Gossip } from '../gossip/gossip.js';
import type { PeerRecord, ServerLoads } from '../gossip/peer-record.js';
import { getHeartbeatInterval } from '../gossip/record-interval.js';
import { PeerTable } from '../gossip/peer-table.js';
import { DataCentreLinkLoad } from '../layers/data-centre-link-load.js';
import { PlannerLease } from '../layers/planner-lease.js';
import { runPlanner } from '../layers/planner-task.js';
import type { LoggerFactory } from '../telemetry/log.js';
import { createStatusDocuments } from './status-documents.js';
import type { CallerAddresses, EntryPlatform } from './entry-platform.js';
import { listCallerAddresses } from './caller-addresses.js';
import { isHolderGone, isPlanner } from './planner-role.js';
import { listPeerEjections } from '../gossip/peer-ejections.js';
import { CONNECTION_PATH, createPeerInquiry, describeConnection } from './peer-inquiry.js';
import { InstanceRegistration } from './instance-registration.js';
import { OwnRecord, type RecordState } from './own-record.js';
import { ServerHealth } from './server-health.js';
import { isFollowedByPeers } from './store-follower-role.js';
import { StoreFollower } from './store-follower.js';

/** Options of {@link startEntryDaemon}. */
export interface EntryDaemonOptions {
  readonly settings: EntrySettings;
  readonly platform: EntryPlatform;
  readonly logs: LoggerFactory;
}

/** A running entry instance. */
export interface EntryDaemon {
  /**
   * Stops gracefully; resolves when the last request is done, or shortly before
   * `settings.stopTimeoutMilliseconds` has passed.
   */
  readonly stop: () => Promise<void>;
}

/** The shortest time between two updates of the servers from the peers' records. */
const OBSERVATION_INTERVAL_MILLISECONDS = 100;
const STALL_CHECK_INTERVAL_MILLISECONDS = 70;
const PACE_CHECK_INTERVAL_MILLISECONDS = 500;
const HEALTH_CHECK_INTERVAL_MILLISECONDS = 200;
const ADDRESS_LIFETIME_SECONDS = 1;
/** A cut may reset connections this long before one can't be made. */
const CUT_NOTICE_MILLISECONDS = 500;
/** Stopping ends this long before the platform kills the process, so that it exits in order. */
const STOP_MARGIN_MILLISECONDS = 600;
const STOP_POLL_INTERVAL_MILLISECONDS = 50;
/**
 * Callers may keep using an address past its lifetime. After a stop begins, the instance serves for at
 * least this many address lifetimes.
 */
const CACHED_ADDRESS_LIFETIMES = 3;

/** The components of one entry instance and its lifecycle. */
class EntryInstance {
  readonly #options: EntryDaemonOptions;

  readonly #incarnation = Date.now();

  readonly #taskController = new AbortController();

  readonly #configuration: ActiveConfiguration;

  readonly #configurationCheck: ConfigurationCheck;

  readonly #fleet: BackendFleet;

  readonly #outlierEjection: OutlierEjection;

  readonly #serverReach: ServerReach;

  readonly #peers: PeerTable;

  readonly #peerRelay: PeerRelay;

  readonly #storeFollower: StoreFollower;

  readonly #gossip: Gossip;

  readonly #context: EntryContext;

  readonly #serverHealth: ServerHealth;

  readonly #lease: PlannerLease;

  readonly #registration: InstanceRegistration;

  readonly #remoteLoads = new RemoteLoads();

  /** Loads by all instances of this data centre, summed at each heartbeat. */
  #dataCentreLoads: ServerLoads = {};

  #observationsAppliedAt = Number.NEGATIVE_INFINITY;

  readonly #ownRecord: OwnRecord;

  #isStopping = false;

  /** Set while the instance stops, once callers may no longer use its cached address. */
  #mustFinishBy: number | undefined;

  #server: EntryServer | undefined;

  #closeEndpoints: (() => void) | undefined;

  constructor(options: EntryDaemonOptions) {
    this.#options = options;
    const { settings, platform, logs } = options;
    // Every task adds an abort listener; without this, Node.js warns of a listener leak.
    setMaxListeners(0, this.#taskController.signal);
    this.#configuration = new ActiveConfiguration({
      log: logs('configuration'),
      changeBoundMilliseconds: settings.changeBoundMilliseconds,
    });
    this.#fleet = new BackendFleet({
      log: logs('backend'),
      onEnded: (processKey) => this.#context.crashBlame.recordEndedServer(processKey),
      onRestarted: (id) => {
        this.#outlierEjection.forget(id);
        this.#context.callTimes.forget(id);
        this.#context.serverLimits.forget(id);
      },
    });
    this.#outlierEjection = new OutlierEjection({
      log: logs('backend'),
      onEjected: () => this.#gossipImmediately(),
      isCut: () => this.#serverReach.isCut,
    });
    this.#serverReach = new ServerReach({
      listServers: () => this.#fleet.servers.map(({ entry }) => entry),
      probe: ({ address }) => probeConnection(address),
      onChange: (isCut) => this.#applyReach(isCut),
      log: logs('backend'),
      signal: this.#taskController.signal,
    });
    this.#peers = new PeerTable({
      instance: settings.instance,
      dataCentre: settings.dataCentre,
      log: logs('peer'),
      // A dead instance cannot withdraw its ejections, so they are dropped with it.
      onPeerLost: (instance) => {
        this.#outlierEjection.replacePeerEjections(instance, []);
        this.#peerRelay.abandon(instance);
      },
    });
    this.#peerRelay = new PeerRelay({
      instance: settings.instance,
      listPeers: () => this.#peers.aliveRecords,
      configurationVersion: () => this.#configuration.current?.version ?? -1,
      protocol: platform.protocol,
      log: logs('routing'),
    });
    this.#lease = new PlannerLease({
      store: platform.store,
      holder: this.#leaseHolder,
      log: logs('placement'),
    });
    this.#storeFollower = new StoreFollower({
      platform,
      configuration: this.#configuration,
      dataCentre: settings.dataCentre,
      fleet: this.#fleet,
      changeBoundMilliseconds: settings.changeBoundMilliseconds,
      listPeers: () => this.#peers.aliveRecords,
      fetch: (peer, path) => this.#gossip.fetchDocument(peer, path),
      isFollowedByPeers: () =>
        isFollowedByPeers(settings.instance, settings.dataCentre, this.#peers.aliveRecords),
      onNews: () => this.#pushNews(),
      isIdle: () =>
        Object.values(this.#context.retryBudget.counts).every(([requests]) => requests === 0),
      logs,
      signal: this.#taskController.signal,
    });
    this.#configurationCheck = new ConfigurationCheck({
      configuration: this.#configuration,
      sources: () => this.#storeFollower.configurationSources,
      log: logs('configuration'),
    });
    this.#gossip = new Gossip({
      address: settings.listen.peers,
      dataCentre: settings.dataCentre,
      seeds: settings.seeds,
      table: this.#peers,
      ownRecord: () => this.#ownRecord.current,
      dataCentreLoads: () => this.#dataCentreLoads,
      onRecord: (record) => this.#acceptRecord(record),
      onRecords: () => this.#applyPeerObservations(),
      documents: {
        ...this.#storeFollower.documents,
        [CONNECTION_PATH]: (query) => describeConnection(this.#fleet, query),
        ...createStatusDocuments({
          settings,
          configuration: this.#configuration,
          fleet: this.#fleet,
          outlierEjection: this.#outlierEjection,
          lease: this.#lease,
          getOwnRecord: () => this.#ownRecord.current,
          listPeerRecords: () => this.#peers.aliveRecords,
          countOpenRequests: () => this.#server?.openRequests() ?? 0,
        }),
      },
      relay: {
        header: RELAY_HEADER,
        serve: (incoming, response) => {
          if (this.#server) this.#server.serveRelayed(incoming, response);
          else response.destroy();
        },
      },
      log: logs('peer'),
      signal: this.#taskController.signal,
    });
    const endCheck = new EndCheck({
      fleet: this.#fleet,
      serverReach: this.#serverReach,
      askPeer: createPeerInquiry({
        listPeers: () => this.#peers.aliveRecords,
        fetch: (peer, path, timeout) => this.#gossip.fetchDocument(peer, path, timeout),
      }),
      log: logs('backend'),
    });
    this.#context = {
      dataCentre: settings.dataCentre,
      protocol: platform.protocol,
      fleet: this.#fleet,
      outlierEjection: this.#outlierEjection,
      callTimes: new CallTimes(),
      endCheck,
      crashBlame: this.#createCrashBlame(),
      serverLimits: new ServerLimits({
        instance: settings.instance,
        listPeers: () => this.#peers.allRecords.map(({ instance }) => instance),
        log: logs('backend'),
      }),
      serverReach: this.#serverReach,
      peerRelay: this.#peerRelay,
      refusalPacing: new RefusalPacing(),
      retryBudget: new RetryBudget({
        settings: settings.retryBudget,
        peerCount: () => this.#peers.allRecords.length,
        peerCountsOf: (service) => this.#peers.sumRetries(service),
      }),
      linkLoad: new DataCentreLinkLoad({
        instanceCount: () => this.#peers.aliveCount + 1,
      }),
      stallDetector: new StallDetector({
        protocol: platform.protocol,
        fleet: this.#fleet,
        outlierEjection: this.#outlierEjection,
        endCheck,
        serverReach: this.#serverReach,
        log: logs('routing'),
        checkIntervalMilliseconds: STALL_CHECK_INTERVAL_MILLISECONDS,
      }),
      metrics: new EntryMetrics(),
      logs,
    };
    this.#registration = new InstanceRegistration({
      settings,
      store: platform.store,
      crashBlame: this.#context.crashBlame,
      onPeer: (record) => this.#peers.accept(record),
      isKeeper: () => isPlanner(this.#ownRecord.current, this.#peers.aliveRecords),
      log: logs('peer'),
      signal: this.#taskController.signal,
    });
    this.#serverHealth = new ServerHealth({
      fleet: this.#fleet,
      outlierEjection: this.#outlierEjection,
      endCheck,
      serverLimits: this.#context.serverLimits,
      callTimes: this.#context.callTimes,
      configuration: this.#configuration,
    });
    this.#ownRecord = new OwnRecord({
      settings,
      incarnation: this.#incarnation,
      describeState: () => this.#describeState(),
    });
  }

  #createCrashBlame(): CrashBlame {
    const { logs } = this.#options;
    const promptParts = new PromptPartRecords({
      countInstances: () => this.#peers.aliveCount + 1,
      onNews: () => this.#gossipImmediately(),
      log: logs('routing'),
    });
    const contents = new CrashRecords({
      isExplained: (processKey) => promptParts.explains(processKey),
      log: logs('routing'),
    });
    return new CrashBlame({ contents, promptParts });
  }

  async start(): Promise<void> {
    const { settings, platform, logs } = this.#options;
    this.#startTasks();
    const [server, closeEndpoints] = await Promise.all([
      startEntryServer({
        address: settings.listen.callers,
        context: this.#context,
        configuration: this.#configuration,
        confirmConfiguration: () => this.#configurationCheck.confirm(),
        isStopping: () => this.#isStopping,
        mustFinishBy: () => this.#mustFinishBy,
      }),
      platform.startEndpoints({
        isReady: () => this.#isReady,
        addresses: () => this.#listCallerAddresses(),
        metrics: () => this.#renderMetrics(),
      }),
      this.#gossip.listen(),
    ]);
    this.#server = server;
    this.#closeEndpoints = closeEndpoints;
    void this.#gossip.run();
    logs('daemon').info('Started.', {
      dataCentre: settings.dataCentre,
      incarnation: this.#incarnation,
      startMilliseconds: Math.round(process.uptime() * 1000),
    });
  }

  async stop(): Promise<void> {
    const { settings, logs } = this.#options;
    const log = logs('daemon');
    if (this.#isStopping) return;
    this.#isStopping = true;
    const startedAt = performance.now();
    const deadline = startedAt + settings.stopTimeoutMilliseconds - STOP_MARGIN_MILLISECONDS;
    log.info('Stopping: no longer announced to callers.', {
      open: this.#server?.openRequests(),
    });
    this.#gossipImmediately();
    this.#registration.withdraw();
    const cachedUntil = startedAt + CACHED_ADDRESS_LIFETIMES * ADDRESS_LIFETIME_SECONDS * 1000;
    while (performance.now() < deadline) {
      const isAddressCached = performance.now() < cachedUntil;
      if (!isAddressCached) {
        this.#mustFinishBy = deadline;
        this.#server?.closeIdleConnections();
      }
      if (!isAddressCached && this.#server?.openRequests() === 0) break;
      await sleep(STOP_POLL_INTERVAL_MILLISECONDS);
    }
    log.info('Stopped.', { open: this.#server?.openRequests() });
    this.#taskController.abort();
    this.#server?.close();
    this.#closeEndpoints?.();
  }

  /** Whether requests can be served: the configuration and the backend servers are known. */
  get #isReady(): boolean {
    return (
      !this.#isStopping && this.#configuration.current !== undefined && this.#storeFollower.hasFleet
    );
  }

  #startTasks(): void {
    const { platform, settings, logs } = this.#options;
    const { signal } = this.#taskController;
    this.#storeFollower.start();
    void this.#registration.register().then(() => this.#gossip.runRound());
    void this.#registration.keepBlocks();
    void this.#runPeriodically(
      () => getHeartbeatInterval(this.#peers.aliveCount),
      async () => {
        this.#ownRecord.refresh();
        this.#dataCentreLoads = sumDataCentreLoads(
          [this.#ownRecord.current, ...this.#peers.aliveRecords],
          settings.dataCentre,
        );
      },
    );
    void this.#runPeriodically(STALL_CHECK_INTERVAL_MILLISECONDS, () =>
      this.#context.stallDetector.checkStreams(),
    );
    void this.#runPeriodically(PACE_CHECK_INTERVAL_MILLISECONDS, () =>
      this.#context.stallDetector.refreshSlowdownFactors(),
    );
    void this.#runPeriodically(HEALTH_CHECK_INTERVAL_MILLISECONDS, () =>
      this.#serverHealth.checkEjectedServers(),
    );
    void runPlanner({
      fleet: this.#fleet,
      outlierEjection: this.#outlierEjection,
      configuration: this.#configuration,
      protocol: platform.protocol,
      lease: this.#lease,
      isPlanner: () => isPlanner(this.#ownRecord.current, this.#peers.aliveRecords),
      isHolderGone: (holder) => this.#isHolderGone(holder),
      isIdle: (service) => this.#isServiceIdle(service),
      metrics: this.#context.metrics,
      log: logs('placement'),
      signal,
    });
  }

  /** Acts on the loss of the links to all servers, and on their return. */
  #applyReach(isCut: boolean): void {
    const { failingSince } = this.#serverReach;
    if (isCut) this.#outlierEjection.withdrawSince(failingSince - CUT_NOTICE_MILLISECONDS);
    this.#gossipImmediately();
  }

  /** Rebuilds the record and sends it to peers without waiting for the next heartbeat. */
  #gossipImmediately(): void {
    this.#ownRecord.refresh();
    void this.#gossip.runRound(true);
  }

  /** Tells peers of this data centre that this instance has a newer configuration or server list. */
  #pushNews(): void {
    this.#ownRecord.refresh();
    void this.#gossip.pushRecord();
  }

  async #runPeriodically(
    interval: number | (() => number),
    work: () => Promise<void>,
  ): Promise<void> {
    const { signal } = this.#taskController;
    while (!signal.aborted) {
      await work();
      await sleep(typeof interval === 'number' ? interval : interval(), signal);
    }
  }

  /** The name under which this process holds the planner lease; it differs after a restart. */
  get #leaseHolder(): string {
    return `${this.#options.settings.instance}/${this.#incarnation}`;
  }

  #isHolderGone(holder: string): boolean {
    const [instance = ''] = holder.split('/');
    return isHolderGone(holder, this.#options.settings.instance, this.#peers.findAlive(instance));
  }

  /** Whether no instance has recently received a request to a service. */
  #isServiceIdle(service: string): boolean {
    const [own] = this.#context.retryBudget.counts[service] ?? [0];
    const [others] = this.#peers.sumRetries(service);
    return own + others === 0;
  }

  #describeState(): RecordState {
    return {
      urgent: {
        isReady: this.#isReady,
        isStopping: this.#isStopping,
        configurationVersion: this.#configuration.current?.version ?? -1,
        isStoreReachable: this.#storeFollower.isStoreReachable,
        isCutFromServers: this.#serverReach.isCut,
        suspects: this.#outlierEjection.ownEjections,
        ejections: this.#outlierEjection.ownEjectionCauses,
        plannerTerm: this.#lease.isHolder ? this.#lease.term : 0,
        crashes: this.#context.crashBlame.contents.serversByContent,
        promptParts: this.#context.crashBlame.promptParts.reported,
      },
      fleetRevision: this.#fleet.revision,
      ...collectServerObservations(this.#fleet),
      retries: this.#context.retryBudget.counts,
      limits: this.#context.serverLimits.reported,
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
    applyPeerObservations(this.#fleet, this.#peers.aliveRecords, this.#remoteLoads.current);
  }

  #acceptRecord(record: PeerRecord): void {
    this.#outlierEjection.replacePeerEjections(record.instance, listPeerEjections(record));
    this.#context.crashBlame.contents.merge(record.crashes);
    if (record.promptParts && record.clock !== undefined)
      this.#context.crashBlame.promptParts.merge(record.promptParts, record.clock);
    this.#context.serverLimits.merge(record.limits ?? {});
    this.#remoteLoads.accept(record);
    this.#storeFollower.catchUpWithPeer(record);
  }

  #listCallerAddresses(): CallerAddresses | undefined {
    const { settings } = this.#options;
    const addresses = listCallerAddresses(
      this.#isReady ? settings.listen.callers : undefined,
      this.#peers.aliveRecords,
    );
    if (addresses.length === 0) return undefined;
    const lifetimeSeconds = Math.min(
      ADDRESS_LIFETIME_SECONDS,
      settings.maximumAddressLifetimeSeconds,
    );
    return { addresses, lifetimeSeconds };
  }

  #renderMetrics(): Promise<string> {
    const { metrics } = this.#context;
    metrics.setState('open_requests', this.#server?.openRequests() ?? 0);
    metrics.setState('peers_alive', this.#peers.aliveRecords.length);
    metrics.setState('servers', this.#fleet.servers.length);
    metrics.setState('servers_suspected', this.#outlierEjection.ownEjections.length);
    metrics.setState('configuration_version', this.#configuration.current?.version ?? -1);
    metrics.setState('store_calls', this.#options.platform.store.callCount());
    metrics.setState('store_reachable', this.#storeFollower.isStoreReachable ? 1 : 0);
    return metrics.renderPage();
  }
}

/**
 * Starts an entry instance.
 *
 * @param options - Settings of the instance, the platform it runs on, and its loggers.
 * @returns The instance, once it accepts requests; it becomes ready when it has read the
 *   configuration and the list of backend servers.
 * @throws Error when one of the configured addresses cannot be bound.
 */
export async function startEntryDaemon(options: EntryDaemonOptions): Promise<EntryDaemon> {
  const instance = new EntryInstance(options);
  await instance.start();
  return { stop: () => instance.stop() };
}
