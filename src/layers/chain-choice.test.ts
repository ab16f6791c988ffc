import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ENGINE_PROFILE } from '../../tools/engine-profile.js';
import { chooseChain, type Chain, type ChainCandidate } from './chain-choice.js';

const REQUEST = { profile: ENGINE_PROFILE, tokens: { prompt: 700, output: 150 } };

function engine(id: string, from: number, to: number, overrides: Partial<ChainCandidate> = {}) {
  return {
    id,
    dataCentre: 'here',
    kind: 'middle',
    layers: { from, to },
    slots: 134,
    runningRequests: 0,
    reservedTokenLayers: 0,
    slowdownFactor: 1,
    ...overrides,
  };
}

function describeStages(result: ReturnType<typeof chooseChain>): string[] {
  assert.ok('stages' in result);
  return result.stages.map(({ engine: { id }, layers }) => `${id}=${layers.from}-${layers.to}`);
}

test('chain: every layer once and in order', () => {
  const result = chooseChain([engine('b', 40, 80), engine('a', 0, 40)], REQUEST);
  assert.deepEqual(describeStages(result), ['a=0-40', 'b=40-80']);
});

test('chain: a layer that no engine holds is returned', () => {
  const result = chooseChain([engine('a', 0, 40), engine('b', 50, 80)], REQUEST);
  assert.deepEqual(result, { missingLayer: 40 });
});

test('chain: of overlapping ranges a stage runs only a part', () => {
  const result = chooseChain([engine('a', 0, 50), engine('b', 30, 80, { kind: 'large' })], REQUEST);
  assert.deepEqual(describeStages(result), ['a=0-30', 'b=30-80']);
});

test('chain: layers missing in one data centre are run in another one', () => {
  const result = chooseChain(
    [engine('a', 0, 30), engine('c', 50, 80), engine('far', 20, 60, { dataCentre: 'there' })],
    REQUEST,
  );
  assert.deepEqual(describeStages(result), ['a=0-30', 'far=30-50', 'c=50-80']);
});

test('chain: a link with a high utilisation is avoided while another chain exists', () => {
  const engines = [
    engine('a', 0, 40),
    engine('b', 40, 80, { slowdownFactor: 5 }),
    engine('far', 40, 80, { dataCentre: 'there' }),
  ];
  const overFreeLink = chooseChain(engines, { ...REQUEST, linkUtilisation: () => 0 });
  const overBusyLink = chooseChain(engines, { ...REQUEST, linkUtilisation: () => 0.9 });
  assert.deepEqual(describeStages(overFreeLink), ['a=0-40', 'far=40-80']);
  assert.deepEqual(describeStages(overBusyLink), ['a=0-40', 'b=40-80']);
});

test('chain: an engine without free KV cache is avoided', () => {
  const result = chooseChain(
    [
      engine('a', 0, 10, { reservedTokenLayers: 1e9 }),
      engine('b', 0, 10, { slowdownFactor: 3 }),
      engine('c', 10, 80, { kind: 'large' }),
    ],
    REQUEST,
  );
  assert.deepEqual(describeStages(result), ['b=0-10', 'c=10-80']);
  assert.ok(
    'stages' in result && result.isOverCapacity,
    'the 70 layers of engine c exceed its memory',
  );
});

test('chain: a pinned first stage is kept', () => {
  const a = engine('a', 0, 40, { slowdownFactor: 9 });
  const result = chooseChain([a, engine('b', 0, 40), engine('c', 40, 80)], {
    ...REQUEST,
    pinnedStage: { engine: a, layers: { from: 0, to: 20 } },
  });
  assert.deepEqual(describeStages(result), ['a=0-20', 'b=20-40', 'c=40-80']);
});

const RANGES = fc.array(
  fc.record({
    from: fc.integer({ min: 0, max: 79 }),
    length: fc.integer({ min: 1, max: 40 }),
    dataCentre: fc.constantFrom('here', 'there'),
    kind: fc.constantFrom('large', 'middle'),
    reservedTokenLayers: fc.integer({ min: 0, max: 1_000_000 }),
    slowdownFactor: fc.constantFrom(1, 5),
  }),
  { minLength: 1, maxLength: 30 },
);

test('chain: for any held layers, a chain runs every layer once, in order, and no engine twice', () => {
  fc.assert(
    fc.property(RANGES, (ranges) => {
      const engines = ranges.map(({ from, length, ...overrides }, index) =>
        engine(`e${index}`, from, Math.min(80, from + length), overrides),
      );
      const result: Chain | { missingLayer: number } = chooseChain(engines, REQUEST);
      const isHeld = (layer: number): boolean =>
        engines.some(({ layers }) => layers.from <= layer && layer < layers.to);
      if ('missingLayer' in result) {
        assert.ok(!isHeld(result.missingLayer));
        return;
      }
      let next = 0;
      result.stages.forEach(({ engine: { layers: held }, layers }) => {
        assert.equal(layers.from, next);
        assert.ok(held.from <= layers.from && layers.to <= held.to && layers.to > layers.from);
        next = layers.to;
      });
      assert.equal(next, 80);
      assert.equal(
        new Set(result.stages.map(({ engine: { id } }) => id)).size,
        result.stages.length,
      );
    }),
    { seed: 7, numRuns: 500 },
  );
});

test('chain: only an engine that may start the request runs the first stage', () => {
  const engines = [
    engine('a', 0, 40),
    engine('b', 0, 40, { slowdownFactor: 5 }),
    engine('c', 40, 80),
  ];
  const result = chooseChain(engines, { ...REQUEST, canStartAt: (id) => id === 'b' });
  assert.deepEqual(describeStages(result), ['b=0-40', 'c=40-80']);
});

test('chain: without busy links, a chain that needs one does not exist', () => {
  const engines = [engine('a', 0, 40), engine('far', 40, 80, { dataCentre: 'there' })];
  const busy = { ...REQUEST, linkUtilisation: () => 0.9 };
  assert.deepEqual(describeStages(chooseChain(engines, busy)), ['a=0-40', 'far=40-80']);
  assert.deepEqual(chooseChain(engines, { ...busy, canUseBusyLinks: false }), { missingLayer: 40 });
});

// Regression: the fastest engine with the first layer got the requests of a whole data centre, more than
// it has slots, and their first events waited there for a second and more.
test('chain: an engine whose slots are in use is not the first stage, but may be a later one', () => {
  const engines = [
    engine('a', 0, 10, { runningRequests: 134, kind: 'large' }),
    engine('b', 0, 10),
    engine('c', 10, 80, { runningRequests: 134, kind: 'large' }),
  ];
  assert.deepEqual(describeStages(chooseChain(engines, REQUEST)), ['b=0-10', 'c=10-80']);
});
