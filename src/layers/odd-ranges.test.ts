/** Engines whose layers aren't the model's change no decision about the others, and take no steps by layer. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ENGINE_PROFILE as PROFILE } from '../../tools/engine-profile.js';
import type { LayerRange } from '../fleet/server-entry.js';
import { chooseChain } from './chain-choice.js';
import { wouldUncoverLayers } from './coverage-guard.js';
import { planCoverage } from './coverage-plan.js';
import { findUncoveredRanges } from './layer-ranges.js';
import { findLeastCachedRange } from './least-cached-range.js';

const { layerCount } = PROFILE;
/** Far fewer than the layers of the longest odd range. */
const MAXIMUM_READS = 2000;
const RUNS = { seed: 23, numRuns: 200 };

/** A range that counts how often it is read, as each step of a loop over it does. */
class CountedRange implements LayerRange {
  readonly #from: number;

  readonly #to: number;

  #reads = 0;

  constructor(from: number, to: number) {
    this.#from = from;
    this.#to = to;
  }

  get from(): number {
    return this.#read(this.#from);
  }

  get to(): number {
    return this.#read(this.#to);
  }

  #read(value: number): number {
    this.#reads += 1;
    assert.ok(this.#reads <= MAXIMUM_READS, 'too many steps');
    return value;
  }
}

const FAR = fc.constantFrom(81, 100_000, 1e9, Number.MAX_SAFE_INTEGER, Number.POSITIVE_INFINITY);
const ODD_RANGES = fc
  .oneof(
    fc.tuple(fc.integer({ min: 0, max: 79 }), FAR),
    fc.tuple(fc.constantFrom(80, 1e9 - 1), FAR),
    fc.tuple(fc.integer({ min: -1e9, max: -1 }), fc.integer({ min: 0, max: 80 })),
    fc.constantFrom([5, 5], [7, 3], [Number.NaN, 8], [0, Number.NaN]),
  )
  .map(([from = 0, to = 0]) => new CountedRange(from, to));
const RANGES = fc
  .tuple(fc.integer({ min: 0, max: 79 }), fc.integer({ min: 1, max: 20 }))
  .map(([from, count]) => ({ from, to: Math.min(layerCount, from + count) }));

function createEngine(id: string, layers: LayerRange | undefined) {
  return {
    id,
    dataCentre: 'here',
    kind: 'large',
    slots: 134,
    layers,
    peakRequests: 0,
    isInUse: false,
    hasOrderInProgress: false,
    runningRequests: 0,
    reservedTokenLayers: 0,
    slowdownFactor: 1,
  };
}

type Engine = ReturnType<typeof createEngine>;

/** Leaves out engines without layers. */
function withLayers(engines: readonly Engine[]): (Engine & { readonly layers: LayerRange })[] {
  return engines.flatMap((engine) => (engine.layers ? [{ ...engine, layers: engine.layers }] : []));
}

const ODD_ENGINES = fc
  .array(ODD_RANGES, { minLength: 1, maxLength: 3 })
  .map((ranges) => ranges.map((range, index) => createEngine(`odd-${index}`, range)));
const ENGINES = fc
  .array(fc.option(RANGES, { nil: undefined }), { maxLength: 12 })
  .map((ranges) => ranges.map((range, index) => createEngine(`engine-${index}`, range)));

test('odd entries: they hold no layers', () => {
  fc.assert(
    fc.property(fc.array(RANGES), fc.array(ODD_RANGES), (ranges, odd) => {
      const uncovered = findUncoveredRanges([...odd, ...ranges], layerCount);
      assert.deepEqual(uncovered, findUncoveredRanges(ranges, layerCount));
      uncovered.forEach(({ from, to }) => assert.ok(from < to && to <= layerCount));
    }),
    RUNS,
  );
});

test('odd entries: the other engines are planned as without them', () => {
  fc.assert(
    fc.property(ENGINES, ODD_ENGINES, fc.boolean(), fc.boolean(), (engines, odd, idle, span) => {
      const plan = planCoverage([...odd, ...engines], PROFILE, idle, span);
      assert.deepEqual(plan, planCoverage(engines, PROFILE, idle, span));
    }),
    RUNS,
  );
});

test('odd entries: a new engine gets the layers that it gets without them', () => {
  fc.assert(
    fc.property(ENGINES, ODD_ENGINES, (engines, odd) => {
      const find = (all: typeof engines): LayerRange => {
        const ranges = new Map(withLayers(all).map(({ id, layers }) => [id, layers]));
        return findLeastCachedRange(20, { engines: all, ranges, profile: PROFILE });
      };
      assert.deepEqual(find([...odd, ...engines]), find(engines));
    }),
    RUNS,
  );
});

test('odd entries: changes are held back as without them', () => {
  const conditions = { layerCount, canSpanDataCentres: false };
  fc.assert(
    fc.property(ENGINES, ODD_ENGINES, RANGES, (engines, odd, layers) => {
      engines.forEach(({ id }) => {
        const isHeldBack = wouldUncoverLayers({ id, layers }, [...odd, ...engines], conditions);
        assert.equal(isHeldBack, wouldUncoverLayers({ id, layers }, engines, conditions));
      });
      odd.forEach(({ id }) =>
        assert.equal(wouldUncoverLayers({ id, layers }, [...odd, ...engines], conditions), false),
      );
    }),
    RUNS,
  );
});

// A range behind the last layer was a part of the way that no engine could run.
test('odd entries: chains are chosen as without them', () => {
  const request = { profile: PROFILE, tokens: { prompt: 700, output: 150 } };
  const whole = [createEngine('a', { from: 0, to: 40 }), createEngine('b', { from: 40, to: 80 })];
  fc.assert(
    fc.property(ENGINES, ODD_ENGINES, fc.boolean(), (engines, odd, isWhole) => {
      const candidates = withLayers([...(isWhole ? whole : []), ...engines]);
      const oddCandidates = withLayers(odd);
      const chain = chooseChain([...oddCandidates, ...candidates], request);
      assert.deepEqual(chain, chooseChain(candidates, request));
      if (isWhole) assert.ok('stages' in chain);
    }),
    RUNS,
  );
});
