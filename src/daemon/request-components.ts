/** Creates what the requests of an instance share, from the components that it already has. */
import { AdmissionControl } from '../admission/admission-control.js';
import { PriorityClasses } from '../admission/priority-classes.js';
import type { ActiveConfiguration } from '../entry/active-configuration.js';
import type { EntryContext } from '../entry/entry-context.js';
import { EntryMetrics } from '../entry/entry-metrics.js';
import type { EntrySettings } from '../entry/entry-settings.js';
import { RefusalPacing } from '../entry/refusal-pacing.js';
import type { PeerTable } from '../gossip/peer-table.js';
import { DataCentreLinkLoad } from '../layers/data-centre-link-load.js';
import { getMemoryLimit, MemoryBudget } from '../memory/memory-budget.js';
import type { PeerRelay } from '../relay/peer-relay.js';
import { RetryBudget } from '../relay/retry-budget.js';
import { WaitingStreams } from '../relay/waiting-streams.js';
import { EventLoopDelay } from '../telemetry/event-loop-delay.js';
import type { LoggerFactory } from '../telemetry/log.js';
import type { EntryPlatform } from './entry-platform.js';
import type { ServerComponents } from './server-components.js';

/** Options of {@link createEntryContext}. */
export interface EntryContextOptions {
  readonly settings: EntrySettings;
  readonly platform: Pick<EntryPlatform, 'protocol'>;
  readonly servers: ServerComponents;
  readonly peers: PeerTable;
  readonly peerRelay: PeerRelay;
  readonly configuration: Pick<ActiveConfiguration, 'current'>;
  readonly signal: AbortSignal;
  readonly logs: LoggerFactory;
}

function createRetryBudget(settings: EntrySettings, peers: PeerTable): RetryBudget {
  return new RetryBudget({
    settings: settings.retryBudget,
    peerCount: () => peers.allRecords.length,
    peerCountsOf: (service) => peers.sumRetries(service),
  });
}

/**
 * Creates what the requests of an instance share.
 *
 * @param options - The components that it is made of.
 * @returns The context that every request is served with.
 */
export function createEntryContext(options: EntryContextOptions): EntryContext {
  const { settings, platform, servers, peers, peerRelay, configuration, signal, logs } = options;
  const { fleet, outlierEjection, callTimes, endCheck, crashBlame } = servers;
  const { serverLimits, serverPace, statements, serverReach, stallDetector } = servers;
  const metrics = new EntryMetrics();
  serverPace.onEvent = (event) => metrics.countEvent(event);
  const eventLoopDelay = new EventLoopDelay({
    onDelay: (milliseconds) => metrics.recordEventLoopDelay(milliseconds),
  });
  eventLoopDelay.start(signal);
  const refusalPacing = new RefusalPacing();
  const linkLoad = new DataCentreLinkLoad({
    instanceCount: () => peers.aliveCount + 1,
    recordAgeMilliseconds: () => peers.recordAgeMilliseconds,
  });
  return {
    dataCentre: settings.dataCentre,
    protocol: platform.protocol,
    fleet,
    outlierEjection,
    callTimes,
    endCheck,
    crashBlame,
    serverLimits,
    serverPace,
    statements,
    serverReach,
    peerRelay,
    refusalPacing,
    retryBudget: createRetryBudget(settings, peers),
    linkLoad,
    admission: new AdmissionControl({
      classes: new PriorityClasses(() => configuration.current),
      accountShares: servers.accountShares,
      fleet,
      outlierEjection,
      callTimes,
      linkLoad,
      refusalPacing,
      metrics,
      logs,
    }),
    stallDetector,
    waitingStreams: new WaitingStreams({ fleetRevision: () => fleet.revision }),
    eventLoopDelay,
    configurationVersion: () => configuration.current?.version ?? -1,
    memory: new MemoryBudget({
      limitBytes: getMemoryLimit(settings.memoryMebibytes),
      log: logs('caller'),
      onRevoked: ({ content }) => metrics.countEvent(`memory_given_up_${content}`),
    }),
    metrics,
    logs,
  };
}
