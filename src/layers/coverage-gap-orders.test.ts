import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ENGINE_PROFILE as PROFILE } from '../../tools/engine-profile.js';
import type { LayerRange } from '../fleet/server-entry.js';
import { closeGaps } from './coverage-gap-orders.js';
import { maximumLayerCount } from './engine-estimates.js';
import type { PlannedEngine } from './planned-engine.js';

const CONDITIONS = {
  profile: PROFILE,
  layerLimit: ({ kind }: PlannedEngine) => maximumLayerCount(PROFILE, kind),
};

function engine(
  id: string,
  layers?: readonly [number, number],
  overrides: Partial<PlannedEngine> = {},
): PlannedEngine {
  return {
    id,
    dataCentre: 'here',
    kind: 'large',
    slots: 30,
    layers: layers && { from: layers[0], to: layers[1] },
    isInUse: false,
    hasOrderInProgress: false,
    peakRequests: 0,
    ...overrides,
  };
}

function close(engines: readonly PlannedEngine[], ...gaps: readonly LayerRange[]) {
  const { closing, partial, isClosed } = closeGaps(engines, gaps, CONDITIONS);
  return { closing: Object.fromEntries(closing), partial: Object.fromEntries(partial), isClosed };
}

const GAP = { from: 20, to: 26 };
const FULL = [engine('low', [1, 20]), engine('high', [26, 45])];

// A gap was closed by moving several engines, each of which dropped layers for it.
test('gap orders: a neighbour with free memory is extended, although an engine is without layers', () => {
  const engines = [engine('low', [8, 20]), engine('empty'), engine('spare', [50, 60])];
  const others = [engine('twin', [50, 60])];
  assert.deepEqual(close([...engines, ...others], GAP), {
    closing: { low: { from: 8, to: 26 } },
    partial: {},
    isClosed: true,
  });
});

test('gap orders: the neighbour above the gap is extended downwards', () => {
  const engines = [engine('low', [0, 20]), engine('high', [26, 36])];
  assert.deepEqual(close(engines, GAP).closing, { high: { from: 20, to: 36 } });
});

test('gap orders: without a neighbour that has room, an engine without layers loads the gap only', () => {
  const engines = [...FULL, engine('empty'), engine('spare', [50, 60]), engine('twin', [50, 60])];
  assert.deepEqual(close(engines, GAP).closing, { empty: GAP });
});

test('gap orders: the last choice is an engine whose layers are all held by others', () => {
  const engines = [...FULL, engine('sole', [60, 70]), engine('spare', [50, 56])];
  const twin = engine('twin', [48, 60], { kind: 'middle' });
  assert.deepEqual(close([...engines, twin], GAP).closing, { spare: GAP });
  assert.deepEqual(close(engines, GAP), { closing: {}, partial: GAP_LEFT_PARTLY, isClosed: false });
});

/** One layer fits into each neighbour. */
const GAP_LEFT_PARTLY = { low: { from: 1, to: 21 }, high: { from: 25, to: 45 } };

// An engine that was loading counted as a holder, and the one that held the layers gave them up.
test('gap orders: an engine that is loading is given no order, and does not hold the layers yet', () => {
  const loading = engine('twin', [50, 56], { hasOrderInProgress: true });
  const engines = [...FULL, engine('spare', [50, 56]), loading];
  assert.equal(close(engines, GAP).isClosed, false);
  const kept = { ...loading, keptLayers: { from: 50, to: 56 } };
  assert.deepEqual(close([...FULL, engine('spare', [50, 56]), kept], GAP).closing, { spare: GAP });
});

test('gap orders: several orders close a gap that is too large for one', () => {
  const engines = [engine('low', [6, 20]), engine('high', [46, 60]), engine('empty')];
  const { closing, isClosed } = close(engines, { from: 20, to: 46 });
  assert.ok(isClosed);
  assert.deepEqual(closing, {
    low: { from: 6, to: 25 },
    high: { from: 41, to: 60 },
    empty: { from: 25, to: 41 },
  });
});

test('gap orders: two gaps are not closed by two engines that each rely on the other', () => {
  const engines = [...FULL, engine('spare', [50, 70]), engine('twin', [50, 70])];
  const { closing } = close(engines, GAP, { from: 72, to: 78 });
  assert.equal(Object.keys(closing).length, 1);
});

// Engines next to a gap took all of its layers, and their KV cache served too few requests.
test('gap orders: memory for the KV cache of the peak is not free', () => {
  const busy = { slots: 134, peakRequests: 110 };
  const engines = [engine('low', [8, 20], busy), engine('empty', undefined, busy)];
  assert.deepEqual(close(engines, GAP).closing, { empty: GAP });
  assert.deepEqual(close(engines.slice(0, 1), GAP).closing, { low: { from: 8, to: 26 } });
});
