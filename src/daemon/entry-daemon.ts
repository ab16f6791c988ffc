/** One entry instance on a platform: its parts, put together. */
import { setMaxListeners } from 'node:events';
import { sleep } from '../common/clock.js';
import { ActiveConfiguration } from '../entry/active-configuration.js';
import { CrashRecords } from '../entry/crash-records.js';
import type { EntryContext } from '../entry/entry-context.js';
import { EntryMetrics } from '../entry/entry-metrics.js';
import { startEntryServer, type EntryServer } from '../entry/entry-server.js';
import type { EntrySettings } from '../entry/entry-settings.js';
import { RetryBudget } from '../entry/retry-budget.js';
import { StallDetector } from '../entry/stall-detector.js';
import { BackendFleet } from '../fleet/backend-fleet.js';
import { CallTimes } from '../fleet/call-times.js';
import { isHealthy } from '../fleet/health-check.js';
import { collectServerObservations, applyPeerObservations } from '../fleet/server-observations.js';
import { OutlierEjection } from '../fleet/outlier-ejection.js';
import { Gossip } from '../gossip/gossip.js';
import type { PeerRecord } from '../gossip/peer-record.js';
import { PeerTable } from '../gossip/peer-table.js';
import { DataCentreLinkLoad } from '../layers/data-centre-link-load.js';
import { PlannerLease } from '../layers/planner-lease.js';
import { runPlanner } from '../layers/planner-task.js';
import type { StoredObject } from '../store/object-store.js';
import type { LoggerFactory } from '../telemetry/log.js';
import { createStatusDocuments } from './status-documents.js';
import type { CallerAddresses, EntryPlatform } from './entry-platform.js';
import { isHolderGone, isPlanner } from './planner-role.js';
import { StoreFollower } from './store-follower.js';

/** Options of {@link startEntryDaemon}. */
export interface EntryDaemonOptions {
  readonly settings: EntrySettings;
  readonly platform: EntryPlatform;
  readonly logs: LoggerFactory;
}

/** A running instance. */
export interface EntryDaemon {
  /** Stops gracefully; resolves when the last request is done or the time is over. */
  readonly stop: () => Promise<void>;
}

/** The kind of object under which instances register. */
const INSTANCE_KIND = 'instances';

const HEARTBEAT_MILLISECONDS = 300;
const STALL_REVIEW_MILLISECONDS = 70;
const PACE_REVIEW_MILLISECONDS = 500;
const HEALTH_REVIEW_MILLISECONDS = 200;
const ADDRESS_LIFETIME_SECONDS = 1;
const MAXIMUM_ADDRESSES = 64;
/** Before the end of the time to stop, so that what is left ends in order. */
const STOP_MARGIN_MILLISECONDS = 600;
const STOP_REVIEW_MILLISECONDS = 50;
/** How long callers may still come with addresses that they keep, in lifetimes of an answer. */
const KEPT_LIFETIMES = 3;
const REGISTER_RETRY_MILLISECONDS = 500;

class EntryInstance {
  readonly #options: EntryDaemonOptions;

  readonly #incarnation = Date.now();

  readonly #tasks = new AbortController();

  readonly #configuration: ActiveConfiguration;

  readonly #fleet: BackendFleet;

  readonly #suspicions: OutlierEjection;

  readonly #peers: PeerTable;

  readonly #follower: StoreFollower;

  readonly #gossip: Gossip;

  readonly #context: EntryContext;

  readonly #lease: PlannerLease;

  #counter = 0;

  /** What peers are told, made anew at each heartbeat. */
  #record: PeerRecord;

  #isStopping = false;

  #server: EntryServer | undefined;

  #closeIngress: (() => void) | undefined;

