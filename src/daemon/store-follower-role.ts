/**
 * Decides which instances follow the store. Each call is counted, a waiting watch as one, and the
 * store's rates grow more slowly than the fleet; so a few instances of each data centre follow the
 * store, and the others get its news from them. When one of these dies, stops or is cut off from the
 * store, the next one by name takes its place.
 */
import type { PeerRecord } from '../gossip/peer-record.js';

/** With two, the loss of one leaves no gap until the next one has taken over. */
const FOLLOWERS_PER_DATA_CENTRE = 2;

/**
 * Tells whether enough other instances of a data centre follow the store.
 *
 * @param instance - Name of the instance that asks.
 * @param dataCentre - Its data centre.
 * @param peers - Records of its live peers.
 * @returns Whether peers whose names sort before its own reach the store, in sufficient number.
 */
export function isFollowedByPeers(
  instance: string,
  dataCentre: string,
  peers: readonly PeerRecord[],
): boolean {
  let followers = 0;
  peers.forEach((peer) => {
    if (peer.dataCentre !== dataCentre || peer.instance >= instance) return;
    if (peer.isStoreReachable && peer.isReady && !peer.isStopping) followers += 1;
  });
  return followers >= FOLLOWERS_PER_DATA_CENTRE;
}
