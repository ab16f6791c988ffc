/**
 * How often records cross data centres. Every instance knows every other one, so the records that it
 * receives grow with the fleet; sending those of other data centres less often in a large fleet keeps
 * bytes and processing time for each instance nearly constant.
 */

/** Peers up to which a record crosses data centres at every heartbeat. */
const PEERS_PER_INTERVAL = 20;

/**
 * Returns after how many heartbeats a record without an urgent change is sent to another data centre.
 *
 * @param peerCount - Number of live peers.
 * @returns At least 1.
 */
export function getRemoteRecordInterval(peerCount: number): number {
  return Math.max(1, Math.ceil(peerCount / PEERS_PER_INTERVAL));
}
