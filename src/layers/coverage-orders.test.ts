import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  applyOrder,
  OrdersInProgress,
  UNCONFIRMED_ORDER_MILLISECONDS,
  type CoverageOrder,
} from './coverage-orders.js';

const HELD = { from: 0, to: 10 };
const ORDERED = { from: 6, to: 16 };
const KEPT = { from: 6, to: 10 };
const ORDER: CoverageOrder = {
  service: 'model',
  processKey: 'e1/1',
  layers: ORDERED,
  durationMilliseconds: 9000,
};

function createOrders() {
  const clock = { now: 100 };
  const orders = new OrdersInProgress(() => clock.now);
  orders.start(ORDER);
  const seen = () => {
    const order = orders.find(ORDER.processKey, HELD);
    return order && applyOrder(order, HELD);
  };
  return { clock, orders, seen };
}

// An engine that receives an order stops serving the layers that it gives up at once.
test('orders in progress: the engine serves what it keeps, and is planned with what it loads', () => {
  const { clock, seen } = createOrders();
  assert.deepEqual(seen(), { planned: ORDERED, kept: KEPT });
  clock.now += ORDER.durationMilliseconds - 1;
  assert.deepEqual(seen(), { planned: ORDERED, kept: KEPT });
  clock.now += 1;
  assert.equal(seen(), undefined);
});

test('orders in progress: an order ends once the engine holds the layers', () => {
  const { orders } = createOrders();
  assert.equal(orders.applyReport(ORDER.processKey, { layers: ORDERED, isBusy: true }), false);
  assert.equal(orders.applyReport(ORDER.processKey, { layers: ORDERED, isBusy: false }), true);
  assert.deepEqual(orders.list(), []);
  orders.start(ORDER);
  assert.equal(orders.find(ORDER.processKey, ORDERED), undefined);
});

// The process that takes the place of one that crashed holds nothing and has received no order.
test('orders in progress: an engine that dies during a load ends its order with its process', () => {
  const { orders } = createOrders();
  assert.equal(orders.find('e1/2', undefined), undefined);
});

// An order without an answer counted as if the engine still held everything that it might be dropping.
test('orders in progress: an order without an answer drops layers and adds none until the engine reports', () => {
  const { clock, orders, seen } = createOrders();
  orders.markUnconfirmed(ORDER.processKey);
  assert.deepEqual(seen(), { planned: KEPT, kept: KEPT });
  clock.now += UNCONFIRMED_ORDER_MILLISECONDS - 1;
  orders.markUnconfirmed(ORDER.processKey);
  orders.applyReport(ORDER.processKey, { layers: HELD, isBusy: false });
  assert.deepEqual(seen(), { planned: KEPT, kept: KEPT });
  clock.now += 1;
  assert.equal(seen(), undefined);
});

test('orders in progress: an order without an answer that the engine turns out to carry out counts as accepted', () => {
  const { clock, orders, seen } = createOrders();
  orders.markUnconfirmed(ORDER.processKey);
  orders.applyReport(ORDER.processKey, { layers: KEPT, isBusy: true });
  clock.now += UNCONFIRMED_ORDER_MILLISECONDS + 1;
  assert.deepEqual(seen(), { planned: ORDERED, kept: KEPT });
});

// A load that failed kept its gap open until the time of the order had passed.
test('orders in progress: an engine that is idle without the layers is no longer taken to be loading', () => {
  const { orders, seen } = createOrders();
  orders.applyReport(ORDER.processKey, { layers: KEPT, isBusy: false });
  assert.deepEqual(seen(), { planned: KEPT, kept: KEPT });
});

test('orders in progress: an inherited order lasts for its remaining time, and does not replace an own one', () => {
  const { clock, orders } = createOrders();
  assert.equal(orders.restore(ORDER, 5000), false);
  const other = { ...ORDER, processKey: 'e2/1' };
  assert.equal(orders.restore(other, 0), false);
  assert.equal(orders.restore(other, 5000), true);
  clock.now += 5000;
  assert.equal(orders.find('e2/1', HELD), undefined);
  assert.equal(orders.list().length, 1);
});
