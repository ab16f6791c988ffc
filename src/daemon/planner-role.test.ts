import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PeerRecord } from '../gossip/peer-record.js';
import { PeerTable } from '../gossip/peer-table.js';
import { createSilentLogger } from '../telemetry/log.js';
import { isHolderGone, isPlanner } from './planner-role.js';

function record(instance: string, more: Partial<PeerRecord> = {}): PeerRecord {
  return {
    instance,
    dataCentre: 'here',
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
    ...more,
  };
}

function plannersOf(records: readonly PeerRecord[]): string[] {
  return records
    .filter((self) =>
      isPlanner(
        self,
        records.filter((other) => other !== self),
      ),
    )
    .map(({ instance }) => instance);
}

test('planner: the first by name, until one holds a lease', () => {
  assert.deepEqual(plannersOf([record('a'), record('b'), record('c')]), ['a']);
  assert.deepEqual(plannersOf([record('a'), record('b', { plannerTerm: 2 }), record('c')]), ['b']);
});

test('planner: an instance that the store turns away leaves it to others', () => {
  const cut = record('a', { plannerTerm: 3, isStoreReachable: false });
  assert.deepEqual(plannersOf([cut, record('b'), record('c')]), ['b']);
});

test('planner: while the store is away for all, the last holder goes on', () => {
  const away = { isStoreReachable: false };
  const holder = record('b', { ...away, plannerTerm: 3 });
  assert.deepEqual(plannersOf([record('a', away), holder, record('c', away)]), ['b']);
});

test('planner: one that stops or isn’t ready doesn’t plan', () => {
  const stopping = record('a', { isStopping: true });
  assert.deepEqual(
    plannersOf([stopping, record('b', { isReady: false }), record('c')]).at(-1),
    'c',
  );
});

test('planner: a lease is taken over from an earlier life, and not from a holder that lives', () => {
  assert.ok(!isHolderGone('a/1', 'b', record('a')));
  assert.ok(isHolderGone('a/0', 'b', record('a')));
  assert.ok(isHolderGone('a/1', 'b', undefined));
  assert.ok(isHolderGone('b/0', 'b', undefined));
});

// Servers that a killed instance had suspected were kept from work for good.
test('peers: a dead instance is told of, so that its word no longer counts', () => {
  const clock = { now: 0 };
  const lost: string[] = [];
  const table = new PeerTable({
    instance: 'self',
    log: createSilentLogger(),
    onPeerLost: (instance) => lost.push(instance),
    now: () => clock.now,
  });
  table.accept(record('a'));
  clock.now = 2000;
  table.expireSilentPeers();
  assert.deepEqual(lost, ['a']);
  assert.deepEqual(table.aliveRecords, []);
});

test('peers: an older record changes nothing', () => {
  const table = new PeerTable({ instance: 'self', log: createSilentLogger() });
  assert.ok(table.accept(record('a', { counter: 5 })));
  assert.ok(!table.accept(record('a', { counter: 4 })));
  assert.ok(table.accept(record('a', { incarnation: 2, counter: 1 })));
});
