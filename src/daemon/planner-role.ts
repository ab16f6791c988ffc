/** Chooses the instance that plans layer placement, and tells whose lease may be taken over. */
import type { PeerRecord } from '../gossip/peer-record.js';

/** The properties of an instance that decide whether it is the planner. */
export interface PlannerCandidate {
  readonly instance: string;
  readonly isReady: boolean;
  readonly isStoreReachable: boolean;
  /** Whether it has lost its links to all backend servers. */
  readonly isCutFromServers?: boolean | undefined;
  /** Term of the planner lease while this instance holds it, otherwise 0. */
  readonly plannerTerm: number;
}

/**
 * Tells whether an instance is the planner.
 *
 * The planner is the ready instance whose lease has the highest term; without any lease, the one
 * whose name sorts first. Only instances that reach the store are considered, so that a planner cut
 * off from the store hands over. When none reaches it, all are considered, so that planning goes on
 * during a store outage. Likewise an instance that is cut from the servers is considered only when all are.
 *
 * @param self - The instance that asks.
 * @param peers - Records of its live peers.
 * @returns Whether `self` is the planner.
 */
export function isPlanner(self: PlannerCandidate, peers: readonly PeerRecord[]): boolean {
  if (!self.isReady) return false;
  const ready = peers.filter(({ isReady, isStopping }) => isReady && !isStopping);
  const isUncut = (candidate: PlannerCandidate): boolean => candidate.isCutFromServers !== true;
  const areServersReachedByAny = isUncut(self) || ready.some(isUncut);
  if (areServersReachedByAny && !isUncut(self)) return false;
  const eligible = ready.filter((peer) => isUncut(peer) || !areServersReachedByAny);
  const isStoreReachedByAny =
    self.isStoreReachable || eligible.some((peer) => peer.isStoreReachable);
  if (isStoreReachedByAny && !self.isStoreReachable) return false;
  const otherCandidates = eligible.filter((peer) => peer.isStoreReachable || !isStoreReachedByAny);
  const highestTerm = Math.max(0, ...otherCandidates.map(({ plannerTerm }) => plannerTerm));
  if (self.plannerTerm !== highestTerm) return self.plannerTerm > highestTerm;
  return !otherCandidates.some(
    (peer) => peer.plannerTerm === highestTerm && peer.instance < self.instance,
  );
}

/**
 * Tells whether another instance may take over the planner lease from its holder.
 *
 * @param holder - The lease holder, as `instance/incarnation`.
 * @param self - Name of the instance that asks.
 * @param peer - The holder's record, or undefined when the holder is not alive.
 * @returns Whether the holder is dead, restarted, stopping or unable to reach the servers, or the store to
 *   renew the lease; also true for a lease of an earlier incarnation of `self`.
 */
export function isHolderGone(holder: string, self: string, peer: PeerRecord | undefined): boolean {
  const [instance = '', incarnation] = holder.split('/');
  if (instance === self) return true;
  if (!peer || peer.isStopping || !peer.isStoreReachable || peer.isCutFromServers) return true;
  return String(peer.incarnation) !== incarnation;
}
