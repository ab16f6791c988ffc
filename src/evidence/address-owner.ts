/**
 * Decides what it means that another server answers at the address of the one that was asked. Handles addresses
 * that are given to another server while instances still know the one before it.
 */
import { isSameAddress } from '../common/address.js';
import type { BackendFleet } from '../fleet/backend-fleet.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import type { ServerStatements } from '../fleet/server-statements.js';

/** What an answer says of who gave it. */
type NamedAnswer = Pick<ServerStatements, 'serverId'>;

/**
 * Whether an answer names another server than the one that was asked; one without a name counts as its answer.
 *
 * @param entry - The entry of the server that was asked.
 * @param answer - What the answer says.
 */
export function isAnothersAnswer({ id }: ServerEntry, { serverId }: NamedAnswer): boolean {
  return serverId !== undefined && serverId !== id;
}

/**
 * Notes that the server that was asked has ended, where another one's answer proves it: an address is given to
 * another server only after that. The other server must also be registered at the address; a name alone may come
 * from spoiled bytes.
 *
 * @param fleet - The servers.
 * @param entry - The entry of the server that was asked, known before the question.
 * @param answer - What the answer says.
 */
export function recordAnothersAnswer(
  fleet: Pick<BackendFleet, 'find' | 'recordEnd'>,
  entry: ServerEntry,
  { serverId }: NamedAnswer,
): void {
  const other = serverId === undefined ? undefined : fleet.find(serverId)?.entry;
  if (!other || other.id === entry.id || !isSameAddress(other.address, entry.address)) return;
  fleet.recordEnd(entry, `${other.id} answers at its address`);
}
