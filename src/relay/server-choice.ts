/** Chooses the replica of a plain service for one call. */
import type { CallTimes } from '../fleet/call-times.js';
import type { FleetServer } from '../fleet/fleet-server.js';
import { getCarriedRequests } from '../fleet/pace-comparison.js';
import type { ServerPace } from '../fleet/server-pace.js';

/** Options of {@link chooseReplica}. */
export interface ReplicaChoiceOptions {
  /** The replicas that may be sent the call. */
  readonly replicas: readonly FleetServer[];
  /** Data centre of this instance. */
  readonly dataCentre: string;
  readonly callTimes: Pick<CallTimes, 'expectedMilliseconds' | 'reportedLoad'>;
  readonly serverPace: Pick<ServerPace, 'isAtWindow'>;
}

/** Multiplies the cost of a replica in another data centre. */
const REMOTE_COST_FACTOR = 1.02;

/**
 * Leaves out replicas that leave, as peers say, and those at their windows, unless there are no others. The others
 * need not have a free slot: under load none appears to have one, and the empty server would be flooded.
 */
function listPreferred({ replicas, serverPace }: ReplicaChoiceOptions): readonly FleetServer[] {
  const staying = replicas.filter(({ isLeavingByPeer }) => !isLeavingByPeer);
  const eligible = staying.length > 0 ? staying : replicas;
  const atFullRate = eligible.filter((server) => !serverPace.isAtWindow(server));
  return atFullRate.length > 0 ? atFullRate : eligible;
}

/**
 * Chooses the replica with the lowest expected time, weighted by load and data centre.
 *
 * @param options - The replicas, and what is known of them.
 * @returns The replica; undefined if there is none.
 */
export function chooseReplica(options: ReplicaChoiceOptions): FleetServer | undefined {
  const { dataCentre, callTimes } = options;
  let best: FleetServer | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  listPreferred(options).forEach((server) => {
    const { id, slots } = server.entry;
    const activeRequests = Math.max(getCarriedRequests(server), callTimes.reportedLoad(id));
    const slotUse = (activeRequests + 1) / Math.max(1, slots);
    const cost =
      callTimes.expectedMilliseconds(id) *
      (1 + slotUse * slotUse * 2) *
      (server.entry.dataCentre === dataCentre ? 1 : REMOTE_COST_FACTOR);
    if (cost >= bestCost) return;
    bestCost = cost;
    best = server;
  });
  return best;
}
