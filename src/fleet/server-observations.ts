/** What peers tell of the servers: their load, how slow they are, what they hold. */
import type { PeerRecord } from '../gossip/peer-record.js';
import type { BackendFleet } from './backend-fleet.js';

/** A server's part of an instance's record. */
export type ServerObservations = Pick<PeerRecord, 'loads' | 'paces' | 'holdings'>;

/** What an engine said is told to peers for this long; its entry shows it by then. */
const HOLDING_TOLD_MILLISECONDS = 3000;
const PACE_RESOLUTION = 10;

/**
 * Gathers what this instance knows of the servers, for its record.
 *
 * @param fleet - The servers.
 * @returns Loads, paces and holdings by server; servers with nothing to tell aren't listed.
 */
export function collectServerObservations(fleet: BackendFleet): ServerObservations {
  const views: ServerObservations = { loads: {}, paces: {}, holdings: {} };
  const oldest = performance.now() - HOLDING_TOLD_MILLISECONDS;
  fleet.servers.forEach(
    ({
      entry: { id },
      ownLoad: own,
      ownSlowdownFactor: ownSlowFactor,
      ownLayerReport: ownHolding,
    }) => {
      if (ownHolding && ownHolding.reportedAt > oldest) {
        views.holdings[id] = [ownHolding.layers.from, ownHolding.layers.to];
      }
      if (own.requests > 0) views.loads[id] = [own.requests, Math.round(own.reservedTokenLayers)];
      if (ownSlowFactor > 1) {
        views.paces[id] = Math.round(ownSlowFactor * PACE_RESOLUTION) / PACE_RESOLUTION;
      }
    },
  );
  return views;
}

/**
 * Sums what all peers know of the servers.
 *
 * @param fleet - The servers; their view of others is changed in place.
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
    Object.entries(loads).forEach(([id, [requests, tokenLayers]]) => {
      const server = fleet.find(id);
      if (!server) return;
      server.peerLoad.requests += requests;
      server.peerLoad.reservedTokenLayers += tokenLayers;
    });
    Object.entries(paces).forEach(([id, pace]) => {
      const server = fleet.find(id);
      if (server) server.peerSlowdownFactor = Math.max(server.peerSlowdownFactor, pace);
    });
  });
}
