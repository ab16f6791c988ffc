/**
 * How often records cross data centres. Every instance knows every other one, so the records that it
 * receives grow with the fleet; sending those of other data centres less often in a large fleet keeps
 * bytes and processing time for each instance nearly constant.
 */

/** Peers up to which records are sent as often as in a small fleet. */
const PEERS_PER_INTERVAL = 20;

/**
 * Returns after how many heartbeats a record without an urgent change is sent to another data centre.
 *
 * @param peerCount - Number of peers, see `PeerTable.memberCount`.
 * @returns At least 1.
 */
export function getRemoteRecordInterval(peerCount: number): number {
  return Math.max(1, Math.ceil(peerCount / PEERS_PER_INTERVAL));
}

/** Between two records of an instance, and between two rounds of exchanges, in a small fleet. */
const HEARTBEAT_MILLISECONDS = 300;

/**
 * Returns the time between two records of an instance. An instance receives the records of all peers of
 * its data centre, so the interval grows with the fleet, though more slowly, to bound their number.
 *
 * @param peerCount - Number of peers, see `PeerTable.memberCount`.
 * @returns Milliseconds.
 */
export function getHeartbeatInterval(peerCount: number): number {
  return HEARTBEAT_MILLISECONDS * Math.sqrt(Math.max(1, peerCount / PEERS_PER_INTERVAL));
}
