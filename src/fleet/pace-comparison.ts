/**
 * Compares a server that has just started or recovered with the others of its service: whether others can run its
 * requests meanwhile, and whether it carries as many as they do.
 */
import type { EngineProfile } from '../entry/serving-configuration.js';
import { hasSpareMemory } from '../layers/spare-memory.js';
import { getHeldLayers, type FleetServer } from './fleet-server.js';

/** The registered servers, and which of them can't be compared with. */
export interface ComparedFleet {
  readonly servers: readonly FleetServer[];
  /** Whether a server is new, ejected or leaves, so that it is no alternative. */
  readonly isExcluded: (server: FleetServer) => boolean;
}

/** Requests of all instances that a server carries. */
export function getCarriedRequests({ ownLoad, peerLoad }: FleetServer): number {
  return ownLoad.requests + peerLoad.requests;
}

function listOthers({ entry }: FleetServer, { servers, isExcluded }: ComparedFleet): FleetServer[] {
  return servers.filter(
    (other) =>
      other.entry.service === entry.service &&
      other.entry.id !== entry.id &&
      !other.entry.isLeaving &&
      !isExcluded(other),
  );
}

/**
 * Whether requests can go elsewhere while a window limits a server: to another replica, or to other engines of a data
 * centre whose memory holds the model several times.
 *
 * @param server - The server.
 * @param fleet - All registered servers.
 * @param profile - The service's profile; undefined for plain services and without a configuration.
 */
export function hasAlternatives(
  server: FleetServer,
  fleet: ComparedFleet,
  profile: EngineProfile | undefined,
): boolean {
  const { service, kind, dataCentre } = server.entry;
  const others = listOthers(server, fleet);
  if (kind === undefined) return others.length > 0;
  if (!profile) return false;
  const engines = fleet.servers
    .filter(({ entry }) => entry.service === service)
    .map(({ entry }) => ({ dataCentre: entry.dataCentre, kind: entry.kind }));
  const isHeldNearby = others.some(
    (other) => other.entry.dataCentre === dataCentre && getHeldLayers(other) !== undefined,
  );
  return isHeldNearby && hasSpareMemory(engines, dataCentre, profile);
}

/**
 * Returns the median of the requests that comparable servers carry: those of the same service, kind and data centre, or
 * of all data centres where there is no other in its own.
 *
 * @param server - The server.
 * @param fleet - All registered servers.
 * @returns The median, the upper one of two; undefined if no server is comparable.
 */
export function findMedianLoad(server: FleetServer, fleet: ComparedFleet): number | undefined {
  const { kind, dataCentre } = server.entry;
  const alike = listOthers(server, fleet).filter(
    (other) => other.entry.kind === kind && (kind === undefined || getHeldLayers(other)),
  );
  const nearby = alike.filter(({ entry }) => entry.dataCentre === dataCentre);
  const loads = (nearby.length > 0 ? nearby : alike)
    .map(getCarriedRequests)
    .sort((one, other) => one - other);
  return loads[Math.floor(loads.length / 2)];
}
