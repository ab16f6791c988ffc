import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSilentLogger } from '../telemetry/log.js';
import { BackendFleet } from './backend-fleet.js';
import { getProcessKey, type ServerEntry } from './server-entry.js';

function createEntry(id: string, port: number, fields: Partial<ServerEntry> = {}): ServerEntry {
  return {
    id,
    service: 'service',
    address: { host: '127.0.0.1', port },
    dataCentre: 'one',
    slots: 1,
    isLeaving: false,
    kind: undefined,
    layers: undefined,
    ...fields,
  };
}

function createFleet(now: () => number = () => 0): BackendFleet {
  return new BackendFleet({ log: createSilentLogger(), now });
}

function listUsable(fleet: BackendFleet): string[] {
  return fleet.listForService('service').map(({ entry }) => entry.id);
}

const READY = createEntry('a', 1, { incarnation: '7', revision: 10 });
const LEAVING = { ...READY, isLeaving: true, revision: 50 };

// The second list of the copy took the leaving back, while the server's own entry was not written again yet.
test('older store: a leaving server still is after any number of lists of the copy', () => {
  const fleet = createFleet();
  fleet.replaceAll([READY], 10);
  fleet.put(LEAVING, 50);
  fleet.replaceAllInEra([READY], 40, 2);
  assert.deepEqual(listUsable(fleet), []);
  fleet.replaceAll([READY], 41);
  assert.deepEqual(listUsable(fleet), []);
  fleet.replaceAllInEra([READY], 30, 3);
  assert.deepEqual(listUsable(fleet), []);
});

// The copy of a server's entry that had been removed made the server usable again.
test('older store: a server that left and was removed is not used when a copy brings it back', () => {
  const fleet = createFleet();
  fleet.replaceAll([READY], 10);
  fleet.put(LEAVING, 50);
  fleet.remove('a', 60);
  fleet.replaceAllInEra([READY], 40, 2);
  assert.deepEqual(listUsable(fleet), []);
});

test('older store: a leaving server is used again once its entry says so in the new era', () => {
  for (const isChange of [true, false]) {
    const fleet = createFleet();
    fleet.replaceAll([READY], 10);
    fleet.put(LEAVING, 50);
    fleet.replaceAllInEra([READY], 40, 2);
    const written = { ...READY, revision: 42 };
    if (isChange) fleet.put(written, 42);
    else fleet.replaceAll([written], 42);
    assert.deepEqual(listUsable(fleet), ['a']);
  }
});

test('older store: another process of a leaving server is used', () => {
  const fleet = createFleet();
  fleet.replaceAll([READY], 10);
  fleet.put(LEAVING, 50);
  fleet.replaceAllInEra([{ ...READY, incarnation: '8' }], 40, 2);
  assert.deepEqual(listUsable(fleet), ['a']);
});

// A live server was taken for ended, and what it ran was run again elsewhere.
test('older store: the entry of an ended process in the copy does not end the live one at its address', () => {
  const [ended, live] = [createEntry('old', 1), createEntry('new', 1)];
  const fleet = createFleet();
  fleet.replaceAll([ended], 10);
  fleet.remove('old', 20);
  fleet.put(live, 30);
  fleet.replaceAllInEra([ended], 60, 2);
  assert.ok(!fleet.hasEnded(getProcessKey(live)));
  fleet.put(createEntry('newest', 1), 70);
  assert.ok(fleet.hasEnded(getProcessKey(live)), 'a write of the new era shows it');
});

// Names of starts that are no numbers have only the order in which the store reports them.
test('older store: an earlier start in the copy does not end the later one', () => {
  const [before, after] = ['x1', 'x2'].map((incarnation) => createEntry('a', 1, { incarnation }));
  assert.ok(before && after);
  const fleet = createFleet();
  fleet.replaceAll([before], 10);
  fleet.put(after, 20);
  fleet.replaceAllInEra([before], 15, 2);
  assert.ok(!fleet.hasEnded(getProcessKey(after)));
});

// A revision of the era before hid for good that an address had been given to another server.
test('older store: an address that is given away at a lower revision than before shows an end', () => {
  const known = createEntry('known', 1);
  const fleet = createFleet();
  fleet.replaceAll([known], 500);
  fleet.replaceAllInEra([known], 100, 2);
  fleet.put(createEntry('next', 1), 110);
  assert.ok(fleet.hasEnded(getProcessKey(known)));
});
