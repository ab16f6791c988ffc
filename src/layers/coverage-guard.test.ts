import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { selectSafeChanges, wouldUncoverLayers, type LayerHolder } from './coverage-guard.js';
import { findUncoveredRanges, intersectRanges } from './layer-ranges.js';

const CONDITIONS = { layerCount: 8, canSpanDataCentres: true };

function hold(id: string, from: number, to: number): LayerHolder {
  return { id, dataCentre: id.charAt(0), layers: { from, to } };
}

test('coverage guard: a data centre that holds the model goes on holding it', () => {
  const holders = [hold('a1', 0, 4), hold('a2', 4, 8), hold('b1', 0, 8)];
  const moves = (to: number): boolean =>
    wouldUncoverLayers({ id: 'a1', layers: { from: 1, to } }, holders, CONDITIONS);
  assert.equal(moves(5), true);
  assert.equal(
    wouldUncoverLayers({ id: 'a1', layers: { from: 0, to: 5 } }, holders, CONDITIONS),
    false,
  );
});

// Where each data centre lacked some layer, each move was held back for a layer that another one holds.
test('coverage guard: in a data centre that lacks layers anyway, those of the others count', () => {
  const holders = [hold('a1', 0, 4), hold('b1', 0, 3), hold('b2', 5, 8)];
  const change = { id: 'b1', layers: { from: 3, to: 6 } };
  assert.equal(wouldUncoverLayers(change, holders, CONDITIONS), false);
  const apart = { ...CONDITIONS, canSpanDataCentres: false };
  assert.equal(wouldUncoverLayers(change, holders, apart), true);
  const last = { id: 'b2', layers: { from: 3, to: 6 } };
  assert.equal(wouldUncoverLayers(last, holders, CONDITIONS), true);
});

// Two orders of one round each relied on the other's engine to hold the layers, and both dropped them.
test('coverage guard: layers that an earlier order of the round drops no longer count as held', () => {
  const holders = [hold('a1', 0, 4), hold('a2', 0, 4), hold('a3', 4, 8)];
  const changes = [
    { id: 'a1', layers: { from: 3, to: 7 } },
    { id: 'a2', layers: { from: 2, to: 6 } },
  ];
  changes.forEach((change) => assert.equal(wouldUncoverLayers(change, holders, CONDITIONS), false));
  const selected = selectSafeChanges(changes, holders, { ...CONDITIONS, limit: 9 });
  assert.deepEqual(selected.allowed, changes.slice(0, 1));
  assert.deepEqual(selected.heldBack, changes.slice(1));
});

// The new holder was still loading when the old one dropped its layers.
test('coverage guard: layers that an earlier order of the round adds do not count as held yet', () => {
  const holders = [hold('a1', 0, 4), hold('a2', 4, 8)];
  const changes = [
    { id: 'a1', layers: { from: 0, to: 5 } },
    { id: 'a2', layers: { from: 5, to: 8 } },
  ];
  const { allowed, heldBack } = selectSafeChanges(changes, holders, { ...CONDITIONS, limit: 9 });
  assert.deepEqual([allowed, heldBack], [changes.slice(0, 1), changes.slice(1)]);
  const afterLoad = [hold('a1', 0, 5), hold('a2', 4, 8)];
  assert.equal(
    selectSafeChanges(changes.slice(1), afterLoad, { ...CONDITIONS, limit: 9 }).allowed.length,
    1,
  );
});

// More loads than the engines do at full rate at once made each of them take longer.
test('coverage guard: changes beyond the limit wait, and drop nothing for those that are allowed', () => {
  const holders = [hold('a1', 0, 8), hold('a2', 0, 8), hold('a3', 0, 8)];
  const changes = ['a1', 'a2', 'a3'].map((id) => ({ id, layers: { from: 0, to: 4 } }));
  const { allowed, beyondLimit } = selectSafeChanges(changes, holders, { ...CONDITIONS, limit: 1 });
  assert.deepEqual([allowed, beyondLimit], [changes.slice(0, 1), changes.slice(1)]);
});

test('coverage guard: for any orders in sequence, no layer that a data centre holds loses its last holder', () => {
  const range = fc
    .tuple(fc.integer({ min: 0, max: 7 }), fc.integer({ min: 1, max: 8 }))
    .map(([from, count]) => ({ from, to: Math.min(8, from + count) }));
  const engines = fc.array(fc.record({ held: range, planned: range }), { maxLength: 8 });
  fc.assert(
    fc.property(engines, (drawn) => {
      const holders = drawn.map(({ held }, index) => hold(`a${index}`, held.from, held.to));
      const changes = drawn.map(({ planned }, index) => ({ id: `a${index}`, layers: planned }));
      const conditions = { layerCount: 8, canSpanDataCentres: false, limit: 8 };
      const { allowed } = selectSafeChanges(changes, holders, conditions);
      const kept = holders.flatMap(({ id, layers }) => {
        const change = allowed.find((each) => each.id === id);
        return (change ? intersectRanges(layers, change.layers) : layers) ?? [];
      });
      const before = findUncoveredRanges(
        holders.flatMap(({ layers }) => layers ?? []),
        8,
      );
      assert.deepEqual(findUncoveredRanges(kept, 8), before);
    }),
    { seed: 5, numRuns: 500 },
  );
});
