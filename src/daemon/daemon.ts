/** One instance of the system: its parts, put together. */
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
  /** Resolves when the instance has stopped, for whatever reason. */
  readonly stopped: Promise<void>;
}

const DRAIN_REVIEW_MILLISECONDS = 50;
/** What callers' clocks and last requests under way may add to the time they keep addresses. */
const DRAIN_MARGIN_MILLISECONDS = 1000;

/** Waits until callers have let go of this instance's address and the last request is done. */
async function drain(
  options: DaemonOptions,
  core: SharedState,
  openRequests: () => number,
  close: () => void,
): Promise<void> {
  const { settings, logs } = options;
  const log = logs('daemon');
  core.membership.leave();
  log.info('Stopping: no longer offered to callers.');
  await sleep(settings.timeLimits.addressesKept + DRAIN_MARGIN_MILLISECONDS);
  close();
  const deadline = performance.now() + settings.timeLimits.stop;
  while (openRequests() > 0 && performance.now() < deadline) {
    await sleep(DRAIN_REVIEW_MILLISECONDS);
  }
  if (openRequests() > 0) {
    log.warn('Stopping with requests in progress.', { open: openRequests() });
  }
}

/**
 * Starts an instance.
 *
 * @param options - Its settings and logs.
 * @returns The running instance.
 * @throws Error when an address can't be listened on.
 */
export async function startDaemon(options: DaemonOptions): Promise<Daemon> {
  const { settings, logs } = options;
  const tasks = new AbortController();
  // Every task and every short contact with a peer listens for the end.
  setMaxListeners(0, tasks.signal);
  const core = createSharedState(options);
  connectConfigurationToPeers(core, logs);
  const limiter = createLimiter(core);
  const { claimWriter, tickets, registry, atMostOnce, services } = createServices(
    core,
    settings,
    limiter,
  );
  const prefixCacheIndex = new PrefixCacheIndex();
  const admissions = new ModelAdmissionQueues({
    directory: core.directory,
    maximumQueued: settings.sizeLimits.queuedRequests,
  });
  const placement = createPlacement(core, options, tasks.signal);
  const generation = {
    directory: core.directory,
    guard: new CrashGuard({ table: core.table }),
    linkLatencies: new LinkLatencies(),
    prefixCacheIndex,
    dataCentre: settings.dataCentre,
    instance: settings.instance,
    instances: () => listActiveInstances(core),
    tokenSilenceMilliseconds: settings.timeLimits.tokenSilence,
    log: logs('pipeline'),
  };
  let isClosed = false;
  const peers = await startPeerServer(
    settings.peerAddress,
    createPeerHandlers({ link: core.link, claimWriter, registry, limiter, services }),
  );
  const callers = await startCallerServer({
    settings,
    configuration: core.configuration,
    membership: core.membership,
    limiter,
    admissions,
    generation,
    services,
    atMostOnce,
    tickets,
    metrics: core.metrics,
    log: logs('caller'),
    isStopping: () => isClosed,
  });
  // Calls that peers passed on are in progress here too.
  const openRequests = (): number => Math.max(callers.openRequests(), services.running);
  let stopping: Promise<void> | undefined;
  let finish: () => void = () => undefined;
  const stopped = new Promise<void>((resolve) => {
    finish = resolve;
  });
  const stop = (): Promise<void> => {
    stopping ??= stopWhole();
    return stopping;
  };
  const closeOperators = await startOperatorServer({
    settings,
    configuration: core.configuration,
    membership: core.membership,
    directory: core.directory,
    placement,
    metrics: core.metrics,
    platformCalls: core.connection.counts,
    applyChange: async (team, change) => {
      const inForce = core.configuration.branch(team);
      const result = await applyChange({ connection: core.connection, team, change, inForce });
      if (result.kind === 'accepted') core.configuration.offer(result.branch);
      return result;
    },
    openRequests,
    drain: () => {
      void stop();
    },
    log: logs('operator'),
  });
  const running = startBackgroundTasks(
    core,
    options,
    { admissions, prefixMemory: prefixCacheIndex, placement },
    tasks.signal,
  );
  logs('daemon').info('Started.', {
    dataCentre: settings.dataCentre,
    incarnation: core.incarnation,
  });
  async function stopWhole(): Promise<void> {
    await drain(options, core, openRequests, () => {
      isClosed = true;
    });
    tasks.abort();
    await running;
    await Promise.all([callers.close(), closeOperators()]);
    peers.close();
    core.clients.close();
    await core.metrics.close();
    logs('daemon').info('Stopped.');
    finish();
  }
  return { stop, stopped };
}
