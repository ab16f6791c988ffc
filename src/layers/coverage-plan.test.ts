import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ENGINE_PROFILE as PROFILE } from '../../tools/engine-profile.js';
import { createRandom } from '../../tools/random.js';
import type { LayerRange } from '../fleet/server-entry.js';
import { planCoverage } from './coverage-plan.js';
import { cacheCapacityTokenLayers, maximumLayerCount } from './engine-estimates.js';
import { findUncoveredRanges } from './layer-ranges.js';
import type { PlannedEngine } from './planned-engine.js';

const KINDS = [...Array(3).fill('large'), ...Array(3).fill('middle'), ...Array(5).fill('small')];

function engine(index: number, overrides: Partial<PlannedEngine> = {}): PlannedEngine {
  return {
    id: `e${String(index).padStart(2, '0')}`,
    dataCentre: 'here',
    kind: String(KINDS[index % KINDS.length]),
    slots: 134,
    layers: undefined,
    isInUse: false,
    hasOrderInProgress: false,
    peakRequests: 0,
    ...overrides,
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

test('plan: an empty data centre is covered with KV cache for a third of the slots', () => {
  assert.deepEqual(findUncoveredRanges(rangesOf(PLACED), 80), []);
  PLACED.forEach(({ kind, layers, slots }) => {
    assert.ok(layers);
    const tokens = cacheCapacityTokenLayers(PROFILE, kind, layers) / (layers.to - layers.from);
    assert.ok(tokens > (slots / 3) * (772 + 154));
  });
});

// Regression: one engine of a data centre held the first layer, and with 31 engines its slots were fewer
// than the requests that the others had KV cache for.
test('plan: an empty data centre holds the first layer as often as the model', () => {
  [1, 2, 3].forEach((size) => {
    const fleet = Array.from({ length: size }, (_, group) =>
      KINDS.map((_kind, index) => engine(index, { id: `g${group}-${index}` })),
    ).flat();
    const placed = apply(fleet, planCoverage(fleet, PROFILE, true));
    const copies = rangesOf(placed).reduce((sum, { from, to }) => sum + to - from, 0) / 80;
    const firstEngines = rangesOf(placed).filter(({ from }) => from === 0).length;
    assert.deepEqual(findUncoveredRanges(rangesOf(placed), 80), []);
    assert.ok(firstEngines >= Math.floor(copies), `${firstEngines} of ${copies} copies`);
  });
});

test('plan: engines that hold every layer are left unchanged', () => {
  assert.equal(planCoverage(PLACED, PROFILE, false).size, 0);
});

test('plan: engines that register while the service is idle are planned with the others', () => {
  const initial = FLEET.slice(0, 6);
  const placed = apply(initial, planCoverage(initial, PROFILE, true));
  const all = [...placed, ...FLEET.slice(6)];
  const after = apply(all, planCoverage(all, PROFILE, true));
  const plannedTogether = apply(FLEET, planCoverage(FLEET, PROFILE, true));
  assert.deepEqual(rangesOf(after), rangesOf(plannedTogether));
});

test('plan: after the loss of any one engine the others hold every layer again', () => {
  PLACED.forEach((lost) => {
    const remaining = PLACED.filter(({ id }) => id !== lost.id);
    const after = apply(remaining, planCoverage(remaining, PROFILE, false));
    assert.deepEqual(findUncoveredRanges(rangesOf(after), 80), [], `without ${lost.id}`);
  });
});

// After a loss, the engines next to the gap took all of its layers, and their KV cache served less than
// a third of the requests of the data centre.
test('plan: the more requests a data centre has, the more KV cache a repair leaves', () => {
  const smallestCache = (peakRequests: number): number => {
    const remaining = PLACED.slice(1).map((each) => ({ ...each, peakRequests }));
    const after = apply(remaining, planCoverage(remaining, PROFILE, false));
    assert.deepEqual(findUncoveredRanges(rangesOf(after), 80), []);
    return Math.min(
      ...after.map(({ kind, layers }) => {
        assert.ok(layers);
        return cacheCapacityTokenLayers(PROFILE, kind, layers) / (layers.to - layers.from);
      }),
    );
  };
  assert.ok(smallestCache(110) > smallestCache(0), `${smallestCache(110)} ${smallestCache(0)}`);
});

// Guards against small engines being given as many layers as fit into their memory, which left them
// almost no KV cache.
test('plan: a data centre of small engines leaves some layers to another data centre', () => {
  const small = Array.from({ length: 11 }, (_, index) =>
    engine(index, { id: `s${index}`, kind: 'small', dataCentre: 'there' }),
  );
  apply(small, planCoverage([...PLACED, ...small], PROFILE, true)).forEach(({ layers, slots }) => {
    assert.ok(layers);
    const tokens = cacheCapacityTokenLayers(PROFILE, 'small', layers) / (layers.to - layers.from);
    assert.ok(tokens > (slots / 11) * (772 + 154), `${layers.from}-${layers.to}`);
  });
});

test('plan: small engines alone are filled completely so that every layer is held', () => {
  const small = Array.from({ length: 11 }, (_, index) => engine(index, { kind: 'small' }));
  assert.deepEqual(
    findUncoveredRanges(rangesOf(apply(small, planCoverage(small, PROFILE, true))), 80),
    [],
  );
});

// Each data centre was repaired by itself, and where none could hold the model the gap stayed open.
test('plan: layers that no data centre can add are placed, whatever remains of the fleet', () => {
  const kinds = fc.array(fc.constantFrom('large', 'middle', 'small'), {
    minLength: 4,
    maxLength: 9,
  });
  const sites = fc.array(kinds, { minLength: 2, maxLength: 5 });
  fc.assert(
    fc.property(
      sites,
      fc.integer(),
      fc.double({ min: 0, max: 0.6, noNaN: true }),
      (drawn, seed, lostShare) => {
        const fleet = drawn.flatMap((group, site) =>
          group.map((kind, index) =>
            engine(index, { id: `s${site}-${index}`, dataCentre: `site-${site}`, kind }),
          ),
        );
        const placed = apply(fleet, planCoverage(fleet, PROFILE, true));
        const random = createRandom(seed).next;
        const left = placed
          .filter(() => random() >= lostShare)
          .map((each) => ({ ...each, isInUse: true }));
        const room = left.reduce((sum, { kind }) => sum + maximumLayerCount(PROFILE, kind), 0);
        fc.pre(room >= PROFILE.layerCount && left.every(({ layers }) => layers !== undefined));
        const repaired = apply(left, planCoverage(left, PROFILE, false, true));
        assert.deepEqual(findUncoveredRanges(rangesOf(repaired), PROFILE.layerCount), []);
      },
    ),
    { seed: 53, numRuns: 200 },
  );
});

test('plan: an engine that is carrying out an order keeps its layers', () => {
  const [first, second, third, ...others] = PLACED;
  assert.ok(first && second && third);
  const remaining = [first, { ...third, hasOrderInProgress: true }, ...others];
  const plan = planCoverage(remaining, PROFILE, false);
  assert.ok(!plan.has(third.id));
});

test('plan: an engine of a kind that the profile does not declare gets no layers', () => {
  const fleet = [...FLEET, engine(11, { kind: 'undeclared' }), engine(12, { kind: undefined })];
  const plan = planCoverage(fleet, PROFILE, true);
  assert.ok(!plan.has('e11') && !plan.has('e12'));
  assert.deepEqual(findUncoveredRanges([...plan.values()], 80), []);
});

test('plan: a new engine without layers gets layers at once', () => {
  const fleet = [...PLACED, engine(11)];
  const plan = planCoverage(fleet, PROFILE, false);
  assert.deepEqual([...plan.keys()], ['e11']);
});

test('plan: for any held layers, no planned range exceeds the memory of its engine', () => {
  const held = fc.option(
    fc.record({ from: fc.integer({ min: 0, max: 72 }), length: fc.integer({ min: 1, max: 8 }) }),
  );
  const fleets = fc.array(
    fc.record({ held, isInUse: fc.boolean(), hasOrderInProgress: fc.boolean() }),
    {
      minLength: 1,
      maxLength: 14,
    },
  );
  fc.assert(
    fc.property(fleets, fc.boolean(), (drawn, isIdle) => {
      const fleet = drawn.map(({ held: range, ...overrides }, index) =>
        engine(index, {
          ...overrides,
          layers: range ? { from: range.from, to: range.from + range.length } : undefined,
        }),
      );
      planCoverage(fleet, PROFILE, isIdle).forEach((range, id) => {
        const kind = fleet.find((each) => each.id === id)?.kind;
        assert.ok(range.from >= 0 && range.to <= 80 && range.to > range.from);
        assert.ok(range.to - range.from <= maximumLayerCount(PROFILE, kind));
      });
    }),
    { seed: 11, numRuns: 300 },
  );
});
