import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPeerRecord } from '../../tools/peer-record.js';
import { listPeerEjections } from '../gossip/peer-ejections.js';
import { PeerTable } from '../gossip/peer-table.js';
import { createSilentLogger } from '../telemetry/log.js';
import { BackendFleet } from './backend-fleet.js';
import {
  applyPeerObservations,
  collectServerObservations,
  sumDataCentreLoads,
} from './server-observations.js';

/** Each object inherits something under these names. */
const INHERITED = ['constructor', '__proto__', 'toString', 'valueOf', 'hasOwnProperty'];

function createFleet(ids: readonly string[]): BackendFleet {
  const fleet = new BackendFleet({ log: createSilentLogger() });
  const entries = ids.map((id, index) => ({
    id,
    service: 'service',
    address: { host: '127.0.0.1', port: index + 1 },
    dataCentre: 'z',
    slots: 1,
    isLeaving: false,
    kind: undefined,
    layers: undefined,
  }));
  fleet.replaceAll(entries, 1);
  return fleet;
}

// What an object inherits under such a name was taken for a load; the process ended.
test('odd entries: what is observed of servers is summed whatever their names', () => {
  const fleet = createFleet(INHERITED);
  fleet.servers.forEach(({ ownLoad }) => Object.assign(ownLoad, { requests: 2 }));
  const { loads } = collectServerObservations(fleet);
  const records = ['one', 'two'].map((instance) => createPeerRecord(instance, { loads }));
  const sum = sumDataCentreLoads(records, 'z');
  assert.deepEqual(
    Object.entries(sum),
    INHERITED.map((id) => [id, [4, 0]]),
  );
  applyPeerObservations(fleet, records, [sum]);
  assert.deepEqual(
    fleet.servers.map(({ peerLoad }) => peerLoad.requests),
    INHERITED.map(() => 8),
  );
});

test('odd entries: ejections and retries are read whatever the names', () => {
  const record = createPeerRecord('one', { suspects: INHERITED, ejections: {}, clock: 5 });
  assert.deepEqual(
    listPeerEjections(record, 9),
    INHERITED.map((id) => ({ id, cause: 'faulty', at: 9 })),
  );
  const table = new PeerTable({ instance: 'own', dataCentre: 'z', log: createSilentLogger() });
  table.accept(record);
  INHERITED.forEach((service) => assert.deepEqual(table.sumRetries(service), [0, 0]));
});
