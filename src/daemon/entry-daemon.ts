/**
 * Assembles the entry instance that `platform/main.ts` starts: creates its components, runs their
 * periodic tasks, and starts and stops it.
 */
import { setMaxListeners } from 'node:events';
import { runPeriodically } from '../common/periodic-task.js';
import { startEntryServer, type EntryServer } from '../entry/entry-server.js';
import type { EntrySettings } from '../entry/entry-settings.js';
import { getHeartbeatInterval } from '../gossip/record-interval.js';
import { runPlanner } from '../layers/planner-task.js';
import type { LoggerFactory } from '../telemetry/log.js';
import { EntryComponents } from './entry-components.js';
import type { CallerAddresses, EntryPlatform } from './entry-platform.js';
import { listCallerAddresses } from './caller-addresses.js';
import { isPlanner } from './planner-role.js';
import { STALL_CHECK_INTERVAL_MILLISECONDS } from './server-components.js';
import { finishRequests, planStop, type StopTimes } from './stop-sequence.js';

/** Options of {@link startEntryDaemon}. */
export interface EntryDaemonOptions {
  readonly settings: EntrySettings;
  readonly platform: EntryPlatform;
  readonly logs: LoggerFactory;
}

/** A running entry instance. */
export interface EntryDaemon {
  /**
   * Stops gracefully; resolves when the last request is done or was ended, shortly before
   * `settings.stopTimeoutMilliseconds` has passed. Further calls wait for the same stop.
   *
   * @param startedAt - When the platform asked for it, on the monotonic clock.
   */
  readonly stop: (startedAt: number) => Promise<void>;
}

const SLOWDOWN_CHECK_INTERVAL_MILLISECONDS = 500;
const HEALTH_CHECK_INTERVAL_MILLISECONDS = 200;
const ADDRESS_LIFETIME_SECONDS = 1;

/** The components of one entry instance and its lifecycle. */
class EntryInstance {
  readonly #options: EntryDaemonOptions;

  readonly #taskController = new AbortController();

  /** Set while the instance stops. */
  #stopTimes: StopTimes | undefined;

  #stopped: Promise<void> | undefined;

  #server: EntryServer | undefined;

  #closeEndpoints: (() => void) | undefined;

  readonly #components: EntryComponents;

