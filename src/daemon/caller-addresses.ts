/** Lists the instances that callers may connect to. */
import type { Address } from '../common/address.js';
import type { PeerRecord } from '../gossip/peer-record.js';

/** Callers use no more addresses than this of one answer. */
const MAXIMUM_ADDRESSES = 64;

/**
 * Lists the caller addresses of the ready instances. In a fleet with more of them than callers use, each
 * answer has others, so that none is left without callers.
 *
 * @param own - This instance's address, if it is ready.
 * @param peers - Records of its live peers.
 * @param random - Returns a random number from 0 up to, but not including, 1.
 * @returns At most 64 addresses.
 */
export function listCallerAddresses(
  own: Address | undefined,
  peers: readonly PeerRecord[],
  random: () => number = Math.random,
): Address[] {
  const addresses = peers
    .filter(({ isReady, isStopping }) => isReady && !isStopping)
    .map(({ callers }) => callers);
  if (own) addresses.push(own);
  const start = Math.floor(random() * addresses.length);
  return addresses.length <= MAXIMUM_ADDRESSES
    ? addresses
    : [...addresses.slice(start), ...addresses.slice(0, start)].slice(0, MAXIMUM_ADDRESSES);
}
