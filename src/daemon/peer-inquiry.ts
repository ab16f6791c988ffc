/** Asks a peer whether a backend server accepts connections from there, and answers such questions. */
import { z } from 'zod';
import type { Address } from '../common/address.js';
import type { BackendFleet } from '../fleet/backend-fleet.js';
import { probeServer, type PeerFinding } from '../fleet/end-check.js';
import type { PeerRecord } from '../gossip/peer-record.js';

/** Options of {@link createPeerInquiry}. */
export interface PeerInquiryOptions {
  readonly listPeers: () => readonly PeerRecord[];
  readonly fetch: (peer: Address, path: string, timeoutMilliseconds: number) => Promise<unknown>;
}

/** The path of the document that answers the question. */
export const CONNECTION_PATH = '/v1/connection';

/** A peer's own connection may take 300 ms to fail. */
const INQUIRY_TIMEOUT_MILLISECONDS = 450;

const Connection = z.object({ result: z.enum(['held', 'closed', 'refused', 'unknown']) });

/**
 * Creates the function that asks.
 *
 * @param options - The peers, and how to read a document from one.
 * @returns Asks one peer, of those that reach servers, to connect to a server.
 */
export function createPeerInquiry({
  listPeers,
  fetch,
}: PeerInquiryOptions): (serverId: string) => Promise<PeerFinding> {
  return async (serverId) => {
    const peers = listPeers().filter(
      ({ isReady, isCutFromServers }) => isReady && !isCutFromServers,
    );
    const peer = peers[Math.floor(Math.random() * peers.length)];
    if (!peer) return undefined;
    const path = `${CONNECTION_PATH}?server=${encodeURIComponent(serverId)}`;
    const answer = Connection.safeParse(
      await fetch(peer.peers, path, INQUIRY_TIMEOUT_MILLISECONDS),
    );
    return answer.data?.result;
  };
}

/**
 * Answers a peer's question.
 *
 * @param fleet - The registered servers; no others are connected to.
 * @param query - Names the server.
 * @returns What became of a connection, or undefined if no such server is registered here.
 */
export async function describeConnection(
  fleet: BackendFleet,
  query: URLSearchParams,
): Promise<z.infer<typeof Connection> | undefined> {
  const entry = fleet.find(query.get('server') ?? '')?.entry;
  return entry && { result: await probeServer(entry) };
}
