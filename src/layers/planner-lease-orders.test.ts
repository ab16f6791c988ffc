import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createJsonStore, createMemoryObjectStore } from '../../tools/memory-object-store.js';
import { createSilentLogger } from '../telemetry/log.js';
import { LEASE_NAME, PlannerLease } from './planner-lease.js';
import { decodeLeaseOrders, encodeLeaseOrders, type LeaseOrder } from './planner-lease-orders.js';

const NOW = 1_000_000;
const ORDER: LeaseOrder = {
  service: 'model',
  processKey: 'engine-1/5',
  layers: { from: 3, to: 9 },
  durationMilliseconds: 4000,
  expiresAt: NOW + 3000,
};
const { expiresAt, ...PLAIN_ORDER } = ORDER;
const INHERITED = { order: PLAIN_ORDER, remainingMilliseconds: expiresAt - NOW };
const always = (): boolean => true;

function createDrill() {
  const memory = createMemoryObjectStore();
  const store = createJsonStore(memory.store);
  const createLease = (holder: string, wallNow = () => NOW): PlannerLease =>
    new PlannerLease({ store, holder, wallNow, log: createSilentLogger() });
  const read = () => memory.get(LEASE_NAME) as Record<string, unknown>;
  return { createLease, read, put: (value: unknown) => memory.put(LEASE_NAME, value), memory };
}

// Two instances took the lease over within 4 s, and each planned again what engines were loading already.
test('planner lease: when the planner dies, the next one reads its orders in progress', async () => {
  const { createLease, memory } = createDrill();
  const first = createLease('entry-1/1');
  assert.equal(await first.acquireOrRenew(always, [ORDER]), 'held');
  assert.deepEqual(first.takeInheritedOrders(), []);
  const callsBefore = memory.store.callCount();
  const second = createLease('entry-2/1', () => NOW + 1000);
  // What it planned without knowing of the orders must not replace them.
  const own = { ...ORDER, processKey: 'engine-2/5' };
  assert.equal(await second.acquireOrRenew(always, [own]), 'held');
  assert.deepEqual(second.takeInheritedOrders(), [{ ...INHERITED, remainingMilliseconds: 2000 }]);
  assert.deepEqual(second.takeInheritedOrders(), []);
  const third = createLease('entry-3/1', () => NOW + 1500);
  assert.equal(await third.acquireOrRenew(always), 'held');
  assert.deepEqual(third.takeInheritedOrders(), [{ ...INHERITED, remainingMilliseconds: 1500 }]);
  // One write for each takeover, as without orders.
  assert.equal(memory.store.callCount() - callsBefore, 2);
});

test('planner lease: a renewal replaces the orders, and an empty list removes them', async () => {
  const { createLease, read } = createDrill();
  const lease = createLease('entry-1/1');
  await lease.acquireOrRenew(always, [ORDER]);
  await lease.acquireOrRenew(always, []);
  assert.deepEqual(read().orders, { term: 1, list: [] });
  const next = createLease('entry-2/1');
  await next.acquireOrRenew(always);
  assert.deepEqual(next.takeInheritedOrders(), []);
});

// An older build keeps the field as it was and writes its own term beside it; its orders are not in the field.
test('planner lease: orders that an older build has carried along under its own term do not count', async () => {
  const { createLease, read, put } = createDrill();
  await createLease('entry-1/1').acquireOrRenew(always, [ORDER]);
  put({ ...read(), holder: 'entry-2/1', token: 'older', term: 2 });
  const next = createLease('entry-3/1');
  assert.equal(await next.acquireOrRenew(always), 'held');
  assert.deepEqual(next.takeInheritedOrders(), []);
  assert.deepEqual([read().term, read().orders], [3, { term: 3, list: [] }]);
});

// Engines would be kept out of plans for as long as the dead planner's clock was ahead.
test('planner lease: a clock that is ahead makes no order last longer than its whole time', () => {
  const field = encodeLeaseOrders(1, [{ ...ORDER, expiresAt: NOW + 900_000 }]);
  assert.deepEqual(decodeLeaseOrders(field, 1, NOW), [
    { ...INHERITED, remainingMilliseconds: ORDER.durationMilliseconds },
  ]);
});

test('planner lease: the orders of a whole fleet do not make it large', () => {
  const orders = Array.from({ length: 600 }, (_, index) => ({
    ...ORDER,
    processKey: `engine-${index}/1`,
  }));
  const field = encodeLeaseOrders(1, orders);
  assert.ok(JSON.stringify(field).length < 24_000);
  assert.ok(decodeLeaseOrders(field, 1, NOW).length >= 100);
});

test('planner lease: an unreadable order is left out by itself, and any other format has none', () => {
  const { list } = encodeLeaseOrders(1, [ORDER]);
  const field = { term: 1, list: [null, { service: 'model' }, ...list, 7, { ...list[0], to: 1 }] };
  assert.deepEqual(decodeLeaseOrders(field, 1, NOW), [INHERITED]);
  fc.assert(
    fc.property(fc.jsonValue(), fc.jsonValue(), (value, item) => {
      assert.deepEqual(decodeLeaseOrders(value, 1, NOW), []);
      assert.doesNotThrow(() => decodeLeaseOrders({ term: 1, list: [item] }, 1, NOW));
    }),
    { seed: 8, numRuns: 300 },
  );
});

test('planner lease: after a write without an answer, the orders of the planner before are not lost', async () => {
  const { createLease, memory } = createDrill();
  await createLease('entry-1/1').acquireOrRenew(always, [ORDER]);
  let isDown = true;
  const replace: typeof memory.store.replace = (kind, name, change) =>
    isDown
      ? Promise.resolve({ kind: 'unavailable', message: 'down' })
      : memory.store.replace(kind, name, change);
  const lease = new PlannerLease({
    store: { ...memory.store, replace },
    holder: 'entry-2/1',
    wallNow: () => NOW,
    log: createSilentLogger(),
  });
  assert.equal(await lease.acquireOrRenew(always), 'unconfirmed');
  assert.deepEqual(lease.takeInheritedOrders(), [INHERITED]);
  isDown = false;
  assert.equal(await lease.acquireOrRenew(always, [ORDER]), 'held');
  assert.deepEqual(memory.get(LEASE_NAME), {
    ...(memory.get(LEASE_NAME) as object),
    term: 2,
    orders: encodeLeaseOrders(2, [ORDER]),
  });
});

// The reader dropped such an order, so that the next planner ordered the same layers again.
test('planner lease: an order with a longer duration than a reader accepts is inherited with the longest one', () => {
  const order = { ...ORDER, durationMilliseconds: 700_000, expiresAt: NOW + 700_000 };
  const [inherited] = decodeLeaseOrders(encodeLeaseOrders(2, [order]), 2, NOW);
  assert.equal(inherited?.order.durationMilliseconds, 600_000);
  assert.equal(inherited.remainingMilliseconds, 600_000);
});
