/** The tasks that run until one instance stops. */
import { runLoadReading } from '../backend/load-reader.js';
import { runClaimExpiry } from '../claims/claim-expiry.js';
import type { Address } from '../common/address.js';
import { sleep } from '../common/clock.js';
import { followConfiguration } from '../configuration/watch-task.js';
import { runPeerNetwork } from '../peer/peer-network.js';
import { PlacementReconciler } from '../placement/placement-reconciler.js';
import { ModelAdmissionQueues } from '../routing/model-admission-queues.js';
import { PrefixCacheIndex } from '../routing/prefix-cache-index.js';
import type { LoggerFactory } from '../telemetry/log.js';
import { pollInstanceList } from './instance-list-task.js';
import {
  type SharedState,
  type DaemonOptions,
  isConfigurationWatcher,
  findOwner,
} from './shared-state.js';

const WIDTH_REVIEW_MILLISECONDS = 200;
const READY_REVIEW_MILLISECONDS = 20;
/** How long a fresh instance waits for reports of listed backend servers. */
const REPORTS_AWAITED_MILLISECONDS = 3000;

/** Starts every task that runs until the instance stops. */
export function startBackgroundTasks(
  core: SharedState,
  options: DaemonOptions,
  parts: {
    readonly admissions: ModelAdmissionQueues;
    readonly prefixMemory: PrefixCacheIndex;
    readonly placement: PlacementReconciler;
  },
  signal: AbortSignal,
): Promise<unknown> {
  const { settings, logs } = options;
  const { timeLimits } = settings;
  let listedPeers: Address[] = [];
  const adaptWidths = async (): Promise<void> => {
    while (!signal.aborted) {
      core.directory.reviewTraffic();
      parts.admissions.updateConcurrency();
      await sleep(WIDTH_REVIEW_MILLISECONDS, signal);
    }
  };
  return Promise.all([
    runPeerNetwork({
      context: core.link,
      membership: core.membership,
      knownAddresses: () => [...settings.seedPeers, ...listedPeers],
      log: logs('peer'),
      signal,
    }),
    pollInstanceList({
      address: settings.platform.instanceList,
      pollIntervalMilliseconds: timeLimits.instanceList,
      timeoutMilliseconds: timeLimits.platformCall,
      directory: core.directory,
      onEntries: (entries) => {
        listedPeers = entries
          .filter((row) => row.id !== settings.instance)
          .map(({ host, port }) => ({ host, port }));
      },
      log: logs('platform'),
      signal,
    }),
    followConfiguration({
      connection: core.connection,
      inForce: core.configuration,
      isWatcher: () => isConfigurationWatcher(core),
      log: logs('configuration'),
      signal,
    }),
    runLoadReading({
      directory: core.directory,
      membership: core.membership,
      prefixMemory: parts.prefixMemory,
      readingMilliseconds: timeLimits.loadReading,
      log: logs('backend'),
      signal,
    }),
    runClaimExpiry({
      connection: core.connection,
      isOwner: (prefix) => findOwner(prefix, core) === settings.instance,
      log: logs('claims'),
      signal,
    }),
    settings.placement.enabled ? parts.placement.run() : Promise.resolve(),
    adaptWidths(),
    serveWhenReady(core, logs, signal),
  ]);
}

/**
 * Offers this instance to callers once it has a configuration and has heard of every backend
 * server on the list, or has waited long enough for those that do not answer.
 */
async function serveWhenReady(
  core: SharedState,
  logs: LoggerFactory,
  signal: AbortSignal,
): Promise<void> {
  let listedAt: number | undefined;
  while (!signal.aborted) {
    const { configuration, directory } = core;
    if (directory.isListed) listedAt ??= performance.now();
    const hasWaited = performance.now() - (listedAt ?? Infinity) > REPORTS_AWAITED_MILLISECONDS;
    if (configuration.isReady && directory.isListed && (directory.isReported || hasWaited)) {
      core.membership.serve();
      logs('daemon').info('Ready: offered to callers.');
      return;
    }
    await sleep(READY_REVIEW_MILLISECONDS, signal);
  }
}
