/** Chooses the backend server for a call to a plain service: the one with the lowest expected time by its load. */
import type { EntryContext } from '../entry/entry-context.js';
import { isIdempotent, type EntryRequest } from '../entry/entry-request.js';
import type { FleetServer } from '../fleet/fleet-server.js';
import { getAvailability } from '../fleet/server-availability.js';

/**
 * Lists the servers that may get a call now.
 *
 * @param context - What the instance shares between requests.
 * @param request - The call.
 * @param triedServerIds - Servers that are not tried again for it.
 * @returns Without servers that leave, unless there are no others.
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
  const reachable = notEjected.length > 0 || !isIdempotent(request.route) ? notEjected : servers;
  const staying = reachable.filter(({ isLeavingByPeer }) => !isLeavingByPeer);
  return staying.length > 0 ? staying : reachable;
}

/**
 * Chooses the server with the lowest expected time, weighted by load and data centre.
 *
 * @param context - What the instance shares between requests.
 * @param servers - The servers that may get the call.
 * @returns The server; undefined if there is none.
 */
export function chooseServer(
  { callTimes, dataCentre }: EntryContext,
  servers: readonly FleetServer[],
): FleetServer | undefined {
  let best: FleetServer | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  servers.forEach((server) => {
    const { id, slots } = server.entry;
    const knownRequests = server.ownLoad.requests + server.peerLoad.requests;
    const activeRequests = Math.max(knownRequests, callTimes.reportedLoad(id));
    const isInSameDataCentre = server.entry.dataCentre === dataCentre;
    const slotUse = (activeRequests + 1) / Math.max(1, slots);
    const cost =
      callTimes.expectedMilliseconds(id) *
      (1 + slotUse * slotUse * 2) *
      (isInSameDataCentre ? 1 : 1.02);
    if (cost >= bestCost) return;
    bestCost = cost;
    best = server;
  });
  return best;
}
