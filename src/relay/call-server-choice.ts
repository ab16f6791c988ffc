/** Finds which backend servers may get a call to a plain service, and chooses one of them. */
import type { EntryContext } from '../entry/entry-context.js';
import { isIdempotent, type EntryRequest } from '../entry/entry-request.js';
import type { FleetServer } from '../fleet/fleet-server.js';
import { getAvailability } from '../fleet/server-availability.js';
import { chooseReplica } from './server-choice.js';

/**
 * Lists the servers that may get a call now.
 *
 * @param context - What the instance shares between requests.
 * @param request - The call.
 * @param triedServerIds - Servers that are not tried again for it.
 * @returns The servers, also those that leave, as peers say.
 */
export function listUsableServers(
  context: EntryContext,
  request: EntryRequest,
  triedServerIds: ReadonlySet<string>,
): readonly FleetServer[] {
  const { fleet, outlierEjection, serverLimits } = context;
  const servers = fleet
    .listForService(request.service.name)
    .filter(({ entry }) => !triedServerIds.has(entry.id))
    .filter(({ entry }) => serverLimits.hasRoom(entry.id))
    .filter((server) => getAvailability(server, performance.now()) !== 'closed');
  const notEjected = servers.filter(({ entry }) => !outlierEjection.isEjected(entry.id));
  // When all are ejected, a request that may be repeated is still tried on one of them.
  return notEjected.length > 0 || !isIdempotent(request.route) ? notEjected : servers;
}

/**
 * Chooses one of the servers that may get a call.
 *
 * @param context - What the instance shares between requests.
 * @param servers - The servers that may get the call.
 * @returns The server; undefined if there is none.
 */
export function chooseServer(
  { callTimes, dataCentre, serverPace }: EntryContext,
  servers: readonly FleetServer[],
): FleetServer | undefined {
  return chooseReplica({ replicas: servers, dataCentre, callTimes, serverPace });
}
