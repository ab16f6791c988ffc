/** Background tasks of one instance, and the check that it is ready for callers. */
import { runLoadReader } from '../backend/load-reader.js';
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

const ADMISSION_INTERVAL_MILLISECONDS = 200;
const READY_POLL_INTERVAL_MILLISECONDS = 20;
/** How long a starting instance waits for load reports of the listed backend servers. */
const REPORT_WAIT_MILLISECONDS = 3000;

/**
 * Starts the background tasks of an instance.
 *
 * @param signal - Stops all tasks.
 * @returns A promise that resolves when every task has ended.
 */
export function startBackgroundTasks(
  state: SharedState,
  options: DaemonOptions,
  components: {
    readonly admissions: ModelAdmissionQueues;
    readonly prefixCacheIndex: PrefixCacheIndex;
    readonly placement: PlacementReconciler;
  },
  signal: AbortSignal,
): Promise<unknown> {
  const { settings, logs } = options;
  const { timeLimits } = settings;
  let listedPeers: Address[] = [];
  const adaptAdmissions = async (): Promise<void> => {
    while (!signal.aborted) {
      state.directory.updateTrafficFactor();
      components.admissions.updateConcurrency();
      await sleep(ADMISSION_INTERVAL_MILLISECONDS, signal);
    }
  };
  return Promise.all([
    runPeerNetwork({
      context: state.link,
      membership: state.membership,
      listSeedAddresses: () => [...settings.seedPeers, ...listedPeers],
      log: logs('peer'),
      signal,
    }),
    pollInstanceList({
      address: settings.platform.instanceList,
      pollIntervalMilliseconds: timeLimits.instanceList,
      timeoutMilliseconds: timeLimits.platformCall,
      directory: state.directory,
      onEntries: (entries) => {
        listedPeers = entries
          .filter((row) => row.id !== settings.instance)
          .map(({ host, port }) => ({ host, port }));
      },
      log: logs('platform'),
      signal,
    }),
    followConfiguration({
      connection: state.connection,
      inForce: state.configuration,
      isWatcher: () => isConfigurationWatcher(state),
      log: logs('configuration'),
      signal,
    }),
    runLoadReader({
      directory: state.directory,
      membership: state.membership,
      prefixCacheIndex: components.prefixCacheIndex,
      readIntervalMilliseconds: timeLimits.loadReading,
      log: logs('backend'),
      signal,
    }),
    runClaimExpiry({
      connection: state.connection,
      isOwner: (prefix) => findOwner(prefix, state) === settings.instance,
      log: logs('claims'),
      signal,
    }),
    settings.placement.enabled ? components.placement.run() : Promise.resolve(),
    adaptAdmissions(),
    serveWhenReady(state, logs, signal),
  ]);
}

/**
 * Announces this instance to callers once it has a configuration and a load report of every listed
 * backend server, or has waited {@link REPORT_WAIT_MILLISECONDS} for servers that do not respond.
 */
async function serveWhenReady(
  state: SharedState,
  logs: LoggerFactory,
  signal: AbortSignal,
): Promise<void> {
  let listedAt: number | undefined;
  while (!signal.aborted) {
    const { configuration, directory } = state;
    if (directory.hasInstanceList) listedAt ??= performance.now();
    const isReportWaitOver = performance.now() - (listedAt ?? Infinity) > REPORT_WAIT_MILLISECONDS;
    if (
      configuration.isReady &&
      directory.hasInstanceList &&
      (directory.hasAllReports || isReportWaitOver)
    ) {
      state.membership.markLive();
      logs('daemon').info('Ready: announced to callers.');
      return;
    }
    await sleep(READY_POLL_INTERVAL_MILLISECONDS, signal);
  }
}
