/**
 * Tells which of two processes is the newer one, and nothing where that isn't shown: a process that may be live
 * counts as live. Handles lists that hold the entries of both an ended process and the one in its place, as an
 * instance finds that starts before the old entry has lapsed; such lists have no order.
 */
import { isSameAddress } from '../common/address.js';
import type { FleetServer } from './fleet-server.js';
import type { ServerEntry } from './server-entry.js';

/**
 * Whether a process has started under the id of another one after it. Numbers of starts grow; other texts have the
 * order in which the store reports them.
 *
 * @param before - The entry of the process that is known.
 * @param after - The entry that was found in its place.
 * @param isInOrder - Whether the store reports them in their order, as an older copy of it doesn't.
 * @returns False also where either doesn't say which start it is.
 */
export function isLaterStart(
  { incarnation: before }: ServerEntry,
  { incarnation: after }: ServerEntry,
  isInOrder = true,
): boolean {
  if (before === undefined || after === undefined || before === after) return false;
  const [earlier, later] = [Number(before), Number(after)];
  if (Number.isNaN(earlier) || Number.isNaN(later)) return isInOrder;
  return later > earlier;
}

/**
 * Whether a server listened at an address before another one was registered there, so that it has ended: an
 * address is given to another server only then. What tells their starts apart is of use under one id only.
 *
 * @param server - The server that may have ended.
 * @param entry - The entry that has become known.
 * @param revision - Revision of the list or change with which that was.
 */
export function isReplacedBy(server: FleetServer, entry: ServerEntry, revision: number): boolean {
  const { entry: known, knownSinceRevision } = server;
  const isAtSameAddress = known.id !== entry.id && isSameAddress(known.address, entry.address);
  return isAtSameAddress && knownSinceRevision < revision;
}
