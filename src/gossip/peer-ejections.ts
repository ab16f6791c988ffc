/** Reads the ejections of servers from a peer's record. */
import { getOwnValue } from '../common/own-value.js';
import type { PeerEjection } from '../fleet/outlier-ejection.js';
import type { PeerRecord } from './peer-record.js';

/**
 * Lists the servers that a peer has ejected.
 *
 * @param record - The peer's record.
 * @param now - This instance's monotonic clock, in milliseconds.
 * @returns The ejections, with times on this instance's clock. An older build doesn't say why it ejected
 *   a server; its word always holds.
 */
export function listPeerEjections(
  { suspects, ejections = {}, clock }: PeerRecord,
  now = performance.now(),
): PeerEjection[] {
  return suspects.map((id) => {
    const [ejectedAt, cause] = getOwnValue(ejections, id) ?? [];
    if (ejectedAt === undefined || cause === undefined || clock === undefined)
      return { id, cause: 'faulty', at: now };
    return { id, cause, at: now - Math.max(0, clock - ejectedAt) };
  });
}
