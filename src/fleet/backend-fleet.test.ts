import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSilentLogger } from '../telemetry/log.js';
import { BackendFleet } from './backend-fleet.js';
import type { ServerEntry } from './server-entry.js';

function createEntry(id: string, port: number): ServerEntry {
  return {
    id,
    service: 'service',
    address: { host: '127.0.0.1', port },
    dataCentre: 'one',
    slots: 1,
    isLeaving: false,
    kind: undefined,
    layers: undefined,
  };
}

test('extra servers: a server has ended when its address is given to another, not when its entry is gone', () => {
  const fleet = new BackendFleet({ log: createSilentLogger() });
  fleet.replaceAll([createEntry('a', 1), createEntry('b', 2)], 1);
  fleet.remove('b', 2);
  assert.ok(!fleet.hasEnded('b'));
  fleet.put(createEntry('c', 1), 3);
  assert.ok(fleet.hasEnded('a'));
  assert.ok(!fleet.hasEnded('c'));
});