  constructor(options: EntryDaemonOptions) {
    this.#options = options;
    const { settings, platform, logs } = options;
    // Every task listens for the end.
    setMaxListeners(0, this.#tasks.signal);
    this.#configuration = new ActiveConfiguration({ log: logs('configuration') });
    this.#fleet = new BackendFleet({ log: logs('backend') });
    this.#suspicions = new OutlierEjection({
      log: logs('backend'),
      onEjected: () => this.#tellAtOnce(),
    });
    this.#peers = new PeerTable({
      instance: settings.instance,
      log: logs('peer'),
      // A dead instance can't take its suspicions back.
      onPeerLost: (instance) => this.#suspicions.replacePeerEjections(instance, []),
    });
    this.#lease = new PlannerLease({
      store: platform.store,
      holder: this.#holder,
      log: logs('placement'),
    });
    this.#follower = new StoreFollower({
      platform,
      configuration: this.#configuration,
      fleet: this.#fleet,
      fetch: (peer, path) => this.#gossip.fetchDocument(peer, path),
      isIdle: () =>
        Object.values(this.#context.retryBudget.counts).every(([requests]) => requests === 0),
      logs,
      signal: this.#tasks.signal,
    });
    this.#gossip = new Gossip({
      address: settings.listen.peers,
      dataCentre: settings.dataCentre,
      seeds: settings.seeds,
      table: this.#peers,
      ownRecord: () => this.#record,
      onRecord: (record) => this.#acceptRecord(record),
      documents: {
        ...this.#follower.documents,
        ...createStatusDocuments({
          settings,
          configuration: this.#configuration,
          fleet: this.#fleet,
          suspicions: this.#suspicions,
          lease: this.#lease,
          own: () => this.#record,
          peers: () => this.#peers.aliveRecords,
          openRequests: () => this.#server?.openRequests() ?? 0,
        }),
      },
      log: logs('peer'),
      signal: this.#tasks.signal,
    });
    this.#context = {
      dataCentre: settings.dataCentre,
      protocol: platform.protocol,
      fleet: this.#fleet,
      outlierEjection: this.#suspicions,
      callTimes: new CallTimes(),
      crashRecords: new CrashRecords({ log: logs('routing') }),
      retryBudget: new RetryBudget({
        settings: settings.retryBudget,
        peerCount: () => this.#peers.allRecords.length,
        peerCountsOf: (service) => this.#peers.sumRetries(service),
      }),
      linkLoad: new DataCentreLinkLoad({
        instanceCount: () => this.#peers.aliveRecords.length + 1,
      }),
      stallDetector: new StallDetector({
        protocol: platform.protocol,
        fleet: this.#fleet,
        outlierEjection: this.#suspicions,
        log: logs('routing'),
      }),
      metrics: new EntryMetrics(),
      logs,
    };
    this.#record = this.#makeRecord();
  }

  async start(): Promise<void> {
    const { settings, platform, logs } = this.#options;
    this.#startTasks();
    const [server, closeIngress] = await Promise.all([
      startEntryServer({
        address: settings.listen.callers,
        context: this.#context,
        configuration: this.#configuration,
        isStopping: () => this.#isStopping,
      }),
      platform.startEndpoints({
        isReady: () => this.#isReady,
        addresses: () => this.#addresses(),
        metrics: () => this.#metricsPage(),
      }),
      this.#gossip.listen(),
    ]);
    this.#server = server;
    this.#closeIngress = closeIngress;
    void this.#gossip.run();
    logs('daemon').info('Started.', {
      dataCentre: settings.dataCentre,
      incarnation: this.#incarnation,
      startMilliseconds: Math.round(process.uptime() * 1000),
    });
  }

  async stop(): Promise<void> {
    const { settings, platform, logs } = this.#options;
    const log = logs('daemon');
    if (this.#isStopping) return;
    this.#isStopping = true;
    const startedAt = performance.now();
    const end = startedAt + settings.stopTimeoutMilliseconds - STOP_MARGIN_MILLISECONDS;
    log.info('Stopping: no longer offered to callers.', { open: this.#server?.openRequests() });
    this.#tellAtOnce();
    void platform.store.remove(INSTANCE_KIND, settings.instance);
    const keptUntil = startedAt + KEPT_LIFETIMES * ADDRESS_LIFETIME_SECONDS * 1000;
    while (performance.now() < end) {
      const isKept = performance.now() < keptUntil;
      if (!isKept) this.#server?.closeIdleConnections();
      if (!isKept && this.#server?.openRequests() === 0) break;
      await sleep(STOP_REVIEW_MILLISECONDS);
    }
    log.info('Stopped.', { open: this.#server?.openRequests() });
    this.#tasks.abort();
    this.#server?.close();
    this.#closeIngress?.();
  }

  get #isReady(): boolean {
    return (
      !this.#isStopping && this.#configuration.current !== undefined && this.#follower.hasFleet
    );
  }

  #startTasks(): void {
    const { platform, logs } = this.#options;
    const { signal } = this.#tasks;
    this.#follower.start();
    void this.#register();
    void this.#repeat(HEARTBEAT_MILLISECONDS, async () => {
      if (this.#follower.isStoreReachable) this.#configuration.markUpToDate();
      this.#record = this.#makeRecord();
    });
    void this.#repeat(STALL_REVIEW_MILLISECONDS, () => this.#context.stallDetector.checkStreams());
    void this.#repeat(PACE_REVIEW_MILLISECONDS, () =>
      this.#context.stallDetector.refreshSlowdownFactors(),
    );
    void this.#repeat(HEALTH_REVIEW_MILLISECONDS, () => this.#checkSuspects());
    void runPlanner({
      fleet: this.#fleet,
      suspicions: this.#suspicions,
      configuration: this.#configuration,
      protocol: platform.protocol,
      lease: this.#lease,
      isPlanner: () => isPlanner(this.#record, this.#peers.aliveRecords),
      isHolderGone: (holder) => this.#isHolderGone(holder),
      isIdle: (service) => this.#isIdle(service),
      metrics: this.#context.metrics,
      log: logs('placement'),
      signal,
    });
  }

  /** Tells peers without waiting for the next heartbeat. */
  #tellAtOnce(): void {
    this.#record = this.#makeRecord();
    void this.#gossip.runRound(true);
  }

  async #repeat(milliseconds: number, work: () => Promise<void>): Promise<void> {
    const { signal } = this.#tasks;
    while (!signal.aborted) {
      await work();
      await sleep(milliseconds, signal);
    }
  }

  get #holder(): string {
    return `${this.#options.settings.instance}/${this.#incarnation}`;
  }

  #isHolderGone(holder: string): boolean {
    const [instance = ''] = holder.split('/');
    return isHolderGone(holder, this.#options.settings.instance, this.#peers.findAlive(instance));
  }

  #isIdle(service: string): boolean {
    const [own] = this.#context.retryBudget.counts[service] ?? [0];
    const [others] = this.#peers.sumRetries(service);
    return own + others === 0;
  }

  /** Registers this instance, and learns of those that registered before. */
  async #register(): Promise<void> {
    const { settings, platform, logs } = this.#options;
    const { signal } = this.#tasks;
    const value = {
      dataCentre: settings.dataCentre,
      callers: settings.listen.callers,
      peers: settings.listen.peers,
    };
    while (!signal.aborted && !this.#isStopping) {
      const created = await platform.store.create(INSTANCE_KIND, settings.instance, value);
      const listed = await platform.store.list(INSTANCE_KIND);
      if (listed.kind === 'listed' && created.kind !== 'unavailable') {
        listed.objects.forEach((object) => this.#takeInstance(object));
        logs('peer').info('Registered.', { known: listed.objects.length });
        void this.#gossip.runRound();
        return;
      }
      await sleep(REGISTER_RETRY_MILLISECONDS, signal);
    }
  }

  #takeInstance(object: StoredObject): void {
    const { value } = object;
    const candidate = {
      ...this.#record,
      loads: {},
      retries: {},
      holdings: {},
      plannerTerm: 0,
      paces: {},
      suspects: [],
      crashes: {},
      instance: object.name,
      incarnation: 0,
      counter: 0,
      isReady: false,
      isStoreReachable: false,
    };
    if (typeof value !== 'object' || value === null) return;
    const { dataCentre, callers, peers } = value as Partial<PeerRecord>;
    if (!dataCentre || !callers || !peers) return;
    this.#peers.accept({ ...candidate, dataCentre, callers, peers });
  }

  #makeRecord(): PeerRecord {
    const { settings } = this.#options;
    this.#counter += 1;
    return {
      instance: settings.instance,
      dataCentre: settings.dataCentre,
      incarnation: this.#incarnation,
      counter: this.#counter,
      callers: settings.listen.callers,
      peers: settings.listen.peers,
      isReady: this.#isReady,
      isStopping: this.#isStopping,
      configurationVersion: this.#configuration.current?.version ?? -1,
      fleetRevision: this.#fleet.revision,
      isStoreReachable: this.#follower.isStoreReachable,
      suspects: this.#suspicions.ownEjections,
      ...collectServerObservations(this.#fleet),
      plannerTerm: this.#lease.isHolder ? this.#lease.term : 0,
      retries: this.#context.retryBudget.counts,
      crashes: this.#context.crashRecords.serversByContent,
    };
  }

  #acceptRecord(record: PeerRecord): void {
    this.#suspicions.replacePeerEjections(record.instance, record.suspects);
    this.#context.crashRecords.merge(record.crashes);
    applyPeerObservations(this.#fleet, this.#peers.aliveRecords);
    this.#follower.catchUp(record);
  }

  #addresses(): CallerAddresses | undefined {
    const { settings } = this.#options;
    const ready = this.#peers.aliveRecords.filter(
      ({ isReady, isStopping }) => isReady && !isStopping,
    );
    const addresses = ready.map(({ callers }) => callers);
    if (this.#isReady) addresses.push(settings.listen.callers);
    if (addresses.length === 0) return undefined;
    return {
      addresses: addresses.slice(0, MAXIMUM_ADDRESSES),
      lifetimeSeconds: Math.min(ADDRESS_LIFETIME_SECONDS, settings.maximumAddressLifetimeSeconds),
    };
  }

  async #checkSuspects(): Promise<void> {
    const { fleet } = this.#context;
    this.#suspicions.retain((id) => fleet.find(id) !== undefined);
    await Promise.all(this.#suspicions.dueForHealthCheck.map((id) => this.#checkHealth(id)));
  }

  async #checkHealth(id: string): Promise<void> {
    const server = this.#fleet.find(id);
    if (!server) return;
    const service = this.#configuration.current?.services.get(server.entry.service);
    const path = service?.healthPath ?? '/health';
    if (await isHealthy(server.entry.address, path)) this.#suspicions.readmitIfHoldElapsed(id);
  }

  #metricsPage(): Promise<string> {
    const { metrics } = this.#context;
    metrics.setState('open_requests', this.#server?.openRequests() ?? 0);
    metrics.setState('peers_alive', this.#peers.aliveRecords.length);
    metrics.setState('servers', this.#fleet.servers.length);
    metrics.setState('servers_suspected', this.#suspicions.ownEjections.length);
    metrics.setState('configuration_version', this.#configuration.current?.version ?? -1);
    metrics.setState('store_calls', this.#options.platform.store.callCount());
    metrics.setState('store_reachable', this.#follower.isStoreReachable ? 1 : 0);
    return metrics.renderPage();
  }
}

/**
 * Starts an entry instance.
 *
 * @param options - Its settings, platform and logs.
 * @returns The running instance.
 * @throws Error when an address can't be listened on.
 */
export async function startEntryDaemon(options: EntryDaemonOptions): Promise<EntryDaemon> {
  const instance = new EntryInstance(options);
  await instance.start();
  return { stop: () => instance.stop() };
}
