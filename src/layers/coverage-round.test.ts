import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ENGINE_PROFILE } from '../../tools/engine-profile.js';
import { decideCoverageRound, type RoundConditions } from './coverage-round.js';
import { planCoverage } from './coverage-plan.js';
import type { PlannedEngine } from './planned-engine.js';

const PROFILE = { ...ENGINE_PROFILE, concurrentLoads: 2 };

function engine(id: string, from?: number, to?: number): PlannedEngine {
  return {
    id,
    dataCentre: id.charAt(0),
    kind: 'large',
    slots: 10,
    layers: from === undefined || to === undefined ? undefined : { from, to },
    isInUse: false,
    hasOrderInProgress: false,
    peakRequests: 0,
  };
}

function decide(engines: readonly PlannedEngine[], overrides: Partial<RoundConditions> = {}) {
  const round = decideCoverageRound(engines, {
    profile: PROFILE,
    isIdle: false,
    canSpanDataCentres: false,
    ordersInProgress: 0,
    ...overrides,
  });
  const ids = (changes: typeof round.orders): string[] => changes.map(({ id }) => id);
  return {
    ...round,
    ids: { orders: ids(round.orders), heldBack: ids(round.heldBack), waiting: ids(round.waiting) },
  };
}

const WHOLE = [0, 20, 40, 60].flatMap((from) => [
  engine(`a-${from}`, from, from + 20),
  engine(`a-twin-${from}`, from, from + 20),
]);
const EMPTY = [1, 2, 3].map((index) => engine(`a-empty-${index}`));

// Six orders within 20 ms shared the loading rate, and the first was completed after 8 s.
test('coverage round: a service never has more orders in progress than it can load at once', () => {
  const without = WHOLE.filter(({ layers }) => layers?.from !== 20);
  const first = decide([...without, ...EMPTY]);
  assert.equal(first.ids.orders.length, 2);
  assert.equal(first.ids.waiting.length, 1);
  assert.equal(decide([...without, ...EMPTY], { ordersInProgress: 1 }).ids.orders.length, 1);
  assert.equal(decide([...without, ...EMPTY], { ordersInProgress: 2 }).ids.orders.length, 0);
  assert.equal(decide([...without, ...EMPTY], { ordersInProgress: 9 }).ids.orders.length, 0);
});

// An engine that was filled up took the load that closing the gap needed.
test('coverage round: orders that close a gap go first, those that close one of all data centres before others', () => {
  const lackingOne = WHOLE.filter(({ layers }) => layers?.from !== 60);
  const engines = [...EMPTY, ...lackingOne];
  const { orders } = decide(engines, { profile: { ...PROFILE, concurrentLoads: 1 } });
  assert.deepEqual(
    orders.map(({ layers }) => layers),
    [{ from: 60, to: 80 }],
  );
  const other = WHOLE.map((each) => ({ ...each, id: `b${each.id}`, dataCentre: 'b' }));
  const lackedByOne = other.filter(({ layers }) => layers?.from !== 0 && layers?.from !== 60);
  const both = [engine('b-empty-1'), engine('b-empty-2'), ...lackedByOne, ...engines];
  const round = decide(both);
  assert.ok(round.orders.every(({ layers }) => layers.from === 60));
});

test('coverage round: an engine with an order in progress gets none', () => {
  const loading = EMPTY.map((each) => ({
    ...each,
    layers: { from: 20, to: 40 },
    hasOrderInProgress: true,
  }));
  const without = WHOLE.filter(({ layers }) => layers?.from !== 20);
  assert.deepEqual(decide([...without, ...loading], { ordersInProgress: 3 }).ids.orders, []);
  const idle = decide([...without, ...loading], { isIdle: true });
  assert.ok(idle.ids.orders.every((id) => !id.includes('empty')));
});

// What is loading counted as held, and the only engine with the layers gave them up.
test('coverage round: a move waits until a loading engine reports the layers', () => {
  const tight = [engine('a-1', 0, 20), engine('a-2', 20, 40), engine('a-3', 40, 60)];
  const loading = { ...engine('a-4', 40, 60), hasOrderInProgress: true };
  const waiting = decide([...tight, loading], { ordersInProgress: 1 });
  assert.deepEqual(waiting.ids.orders, []);
  const loaded = decide([...tight, engine('a-4', 40, 60)]);
  assert.deepEqual(
    loaded.orders.map(({ layers }) => layers),
    [{ from: 60, to: 80 }],
  );
});

test('coverage round: an idle service and an empty one are planned from scratch, without a limit', () => {
  const empty = Array.from({ length: 8 }, (_, index) => engine(`a-${index}`));
  const planned = planCoverage(empty, PROFILE, true);
  [true, false].forEach((isIdle) => {
    const { orders, isInitial } = decide(empty, { isIdle });
    assert.ok(isInitial);
    assert.deepEqual(new Map(orders.map(({ id, layers }) => [id, layers])), planned);
  });
});
