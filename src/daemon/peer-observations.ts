/** Passes on what records of peers say to the components that act on it. */
import {
  applyPeerObservations,
  RemoteLoads,
  sumDataCentreLoads,
} from '../fleet/server-observations.js';
import { listPeerEjections } from '../gossip/peer-ejections.js';
import type { PeerRecord, ServerLoads } from '../gossip/peer-record.js';
import type { PeerTable } from '../gossip/peer-table.js';
import type { ServerComponents } from './server-components.js';
import type { StoreFollower } from './store-follower.js';

/** Options of {@link PeerObservations}. */
export interface PeerObservationsOptions {
  readonly dataCentre: string;
  readonly servers: ServerComponents;
  readonly peers: PeerTable;
  readonly storeFollower: StoreFollower;
}

/** The shortest time between two updates of the servers from the peers' records. */
const OBSERVATION_INTERVAL_MILLISECONDS = 100;

/** What an instance takes over from the records of its peers. */
export class PeerObservations {
  readonly #options: PeerObservationsOptions;

  readonly #remoteLoads = new RemoteLoads();

  #appliedAt = Number.NEGATIVE_INFINITY;

  /** Loads by all instances of this data centre, as of the last {@link sumLoads}. */
  dataCentreLoads: ServerLoads = {};

  constructor(options: PeerObservationsOptions) {
    this.#options = options;
  }

  /** Acts on a new record of a peer. */
  accept(record: PeerRecord): void {
    const { servers, storeFollower } = this.#options;
    const { outlierEjection, evidenceChanges, serverLimits, accountShares, serverPace } = servers;
    outlierEjection.replacePeerEjections(record.instance, listPeerEjections(record));
    // What a newer build has sent is taken over by the exchange itself.
    if (!record.evidencePosition) evidenceChanges.merge(record);
    serverLimits.merge(record.limits ?? {});
    serverPace.merge(record.instance, record.windows ?? {});
    this.#remoteLoads.accept(record);
    accountShares.merge(record.instance, record.accountLoads);
    storeFollower.catchUpWithPeer(record);
  }

  /**
   * Takes over what the peers observed of the servers, unless that was done a moment ago: the work
   * grows with the number of peers, and so does the number of records that arrive.
   */
  apply(): void {
    const now = performance.now();
    if (now - this.#appliedAt < OBSERVATION_INTERVAL_MILLISECONDS) return;
    this.#appliedAt = now;
    const { servers, peers } = this.#options;
    applyPeerObservations(servers.fleet, peers.aliveRecords, this.#remoteLoads.current);
    servers.serverPace.observe();
  }

  /**
   * Sums the loads of this data centre anew. What the peers observed is taken over as well: when no record arrives
   * any more, the loads of peers that have gone silent would otherwise stay at their last values for good.
   */
  sumLoads(ownRecord: PeerRecord): void {
    this.apply();
    const { dataCentre, peers } = this.#options;
    this.dataCentreLoads = sumDataCentreLoads([ownRecord, ...peers.aliveRecords], dataCentre);
  }
}
