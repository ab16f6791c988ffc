import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ENGINE_PROFILE } from '../../tools/engine-profile.js';
import type { ChainCandidate } from './chain-choice.js';
import { chooseChainByObjectives, estimateStreamTimes } from './objective-choice.js';

const REQUEST = { profile: ENGINE_PROFILE, tokens: { prompt: 700, output: 400 } };
const OBJECTIVES = { firstEventMilliseconds: 500, pauseMilliseconds: 200 };

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

/** Eight engines of ten layers in this data centre and the same, much faster, in another one. */
function createTwoDataCentres(overrides: Partial<ChainCandidate> = {}): ChainCandidate[] {
  const starts = Array.from({ length: 8 }, (_, index) => index * 10);
  return [
    ...starts.map((from) => engine(`here-${from}`, from, from + 10, overrides)),
    ...starts.map((from) =>
      engine(`far-${from}`, from, from + 10, { dataCentre: 'there', kind: 'large' }),
    ),
  ];
}

function chooseDataCentres(candidates: readonly ChainCandidate[]): string[] {
  // The first stage runs here, as for a request that has begun.
  const [pinned] = candidates;
  assert.ok(pinned);
  const chain = chooseChainByObjectives(
    candidates,
    { ...REQUEST, pinnedStage: { engine: pinned, layers: { from: 0, to: 10 } } },
    OBJECTIVES,
    'here',
  );
  assert.ok('stages' in chain);
  return [...new Set(chain.stages.map(({ engine: { dataCentre } }) => dataCentre))];
}

// Regression: a long answer crossed to faster engines although it kept its objectives without; enough
// of such chains filled the link, and then all first events over it were late.
test('objectives: a long answer stays in its data centre while it is in time there', () => {
  assert.deepEqual(chooseDataCentres(createTwoDataCentres()), ['here']);
});

test('objectives: a chain crosses where staying would break an objective', () => {
  assert.deepEqual(chooseDataCentres(createTwoDataCentres({ slowdownFactor: 12 })), [
    'here',
    'there',
  ]);
});

test('objectives: a busy link delays the first event and the pauses of a chain that crosses', () => {
  const candidates = [engine('a', 0, 40), engine('b', 40, 80, { dataCentre: 'there' })];
  const chain = chooseChainByObjectives(candidates, REQUEST, OBJECTIVES, 'here');
  assert.ok('stages' in chain);
  const free = estimateStreamTimes(chain, { ...REQUEST, linkUtilisation: () => 0 });
  const busy = estimateStreamTimes(chain, { ...REQUEST, linkUtilisation: () => 0.8 });
  assert.ok(busy.firstEventMilliseconds > free.firstEventMilliseconds);
  assert.ok(busy.pauseMilliseconds > free.pauseMilliseconds);
});

test('objectives: without objectives the chain stays in its data centre', () => {
  const chain = chooseChainByObjectives(
    createTwoDataCentres({ slowdownFactor: 12 }),
    REQUEST,
    { firstEventMilliseconds: 0, pauseMilliseconds: 0 },
    'here',
  );
  assert.ok('stages' in chain);
  assert.equal(new Set(chain.stages.map(({ engine: { dataCentre } }) => dataCentre)).size, 1);
});

// Regression: on a calm day of a large fleet, one data centre with faster engines got 40 % of all
// requests, and its first events took 350 ms and more.
test('objectives: a request stays in the home data centre although another one is faster', () => {
  const chain = chooseChainByObjectives(createTwoDataCentres(), REQUEST, OBJECTIVES, 'here');
  assert.ok('stages' in chain);
  assert.ok(chain.stages.every(({ engine: { dataCentre } }) => dataCentre === 'here'));
});

test('objectives: a home data centre without room leaves the request to another one', () => {
  const candidates = createTwoDataCentres({ reservedTokenLayers: 1e9 });
  const chain = chooseChainByObjectives(candidates, REQUEST, OBJECTIVES, 'here');
  assert.ok('stages' in chain);
  assert.ok(chain.stages.every(({ engine: { dataCentre } }) => dataCentre === 'there'));
});

test('objectives: where home lacks layers, a slower chain inside another data centre is better than a crossing', () => {
  const starts = Array.from({ length: 8 }, (_, index) => index * 10);
  const candidates = [
    ...starts.slice(0, 7).map((from) => engine(`h${from}`, from, from + 10, { kind: 'large' })),
    ...starts.map((from) => engine(`f${from}`, from, from + 10, { dataCentre: 'there' })),
  ];
  const chain = chooseChainByObjectives(candidates, REQUEST, OBJECTIVES, 'here');
  assert.ok('stages' in chain);
  assert.ok(chain.stages.every(({ engine: { dataCentre } }) => dataCentre === 'there'));
});
