/**
 * Exchange of observations of the backend servers through gossip records: their load, their
 * slowdown and the layers that they report.
 */
import type { PeerRecord, ServerLoads } from '../gossip/peer-record.js';
import type { BackendFleet } from './backend-fleet.js';
import { getProcessKey } from './server-entry.js';

/** The fields of an instance's record that describe backend servers. */
export type ServerObservations = Pick<PeerRecord, 'loads' | 'paces' | 'holdings' | 'leaving'>;

/**
 * A layer report is shared with peers for this long; by then the registry entry shows the layers.
 */
const LAYER_REPORT_SHARED_MILLISECONDS = 3000;
/** Slowdown factors are rounded to tenths in records. */
const SLOWDOWN_STEPS_PER_UNIT = 10;
/** Load sums of another data centre older than this are no longer used. */
const REMOTE_LOADS_MAX_AGE_MILLISECONDS = 3000;

/**
 * Collects this instance's own observations of the servers for its record.
 *
 * @param fleet - The registered servers.
 * @returns Load, slowdown factor and layers by server id. Values without information, such as a
 *   load of 0 or a normal speed, are left out.
 */
export function collectServerObservations(fleet: BackendFleet): ServerObservations {
  // Not objects, since a server may be named like what each object inherits.
  const loads = new Map<string, [number, number]>();
  const paces = new Map<string, number>();
  const holdings = new Map<string, [number, number]>();
  const oldest = performance.now() - LAYER_REPORT_SHARED_MILLISECONDS;
  fleet.servers.forEach(({ entry: { id }, ownLoad, ownSlowdownFactor, ownLayerReport }) => {
    if (ownLayerReport && ownLayerReport.reportedAt > oldest) {
      holdings.set(id, [ownLayerReport.layers.from, ownLayerReport.layers.to]);
    }
    if (ownLoad.requests > 0)
      loads.set(id, [ownLoad.requests, Math.round(ownLoad.reservedTokenLayers)]);
    if (ownSlowdownFactor > 1) {
      const steps = Math.round(ownSlowdownFactor * SLOWDOWN_STEPS_PER_UNIT);
      paces.set(id, steps / SLOWDOWN_STEPS_PER_UNIT);
    }
  });
  return {
    loads: Object.fromEntries(loads),
    paces: Object.fromEntries(paces),
    holdings: Object.fromEntries(holdings),
    leaving: fleet.leavingProcessKeys,
  };
}

/** Sums loads by server id. */
function sumLoads(all: readonly ServerLoads[]): ReadonlyMap<string, [number, number]> {
  const total = new Map<string, [number, number]>();
  all
    .flatMap((loads) => Object.entries(loads))
    .forEach(([id, [requests, tokenLayers]]) => {
      const [otherRequests, otherTokenLayers] = total.get(id) ?? [0, 0];
      total.set(id, [otherRequests + requests, otherTokenLayers + tokenLayers]);
    });
  return total;
}

/**
 * Sums the loads by all instances of a data centre.
 *
 * @param records - Records of the instances, with their loads.
 * @param dataCentre - Name of the data centre.
 * @returns The loads by server id.
 */
export function sumDataCentreLoads(
  records: readonly PeerRecord[],
  dataCentre: string,
): ServerLoads {
  const local = records.filter((record) => record.dataCentre === dataCentre);
  return Object.fromEntries(sumLoads(local.map(({ loads }) => loads)));
}

/** Newest load sums that arrived from other data centres, by data centre. */
export class RemoteLoads {
  readonly #loads = new Map<string, { readonly loads: ServerLoads; readonly receivedAt: number }>();

  readonly #now: () => number;

  constructor(now: () => number = () => performance.now()) {
    this.#now = now;
  }

  /** Stores the sum that a record from another data centre carries, if it has one. */
  accept({ dataCentre, dataCentreLoads }: PeerRecord): void {
    if (!dataCentreLoads) return;
    this.#loads.set(dataCentre, { loads: dataCentreLoads, receivedAt: this.#now() });
  }

  /** The sums that are not too old to say anything. */
  get current(): readonly ServerLoads[] {
    const oldest = this.#now() - REMOTE_LOADS_MAX_AGE_MILLISECONDS;
    return [...this.#loads.values()]
      .filter(({ receivedAt }) => receivedAt > oldest)
      .map(({ loads }) => loads);
  }
}

/**
 * Replaces what the servers hold of the peers' observations: the sum of the loads, the highest
 * slowdown factor, the reported layers and
 * whether a server leaves.
 *
 * @param fleet - The registered servers, changed in place.
 * @param peers - Records of the peers that are alive.
 * @param remoteLoads - Load sums of other data centres, whose single records have no loads.
 */
export function applyPeerObservations(
  fleet: BackendFleet,
  peers: readonly PeerRecord[],
  remoteLoads: readonly ServerLoads[],
): void {
  const { servers } = fleet;
  servers.forEach((server) => {
    server.peerLoad.requests = 0;
    server.peerLoad.reservedTokenLayers = 0;
    server.peerSlowdownFactor = 1;
    server.isLeavingByPeer = false;
  });
  const leaving = new Set(peers.flatMap((peer) => peer.leaving ?? []));
  servers
    .filter(({ entry }) => leaving.has(getProcessKey(entry)))
    .forEach((server) => {
      server.isLeavingByPeer = true;
    });
  const now = performance.now();
  peers.forEach(({ paces, holdings }) => {
    Object.entries(holdings).forEach(([id, [from, to]]) => {
      const server = fleet.find(id);
      if (server) server.peerLayerReport = { layers: { from, to }, reportedAt: now };
    });
    Object.entries(paces).forEach(([id, pace]) => {
      const server = fleet.find(id);
      if (server) server.peerSlowdownFactor = Math.max(server.peerSlowdownFactor, pace);
    });
  });
  const loads = [...remoteLoads, ...peers.map((peer) => peer.loads)];
  sumLoads(loads).forEach(([requests, reservedTokenLayers], id) => {
    const server = fleet.find(id);
    if (!server) return;
    server.peerLoad.requests = requests;
    server.peerLoad.reservedTokenLayers = reservedTokenLayers;
  });
}
