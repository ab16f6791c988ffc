/** Creates records of instances for tests. */
import type { PeerRecord } from '../src/gossip/peer-record.js';

/**
 * Creates the record of a ready instance without load.
 *
 * @param instance - Name of the instance.
 * @param overrides - Fields that differ.
 * @returns The record.
 */
export function createPeerRecord(
  instance: string,
  overrides: Partial<PeerRecord> = {},
): PeerRecord {
  return {
    instance,
    dataCentre: 'z',
    incarnation: 1,
    counter: 1,
    callers: { host: '127.0.0.1', port: 1 },
    peers: { host: '127.0.0.1', port: 2 },
    isReady: true,
    isStopping: false,
    configurationVersion: 1,
    fleetRevision: 1,
    isStoreReachable: true,
    suspects: [],
    loads: {},
    paces: {},
    holdings: {},
    plannerTerm: 0,
    retries: {},
    crashes: {},
    ...overrides,
  };
}
