import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ENGINE_PROFILE as PROFILE } from '../../tools/engine-profile.js';
import type { LayerRange } from '../fleet/server-entry.js';
import { findUncoveredRanges, planCoverage, type PlannedEngine } from './coverage-plan.js';
import { cacheCapacity, layerCapacity } from './engine-estimates.js';

const KINDS = [...Array(3).fill('large'), ...Array(3).fill('middle'), ...Array(5).fill('small')];

function engine(index: number, more: Partial<PlannedEngine> = {}): PlannedEngine {
  return {
    id: `e${String(index).padStart(2, '0')}`,
    dataCentre: 'here',
    kind: String(KINDS[index % KINDS.length]),
    slots: 134,
    layers: undefined,
    isInUse: false,
    isFixed: false,
    ...more,
  };
}

function apply(
  engines: readonly PlannedEngine[],
  plan: ReadonlyMap<string, LayerRange>,
): PlannedEngine[] {
  return engines.map((each) => ({ ...each, layers: plan.get(each.id) ?? each.layers }));
}

function rangesOf(engines: readonly PlannedEngine[]): LayerRange[] {
  return engines.flatMap(({ layers }) => (layers ? [layers] : []));
}

const FLEET = KINDS.map((_, index) => engine(index));
const PLACED = apply(FLEET, planCoverage(FLEET, PROFILE, true)).map((each) => ({
  ...each,
  isInUse: true,
}));

test('plan: an empty data centre is covered, with KV cache for a third of the slots', () => {
  assert.deepEqual(findUncoveredRanges(rangesOf(PLACED), 80), []);
  PLACED.forEach(({ kind, layers, slots }) => {
    assert.ok(layers);
    const tokens = cacheCapacity(PROFILE, kind, layers) / (layers.to - layers.from);
    assert.ok(tokens > (slots / 3) * (772 + 154));
  });
});

test('plan: what covers the model stays as it is', () => {
  assert.equal(planCoverage(PLACED, PROFILE, false).size, 0);
});

test('plan: engines that register while the fleet is idle are laid out with the others', () => {
  const some = FLEET.slice(0, 6);
  const placed = apply(some, planCoverage(some, PROFILE, true));
  const whole = [...placed, ...FLEET.slice(6)];
  const after = apply(whole, planCoverage(whole, PROFILE, true));
  const fresh = apply(FLEET, planCoverage(FLEET, PROFILE, true));
  assert.deepEqual(rangesOf(after), rangesOf(fresh));
});

test('plan: after any one loss the rest covers the model again', () => {
  PLACED.forEach((lost) => {
    const rest = PLACED.filter(({ id }) => id !== lost.id);
    const after = apply(rest, planCoverage(rest, PROFILE, false));
    assert.deepEqual(findUncoveredRanges(rangesOf(after), 80), [], `without ${lost.id}`);
  });
});

// A recorded day: small engines were given all layers that fit, and had hardly any KV cache left.
test('plan: a data centre of small engines leaves layers to another one', () => {
  const small = Array.from({ length: 11 }, (_, index) =>
    engine(index, { id: `s${index}`, kind: 'small', dataCentre: 'there' }),
  );
  apply(small, planCoverage([...PLACED, ...small], PROFILE, true)).forEach(({ layers, slots }) => {
    assert.ok(layers);
    const tokens = cacheCapacity(PROFILE, 'small', layers) / (layers.to - layers.from);
    assert.ok(tokens > (slots / 11) * (772 + 154), `${layers.from}-${layers.to}`);
  });
});

test('plan: small engines alone are filled rather than leave a layer to none', () => {
  const small = Array.from({ length: 11 }, (_, index) => engine(index, { kind: 'small' }));
  assert.deepEqual(
    findUncoveredRanges(rangesOf(apply(small, planCoverage(small, PROFILE, true))), 80),
    [],
  );
});

test('plan: an engine that is busy with an order is planned around', () => {
  const [first, second, third, ...others] = PLACED;
  assert.ok(first && second && third);
  const rest = [first, { ...third, isFixed: true }, ...others];
  const plan = planCoverage(rest, PROFILE, false);
  assert.ok(!plan.has(third.id));
});

test('plan: an engine that comes empty takes layers at once', () => {
  const fleet = [...PLACED, engine(11)];
  const plan = planCoverage(fleet, PROFILE, false);
  assert.deepEqual([...plan.keys()], ['e11']);
});

test('plan: whatever engines hold, no order is over an engine’s memory', () => {
  const held = fc.option(
    fc.record({ from: fc.integer({ min: 0, max: 72 }), length: fc.integer({ min: 1, max: 8 }) }),
  );
  const fleets = fc.array(fc.record({ held, isInUse: fc.boolean(), isFixed: fc.boolean() }), {
    minLength: 1,
    maxLength: 14,
  });
  fc.assert(
    fc.property(fleets, fc.boolean(), (drawn, isIdle) => {
      const fleet = drawn.map(({ held: range, ...more }, index) =>
        engine(index, {
          ...more,
          layers: range ? { from: range.from, to: range.from + range.length } : undefined,
        }),
      );
      planCoverage(fleet, PROFILE, isIdle).forEach((range, id) => {
        const kind = fleet.find((each) => each.id === id)?.kind;
        assert.ok(range.from >= 0 && range.to <= 80 && range.to > range.from);
        assert.ok(range.to - range.from <= layerCapacity(PROFILE, kind));
      });
    }),
    { seed: 11, numRuns: 300 },
  );
});
