/**
 * Assembles the instance that `main.ts` starts: creates its components, and starts and stops it. See
 * `entry-daemon.ts` for the instance that runs on a platform with a versioned object store.
 */
import { setMaxListeners } from 'node:events';
import { startCallerServer } from '../caller/caller-server.js';
import { startOperatorServer } from '../caller/operator-server.js';
import { sleep } from '../common/clock.js';
import { applyChange } from '../configuration/commands/apply-change.js';
import { startPeerServer } from '../peer/peer-server.js';
import { CrashGuard } from '../routing/crash-guard.js';
import { LinkLatencies } from '../routing/link-latencies.js';
import { ModelAdmissionQueues } from '../routing/model-admission-queues.js';
import { PrefixCacheIndex } from '../routing/prefix-cache-index.js';
import { createPeerHandlers } from './peer-handlers.js';
import {
  listActiveInstances,
  type SharedState,
  createSharedState,
  type DaemonOptions,
} from './shared-state.js';
import {
  createLimiter,
  createPlacement,
  createServices,
  connectConfigurationToPeers,
} from './components.js';
import { startBackgroundTasks } from './background-tasks.js';

/** A running instance. */
export interface Daemon {
  /** Stops gracefully; resolves when the last request is done. */
  readonly stop: () => Promise<void>;
  /** Resolves when the instance has stopped, whether by signal or by an operator's request. */
  readonly stopped: Promise<void>;
}

const DRAIN_POLL_INTERVAL_MILLISECONDS = 50;
/**
 * Added to the time that callers keep addresses, for differences between clocks and for requests that
 * are still on their way.
 */
const DRAIN_MARGIN_MILLISECONDS = 1000;

/**
 * Leaves the membership, waits until callers no longer use this instance's address, then refuses new
 * requests and waits for open ones, at most for the `stop` time limit.
 */
async function drain(
  options: DaemonOptions,
  state: SharedState,
  openRequests: () => number,
  close: () => void,
): Promise<void> {
  const { settings, logs } = options;
  const log = logs('daemon');
  state.membership.markLeaving();
  log.info('Stopping: no longer announced to callers.');
  await sleep(settings.timeLimits.addressesKept + DRAIN_MARGIN_MILLISECONDS);
  close();
  const deadline = performance.now() + settings.timeLimits.stop;
  while (openRequests() > 0 && performance.now() < deadline) {
    await sleep(DRAIN_POLL_INTERVAL_MILLISECONDS);
  }
  if (openRequests() > 0) {
    log.warn('Stop time limit reached with requests in progress.', { open: openRequests() });
  }
}

/**
 * Starts an instance.
 *
 * @param options - Settings of the instance and its loggers.
 * @returns The running instance.
 * @throws Error when one of the configured addresses cannot be bound.
 */
export async function startDaemon(options: DaemonOptions): Promise<Daemon> {
  const { settings, logs } = options;
  const taskController = new AbortController();
  // Every task and every exchange with a peer adds an abort listener; without this, Node.js warns of a
  // listener leak.
  setMaxListeners(0, taskController.signal);
  const state = createSharedState(options);
  connectConfigurationToPeers(state, logs);
  const limiter = createLimiter(state);
  const { claimWriter, tickets, registry, atMostOnce, services } = createServices(
    state,
    settings,
    limiter,
  );
  const prefixCacheIndex = new PrefixCacheIndex();
  const admissions = new ModelAdmissionQueues({
    directory: state.directory,
    maximumQueued: settings.sizeLimits.queuedRequests,
  });
  const placement = createPlacement(state, options, taskController.signal);
  const generation = {
    directory: state.directory,
    guard: new CrashGuard({ table: state.table }),
    linkLatencies: new LinkLatencies(),
    prefixCacheIndex,
    dataCentre: settings.dataCentre,
    instance: settings.instance,
    instances: () => listActiveInstances(state),
    tokenSilenceMilliseconds: settings.timeLimits.tokenSilence,
    log: logs('pipeline'),
  };
  let isClosed = false;
  const peerServer = await startPeerServer(
    settings.peerAddress,
    createPeerHandlers({ link: state.link, claimWriter, registry, limiter, services }),
  );
  const callerServer = await startCallerServer({
    settings,
    configuration: state.configuration,
    membership: state.membership,
    limiter,
    admissions,
    generation,
    services,
    atMostOnce,
    tickets,
    metrics: state.metrics,
    log: logs('caller'),
    isStopping: () => isClosed,
  });
  // Calls forwarded by peers run here without being open at this instance's own caller interface.
  const openRequests = (): number => Math.max(callerServer.openRequests(), services.running);
  let stopPromise: Promise<void> | undefined;
  let resolveStopped: () => void = () => undefined;
  const stopped = new Promise<void>((resolve) => {
    resolveStopped = resolve;
  });
  const stop = (): Promise<void> => {
    stopPromise ??= stopComponents();
    return stopPromise;
  };
  const closeOperatorServer = await startOperatorServer({
    settings,
    configuration: state.configuration,
    membership: state.membership,
    directory: state.directory,
    placement,
    metrics: state.metrics,
    platformCalls: state.connection.counts,
    applyChange: async (team, change) => {
      const branchInForce = state.configuration.findBranch(team);
      const result = await applyChange({
        connection: state.connection,
        team,
        change,
        inForce: branchInForce,
      });
      if (result.kind === 'accepted') state.configuration.applyIfNewer(result.branch);
      return result;
    },
    openRequests,
    drain: () => {
      void stop();
    },
    log: logs('operator'),
  });
  const tasksDone = startBackgroundTasks(
    state,
    options,
    { admissions, prefixCacheIndex, placement },
    taskController.signal,
  );
  logs('daemon').info('Started.', {
    dataCentre: settings.dataCentre,
    incarnation: state.incarnation,
  });
  async function stopComponents(): Promise<void> {
    await drain(options, state, openRequests, () => {
      isClosed = true;
    });
    taskController.abort();
    await tasksDone;
    await Promise.all([callerServer.close(), closeOperatorServer()]);
    peerServer.close();
    state.clients.close();
    await state.metrics.close();
    logs('daemon').info('Stopped.');
    resolveStopped();
  }
  return { stop, stopped };
}
