/** Which instance places layers, and whose lease may be taken over. */
import type { PeerRecord } from '../gossip/peer-record.js';

/** What the choice of a planner depends on. */
export interface PlannerCandidate {
  readonly instance: string;
  readonly isReady: boolean;
  readonly isStoreReachable: boolean;
  /** The term of the planner's lease, while this instance holds it; else 0. */
  readonly plannerTerm: number;
}

/**
 * Tells whether an instance is to plan: the holder of the newest lease, or without one the first by
 * name; of those that reach the store, unless none reaches it.
 *
 * @param self - The instance.
 * @param peers - Records of the peers that are alive.
 * @returns Whether it is to plan.
 */
export function isPlanner(self: PlannerCandidate, peers: readonly PeerRecord[]): boolean {
  if (!self.isReady) return false;
  const able = peers.filter(({ isReady, isStopping }) => isReady && !isStopping);
  const isStoreHeard = self.isStoreReachable || able.some((peer) => peer.isStoreReachable);
  if (isStoreHeard && !self.isStoreReachable) return false;
  const rivals = able.filter((peer) => peer.isStoreReachable || !isStoreHeard);
  const term = Math.max(0, ...rivals.map(({ plannerTerm }) => plannerTerm));
  if (self.plannerTerm !== term) return self.plannerTerm > term;
  return !rivals.some((peer) => peer.plannerTerm === term && peer.instance < self.instance);
}

/**
 * Tells whether the holder of a lease may be superseded.
 *
 * @param holder - The instance and the incarnation that hold the lease, as `instance/incarnation`.
 * @param self - The asking instance's name.
 * @param peer - The holder's record, if the holder is alive.
 * @returns Whether it is gone, stops, or can't renew its lease.
 */
export function isHolderGone(holder: string, self: string, peer: PeerRecord | undefined): boolean {
  const [instance = '', incarnation] = holder.split('/');
  if (instance === self) return true;
  if (!peer || peer.isStopping || !peer.isStoreReachable) return true;
  return String(peer.incarnation) !== incarnation;
}
