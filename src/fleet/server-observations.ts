/**
 * Exchange of observations of the backend servers through gossip records: their load, their
 * slowdown and the layers that they report.
 */
import type { PeerRecord } from '../gossip/peer-record.js';
import type { BackendFleet } from './backend-fleet.js';

/** The fields of an instance's record that describe backend servers. */
export type ServerObservations = Pick<PeerRecord, 'loads' | 'paces' | 'holdings'>;

/**
 * A layer report is shared with peers for this long; by then the registry entry shows the layers.
 */
const LAYER_REPORT_SHARED_MILLISECONDS = 3000;
/** Slowdown factors are rounded to tenths in records. */
const SLOWDOWN_STEPS_PER_UNIT = 10;

/**
 * Collects this instance's own observations of the servers for its record.
 *
 * @param fleet - The registered servers.
 * @returns Load, slowdown factor and layers by server id. Values without information, such as a
 *   load of 0 or a normal speed, are left out.
 */
export function collectServerObservations(fleet: BackendFleet): ServerObservations {
  const observations: ServerObservations = { loads: {}, paces: {}, holdings: {} };
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

/**
 * Replaces what the servers hold of the peers' observations: the sum of the loads, the highest
 * slowdown factor and the reported layers.
 *
 * @param fleet - The registered servers, changed in place.
 * @param peers - Records of the peers that are alive.
 */
export function applyPeerObservations(fleet: BackendFleet, peers: readonly PeerRecord[]): void {
  const { servers } = fleet;
  servers.forEach((server) => {
    server.peerLoad.requests = 0;
    server.peerLoad.reservedTokenLayers = 0;
    server.peerSlowdownFactor = 1;
  });
  const now = performance.now();
  peers.forEach(({ loads, paces, holdings }) => {
    Object.entries(holdings).forEach(([id, [from, to]]) => {
      const server = fleet.find(id);
      if (server) server.peerLayerReport = { layers: { from, to }, reportedAt: now };
    });
    Object.entries(loads).forEach(([id, [requests, reservedTokenLayers]]) => {
      const server = fleet.find(id);
      if (!server) return;
      server.peerLoad.requests += requests;
      server.peerLoad.reservedTokenLayers += reservedTokenLayers;
    });
    Object.entries(paces).forEach(([id, pace]) => {
      const server = fleet.find(id);
      if (server) server.peerSlowdownFactor = Math.max(server.peerSlowdownFactor, pace);
    });
  });
}
