/**
 * Chooses the peer that serves a request which this instance can't. Handles a data centre whose instances
 * have all lost their links to the backend servers: their requests must not all go to the same few peers.
 */
import type { PeerRecord } from '../gossip/peer-record.js';

/** Options of {@link choosePeer}. */
export interface PeerChoiceOptions {
  readonly peers: readonly PeerRecord[];
  /** Peers that declined this request or couldn't be reached. */
  readonly excluded: ReadonlySet<string>;
  /** The oldest configuration by which the request may be served. */
  readonly configurationVersion: number;
  /** How many requests this instance has open at a peer. */
  readonly countOpen: (instance: string) => number;
  readonly random?: () => number;
}

function canServe(
  { isReady, isStopping, isCutFromServers, acceptsRequests, configurationVersion }: PeerRecord,
  neededVersion: number,
): boolean {
  if (!isReady || isStopping || isCutFromServers || !acceptsRequests) return false;
  return configurationVersion >= neededVersion;
}

/**
 * Takes two peers at random, and of these the one with fewer requests open.
 *
 * @param options - The peers.
 * @returns The peer, or undefined if none can serve the request.
 */
export function choosePeer({
  peers,
  excluded,
  configurationVersion,
  countOpen,
  random = Math.random,
}: PeerChoiceOptions): PeerRecord | undefined {
  const candidates = peers.filter(
    (peer) => canServe(peer, configurationVersion) && !excluded.has(peer.instance),
  );
  const pick = (): PeerRecord | undefined => candidates[Math.floor(random() * candidates.length)];
  const [first, second] = [pick(), pick()];
  if (!first || !second) return undefined;
  return countOpen(first.instance) <= countOpen(second.instance) ? first : second;
}
