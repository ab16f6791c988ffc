/** Describes the state of an instance for its record, from what its components know. */
import type { ActiveConfiguration } from '../entry/active-configuration.js';
import { collectServerObservations } from '../fleet/server-observations.js';
import type { PeerTable } from '../gossip/peer-table.js';
import type { PlannerLease } from '../layers/planner-lease.js';
import type { RetryBudget } from '../relay/retry-budget.js';
import type { RecordState } from './own-record.js';
import type { ServerComponents } from './server-components.js';
import type { StoreFollower } from './store-follower.js';

/** What {@link describeRecordState} reads. */
export interface RecordStateSources {
  readonly isReady: boolean;
  readonly isStopping: boolean;
  readonly configuration: Pick<ActiveConfiguration, 'current'>;
  readonly storeFollower: Pick<StoreFollower, 'isStoreReachable'>;
  readonly lease: Pick<PlannerLease, 'isHolder' | 'term'>;
  readonly peers: Pick<PeerTable, 'reportedLost'>;
  readonly servers: ServerComponents;
  readonly retryBudget: Pick<RetryBudget, 'counts'>;
}

/**
 * Describes the state of an instance.
 *
 * @param sources - The components that know it.
 * @returns The state for the instance's record.
 */
export function describeRecordState(sources: RecordStateSources): RecordState {
  const { isReady, isStopping, configuration, storeFollower, lease, peers, retryBudget } = sources;
  const { fleet, outlierEjection, serverReach, crashBlame } = sources.servers;
  const { serverLimits, serverPace, accountShares } = sources.servers;
  return {
    urgent: {
      isReady,
      isStopping,
      configurationVersion: configuration.current?.version ?? -1,
      isStoreReachable: storeFollower.isStoreReachable,
      isCutFromServers: serverReach.isCut,
      lost: peers.reportedLost,
      suspects: outlierEjection.ownEjections,
      ejections: outlierEjection.ownEjectionCauses,
      plannerTerm: lease.isHolder ? lease.term : 0,
      ...crashBlame.contents.reported,
      promptParts: crashBlame.promptParts.reported,
    },
    fleetRevision: fleet.revision,
    fleetEra: fleet.era,
    ...collectServerObservations(fleet),
    accountLoads: accountShares.reported,
    retries: retryBudget.counts,
    limits: serverLimits.reported,
    windows: serverPace.reported,
  };
}
