import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSilentLogger } from '../telemetry/log.js';
import { BackendFleet, getHeldLayers } from './backend-fleet.js';
import { recordRefusal } from './server-availability.js';
import { getProcessKey, type ServerEntry } from './server-entry.js';

function createEntry(id: string, port: number, incarnation?: string): ServerEntry {
  return {
    id,
    incarnation,
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

// Ejections, layers, slowdown and refusals of the old process were taken for those of the new one.
test('server that starts again under its id: what was observed of its old process is void', () => {
  const restarted: string[] = [];
  const fleet = new BackendFleet({
    log: createSilentLogger(),
    onRestarted: (id) => restarted.push(id),
  });
  const [before, after] = [createEntry('a', 1, '7'), createEntry('a', 1, '8')];
  fleet.put(before, 1);
  const server = fleet.find('a');
  assert.ok(server);
  server.ownSlowdownFactor = 9;
  server.ownLayerReport = { layers: { from: 0, to: 4 }, reportedAt: performance.now() };
  recordRefusal(server, performance.now());
  fleet.put({ ...before, isLeaving: true }, 2);
  assert.deepEqual(restarted, []);
  fleet.put(after, 3);
  assert.deepEqual(restarted, ['a']);
  assert.ok(fleet.hasEnded(getProcessKey(before)));
  assert.ok(!fleet.hasEnded(getProcessKey(after)));
  assert.deepEqual(
    [server.ownSlowdownFactor, server.fullUntil, getHeldLayers(server)],
    [1, 0, undefined],
  );
});

test('leaving: an entry that is missing when the store is back is waited for, counted from its return', () => {
  const clock = { now: 100_000 };
  const fleet = new BackendFleet({ log: createSilentLogger(), now: () => clock.now });
  const entry = createEntry('server', 1);
  const countServers = (): number => fleet.listForService('service').length;
  fleet.put(entry, 1);
  fleet.storeBackAt = clock.now;
  clock.now += 1500;
  fleet.remove('server', 2);
  assert.equal(countServers(), 1);
  fleet.put(entry, 3);
  clock.now += 300;
  fleet.remove('server', 4);
  assert.equal(countServers(), 1);
  clock.now += 100;
  assert.equal(countServers(), 0);
});