  constructor(options: EntryDaemonOptions) {
    this.#options = options;
    // Every task adds an abort listener; without this, Node.js warns of a listener leak.
    setMaxListeners(0, this.#taskController.signal);
    this.#components = new EntryComponents({
      ...options,
      signal: this.#taskController.signal,
      isStopping: () => this.#stopTimes !== undefined,
      server: () => this.#server,
    });
  }

  async start(): Promise<void> {
    const { settings, platform, logs } = this.#options;
    this.#startTasks();
    const [server, closeEndpoints] = await Promise.all([
      startEntryServer({
        address: settings.listen.callers,
        context: this.#components.context,
        configuration: this.#components.configuration,
        confirmConfiguration: () => this.#components.configurationCheck.confirm(),
        isStopping: () => this.#stopTimes !== undefined,
        mustFinishBy: () => this.#stopTimes?.mustFinishBy,
      }),
      platform.startEndpoints({
        isReady: () => this.#components.isReady,
        addresses: () => this.#listCallerAddresses(),
        metrics: () => this.#renderMetrics(),
      }),
      this.#components.gossip.listen(),
    ]);
    this.#server = server;
    this.#closeEndpoints = closeEndpoints;
    void this.#components.gossip.run();
    logs('daemon').info('Started.', {
      dataCentre: settings.dataCentre,
      incarnation: this.#components.incarnation,
      startMilliseconds: Math.round(process.uptime() * 1000),
    });
  }

  stop(startedAt: number): Promise<void> {
    this.#stopped ??= this.#stop(startedAt);
    return this.#stopped;
  }

  async #stop(startedAt: number): Promise<void> {
    const { settings, logs } = this.#options;
    const log = logs('daemon');
    this.#stopTimes = planStop({
      startedAt,
      timeoutMilliseconds: settings.stopTimeoutMilliseconds,
      addressLifetimeMilliseconds: ADDRESS_LIFETIME_SECONDS * 1000,
    });
    log.info('Stopping: no longer announced to callers.', {
      open: this.#server?.openRequests(),
    });
    this.#components.gossipImmediately();
    this.#components.registration.withdraw();
    const result = this.#server && (await finishRequests(this.#server, this.#stopTimes));
    log.info('Stopped.', { ...result });
    this.#taskController.abort();
    this.#server?.close();
    this.#closeEndpoints?.();
  }

  #startTasks(): void {
    const { platform, logs } = this.#options;
    const { signal } = this.#taskController;
    this.#components.storeFollower.start();
    void this.#components.registration.register().then(() => this.#components.gossip.runRound());
    void this.#components.registration.keepBlocks();
    const { stallDetector } = this.#components.context;
    const run = (name: string, interval: () => number, work: () => Promise<void>): void => {
      void runPeriodically({ name, interval, work, signal, log: logs('daemon') });
    };
    run(
      'refresh of the own record',
      () => getHeartbeatInterval(this.#components.peers.memberCount),
      async () => this.#components.refreshRecord(),
    );
    run(
      'check of streams',
      () => STALL_CHECK_INTERVAL_MILLISECONDS,
      () => stallDetector.checkStreams(),
    );
    run(
      'refresh of slowdown factors',
      () => SLOWDOWN_CHECK_INTERVAL_MILLISECONDS,
      () => stallDetector.refreshSlowdownFactors(),
    );
    run(
      'check of ejected servers',
      () => HEALTH_CHECK_INTERVAL_MILLISECONDS,
      () => this.#components.serverHealth.checkEjectedServers(),
    );
    void runPlanner({
      fleet: this.#components.fleet,
      outlierEjection: this.#components.outlierEjection,
      configuration: this.#components.configuration,
      protocol: platform.protocol,
      reports: this.#components.engineReports,
      lease: this.#components.lease,
      isPlanner: () =>
        isPlanner(this.#components.ownRecord.current, this.#components.peers.aliveRecords),
      isHolderGone: (holder) => this.#components.isHolderGone(holder),
      isIdle: (service) => this.#components.isServiceIdle(service),
      metrics: this.#components.context.metrics,
      log: logs('placement'),
      signal,
    });
  }

  #listCallerAddresses(): CallerAddresses | undefined {
    const { settings } = this.#options;
    const addresses = listCallerAddresses(
      this.#components.isReady ? settings.listen.callers : undefined,
      this.#components.peers.aliveRecords,
    );
    if (addresses.length === 0) return undefined;
    const lifetimeSeconds = Math.min(
      ADDRESS_LIFETIME_SECONDS,
      settings.maximumAddressLifetimeSeconds,
    );
    return { addresses, lifetimeSeconds };
  }

  #renderMetrics(): Promise<string> {
    const { metrics } = this.#components.context;
    metrics.setState('open_requests', this.#server?.openRequests() ?? 0);
    metrics.setState('streams_waiting', this.#components.context.waitingStreams.count);
    metrics.setState('peers_alive', this.#components.peers.aliveRecords.length);
    metrics.setState('servers', this.#components.fleet.servers.length);
    metrics.setState('servers_suspected', this.#components.outlierEjection.ownEjections.length);
    metrics.setState(
      'configuration_version',
      this.#components.configuration.current?.version ?? -1,
    );
    metrics.setState('store_calls', this.#options.platform.store.callCount());
    const { storeFollower, configuration } = this.#components;
    metrics.setState('store_reachable', storeFollower.isStoreReachable ? 1 : 0);
    metrics.setState('request_memory_bytes', this.#components.context.memory.heldBytes);
    metrics.setAge('configuration_age_milliseconds', configuration.ageMilliseconds());
    metrics.setAge('servers_age_milliseconds', storeFollower.serversAgeMilliseconds);
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
  return { stop: (startedAt) => instance.stop(startedAt) };
}
