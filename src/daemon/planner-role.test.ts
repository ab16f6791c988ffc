import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPeerRecord } from '../../tools/peer-record.js';
import type { PeerRecord } from '../gossip/peer-record.js';
import { PeerTable } from '../gossip/peer-table.js';
import { createSilentLogger } from '../telemetry/log.js';
import { isHolderGone, isPlanner } from './planner-role.js';

function findPlanners(records: readonly PeerRecord[]): string[] {
  return records
    .filter((self) =>
      isPlanner(
        self,
        records.filter((other) => other !== self),
      ),
    )
    .map(({ instance }) => instance);
}

test('planner: the first instance by name plans until one holds a lease', () => {
  assert.deepEqual(
    findPlanners([createPeerRecord('a'), createPeerRecord('b'), createPeerRecord('c')]),
    ['a'],
  );
  assert.deepEqual(
    findPlanners([
      createPeerRecord('a'),
      createPeerRecord('b', { plannerTerm: 2 }),
      createPeerRecord('c'),
    ]),
    ['b'],
  );
});

test('planner: an instance that cannot reach the store hands over to one that can', () => {
  const disconnected = createPeerRecord('a', { plannerTerm: 3, isStoreReachable: false });
  assert.deepEqual(findPlanners([disconnected, createPeerRecord('b'), createPeerRecord('c')]), [
    'b',
  ]);
});

// It ordered engines that it couldn't reach, and held the lease.
test('planner: an instance that is cut from the servers hands over, unless all are', () => {
  const cut = createPeerRecord('a', { plannerTerm: 3, isCutFromServers: true });
  const others = [createPeerRecord('b'), createPeerRecord('c', { isCutFromServers: true })];
  assert.deepEqual(findPlanners([cut, ...others]), ['b']);
  assert.ok(isHolderGone(`a/${cut.incarnation}`, 'b', cut));
  const allCut = [cut, createPeerRecord('b', { isCutFromServers: true })];
  assert.deepEqual(findPlanners(allCut), ['a']);
});

test('planner: while no instance reaches the store, the last lease holder goes on planning', () => {
  const storeOutage = { isStoreReachable: false };
  const holder = createPeerRecord('b', { ...storeOutage, plannerTerm: 3 });
  assert.deepEqual(
    findPlanners([createPeerRecord('a', storeOutage), holder, createPeerRecord('c', storeOutage)]),
    ['b'],
  );
});

test('planner: an instance that is stopping or not ready does not plan', () => {
  const stopping = createPeerRecord('a', { isStopping: true });
  assert.deepEqual(
    findPlanners([stopping, createPeerRecord('b', { isReady: false }), createPeerRecord('c')]).at(
      -1,
    ),
    'c',
  );
});

test('planner: a lease is taken over from an earlier incarnation, but not from a live holder', () => {
  assert.ok(!isHolderGone('a/1', 'b', createPeerRecord('a')));
  assert.ok(isHolderGone('a/0', 'b', createPeerRecord('a')));
  assert.ok(isHolderGone('a/1', 'b', undefined));
  assert.ok(isHolderGone('b/0', 'b', undefined));
});

// Regression: ejections made by an instance that was then killed were never withdrawn, so the ejected
// servers received no work for good.
test('peers: the loss of an instance is reported, so that its ejections are dropped', () => {
  const clock = { now: 0 };
  const lost: string[] = [];
  const table = new PeerTable({
    dataCentre: 'z',
    instance: 'self',
    log: createSilentLogger(),
    onPeerLost: (instance) => lost.push(instance),
    now: () => clock.now,
  });
  table.accept(createPeerRecord('a'));
  clock.now = 2000;
  table.expireSilentPeers();
  assert.deepEqual(lost, ['a']);
  assert.deepEqual(table.aliveRecords, []);
});

test('peers: an older record is ignored', () => {
  const table = new PeerTable({ dataCentre: 'z', instance: 'self', log: createSilentLogger() });
  assert.ok(table.accept(createPeerRecord('a', { counter: 5 })));
  assert.ok(!table.accept(createPeerRecord('a', { counter: 4 })));
  assert.ok(table.accept(createPeerRecord('a', { incarnation: 2, counter: 1 })));
});

// Regression: an instance that stood still for seconds took all of its peers for dead.
test('peers: time in which this process itself stood still is not silence of its peers', () => {
  const clock = { now: 0 };
  const log = createSilentLogger();
  const table = new PeerTable({ dataCentre: 'z', instance: 'self', log, now: () => clock.now });
  table.accept(createPeerRecord('a'));
  table.expireSilentPeers();
  clock.now = 5000;
  table.expireSilentPeers();
  assert.equal(table.aliveCount, 1);
  for (let step = 0; step < 6; step += 1) {
    clock.now += 300;
    table.expireSilentPeers();
  }
  assert.equal(table.aliveCount, 0);
});
