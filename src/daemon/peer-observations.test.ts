import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPeerRecord } from '../../tools/peer-record.js';
import { sleep } from '../common/clock.js';
import { BackendFleet } from '../fleet/backend-fleet.js';
import type { PeerRecord } from '../gossip/peer-record.js';
import type { PeerTable } from '../gossip/peer-table.js';
import { PeerObservations } from './peer-observations.js';
import type { ServerComponents } from './server-components.js';
import type { StoreFollower } from './store-follower.js';

const ENTRY = {
  id: 'a',
  service: 'model',
  address: { host: '127.0.0.1', port: 1 },
  dataCentre: 'z',
  slots: 6,
  isLeaving: false,
  kind: undefined,
  layers: undefined,
};

// Observations were taken over only as a record arrived. An instance that lost all peers kept their last loads for
// good, and admission took the servers for full.
test('peer observations: the loads of peers that are dead are dropped when no record arrives', async () => {
  const fleet = new BackendFleet({ log: { info: () => undefined } as never });
  fleet.replaceAll([ENTRY], 1);
  let aliveRecords: PeerRecord[] = [createPeerRecord('peer', { loads: { a: [6, 100] } })];
  const observations = new PeerObservations({
    dataCentre: 'z',
    servers: { fleet, serverPace: { observe: () => undefined } } as unknown as ServerComponents,
    peers: {
      get aliveRecords() {
        return aliveRecords;
      },
    } as PeerTable,
    storeFollower: {} as StoreFollower,
  });
  observations.apply();
  assert.equal(fleet.find('a')?.peerLoad.requests, 6);
  aliveRecords = [];
  await sleep(120, new AbortController().signal);
  observations.sumLoads(createPeerRecord('own'));
  assert.equal(fleet.find('a')?.peerLoad.requests, 0);
});
