import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createSilentLogger } from '../telemetry/log.js';
import { BackendFleet } from './backend-fleet.js';
import { getHeldLayers } from './fleet-server.js';
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

const OLD = createEntry('old', 1);
const NEW = createEntry('new', 1);
const OTHERS = [createEntry('a', 2), createEntry('z', 3)];

/** Draws a list in any order, and in which pieces it arrives with one revision. */
const ONE_LIST = fc.tuple(
  fc.shuffledSubarray([OLD, NEW, ...OTHERS], { minLength: 4 }),
  fc.boolean(),
);

function receive(
  fleet: BackendFleet,
  [entries, isOneByOne]: readonly [readonly ServerEntry[], boolean],
  revision: number,
): void {
  if (isOneByOne) entries.forEach((entry) => fleet.put(entry, revision));
  else fleet.replaceAll(entries, revision);
}

// An engine was back at its address under a new id before its old entry had lapsed; an instance that started
// then, and read the old entry after the new one, took the live engine for ended for good.
test('newer process: two entries of one address that become known together show no end of either', () => {
  fc.assert(
    fc.property(ONE_LIST, ONE_LIST, (first, second) => {
      const fleet = new BackendFleet({ log: createSilentLogger() });
      receive(fleet, first, 1);
      receive(fleet, second, 2);
      [OLD, NEW, ...OTHERS].forEach((entry) => assert.ok(!fleet.hasEnded(getProcessKey(entry))));
    }),
    { seed: 41, numRuns: 200 },
  );
});

test('newer process: a process has ended when its address turns up under another id in a later list, in any order', () => {
  fc.assert(
    fc.property(ONE_LIST, (later) => {
      const fleet = new BackendFleet({ log: createSilentLogger() });
      fleet.replaceAll([OLD, ...OTHERS], 1);
      receive(fleet, later, 2);
      assert.ok(fleet.hasEnded(getProcessKey(OLD)));
      [NEW, ...OTHERS].forEach((entry) => assert.ok(!fleet.hasEnded(getProcessKey(entry))));
    }),
    { seed: 43, numRuns: 100 },
  );
});

// An older copy of the store, or another writer, may bring an earlier start again, or nonsense in its place.
test('newer process: of two starts under one id the later one is live, or both where that is unknown', () => {
  const starts = fc.option(fc.integer({ min: 0, max: 50 }).map(String), { nil: undefined });
  fc.assert(
    fc.property(starts, starts, (before, after) => {
      const fleet = new BackendFleet({ log: createSilentLogger() });
      fleet.put(createEntry('a', 1, before), 1);
      fleet.put(createEntry('a', 1, after), 2);
      const isLater = before !== undefined && after !== undefined && Number(after) > Number(before);
      assert.equal(fleet.hasEnded(getProcessKey(createEntry('a', 1, before))), isLater);
      assert.ok(!fleet.hasEnded(getProcessKey(createEntry('a', 1, after))));
    }),
    { seed: 47, numRuns: 200 },
  );
});

test('newer process: an address is that of a live process, in any order', () => {
  const fleet = new BackendFleet({ log: createSilentLogger() });
  fleet.put(OLD, 1);
  fleet.put(NEW, 2);
  assert.equal(fleet.findByAddress('127.0.0.1:1')?.entry.id, 'new');
});
