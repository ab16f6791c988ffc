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
  const observations: ServerObservations = {
    loads: {},
    paces: {},
    holdings: {},
    leaving: fleet.leavingProcessKeys,
  };
  const oldest = performance.now() - LAYER_REPORT_SHARED_MILLISECONDS;
  fleet.servers.forEach(({ entry: { id }, ownLoad, ownSlowdownFactor, ownLayerReport }) => {
    if (ownLayerReport && ownLayerReport.reportedAt > oldest) {
      observations.holdings[id] = [ownLayerReport.layers.from, ownLayerReport.layers.to];
    }
    if (ownLoad.requests > 0)
      observations.loads[id] = [ownLoad.requests, Math.round(ownLoad.reservedTokenLayers)];
    if (ownSlowdownFactor > 1) {
      observations.paces[id] =
        Math.round(ownSlowdownFactor * SLOWDOWN_STEPS_PER_UNIT) / SLOWDOWN_STEPS_PER_UNIT;
    }
  });
  return observations;
}

function addLoads(total: ServerLoads, loads: ServerLoads): void {
  Object.entries(loads).forEach(([id, [requests, tokenLayers]]) => {
    const [otherRequests, otherTokenLayers] = total[id] ?? [0, 0];
    total[id] = [otherRequests + requests, otherTokenLayers + tokenLayers];
  });
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
  const total: ServerLoads = {};
  records
    .filter((record) => record.dataCentre === dataCentre)
    .forEach(({ loads }) => addLoads(total, loads));
  return total;
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
  const totalLoads: ServerLoads = {};
  remoteLoads.forEach((loads) => addLoads(totalLoads, loads));
  peers.forEach(({ loads, paces, holdings }) => {
    addLoads(totalLoads, loads);
    Object.entries(holdings).forEach(([id, [from, to]]) => {
      const server = fleet.find(id);
      if (server) server.peerLayerReport = { layers: { from, to }, reportedAt: now };
    });
    Object.entries(paces).forEach(([id, pace]) => {
      const server = fleet.find(id);
      if (server) server.peerSlowdownFactor = Math.max(server.peerSlowdownFactor, pace);
    });
  });
  Object.entries(totalLoads).forEach(([id, [requests, reservedTokenLayers]]) => {
    const server = fleet.find(id);
    if (!server) return;
    server.peerLoad.requests = requests;
    server.peerLoad.reservedTokenLayers = reservedTokenLayers;
  });
}
