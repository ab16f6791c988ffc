import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ENGINE_PROFILE } from '../../tools/engine-profile.js';
import { createRandom } from '../../tools/random.js';
import type { ChainCandidate, ChainRequest } from './chain-choice.js';
import type { LinkState } from './data-centre-link-load.js';
import { chooseChainByObjectives } from './objective-choice.js';
import { chooseChainAtPrice, listCrossings, type PricedStream } from './priced-choice.js';

const OBJECTIVES = { firstEventMilliseconds: 800, pauseMilliseconds: 250 };
const STREAM = { pauseTargetMilliseconds: 250, pauseLeftMilliseconds: 150 };
const SLOW_LINK = {
  ...ENGINE_PROFILE,
  layerMegabytes: 500,
  activationBytesPerToken: 29_500,
  dataCentreLinkMegabitsPerSecond: 590,
  typicalPromptTokens: 760,
};
const REQUEST: ChainRequest = { profile: SLOW_LINK, tokens: { prompt: 760, output: 150 } };

function engine(
  dataCentre: string,
  from: number,
  to: number,
  overrides: Partial<ChainCandidate> = {},
): ChainCandidate {
  return {
    id: `${dataCentre}-${from}`,
    dataCentre,
    kind: 'large',
    layers: { from, to },
    slots: 100,
    runningRequests: 0,
    reservedTokenLayers: 0,
    slowdownFactor: 1,
    ...overrides,
  };
}

function createStream(overrides: Partial<PricedStream> = {}): PricedStream {
  const link: LinkState = {
    backlogMilliseconds: 0,
    instances: 20,
    streams: [STREAM],
    recordAgeMilliseconds: 100,
  };
  return {
    objectives: OBJECTIVES,
    homeDataCentre: 'a',
    describeLink: () => link,
    hasBegun: false,
    generatedTokens: 0,
    ...overrides,
  };
}

const HALF_HERE = [engine('a', 0, 40)];
const REST_THERE = [engine('b', 40, 80)];
/** No chain inside a data centre. */
const SPLIT = [...HALF_HERE, ...REST_THERE];
/** Another data centre holds all layers, and is slower than the objectives allow. */
const SLOW_ELSEWHERE = [
  ...SPLIT,
  engine('c', 0, 40, { slowdownFactor: 30 }),
  engine('c', 40, 80, { slowdownFactor: 30 }),
];

function listDataCentres(choice: ReturnType<typeof chooseChainAtPrice>): string[] {
  assert.ok('stages' in choice.chain);
  return choice.chain.stages.map(({ engine: { dataCentre } }) => dataCentre);
}

test('priced choice: a new request does not cross a slow link where its data centre lost layers', () => {
  const choice = chooseChainAtPrice(SLOW_ELSEWHERE, REQUEST, createStream());
  assert.deepEqual(listDataCentres(choice), ['c', 'c']);
  assert.equal(choice.decision?.outcome, 'stay_inside');
});

test('priced choice: a new request gets no chain where each one crosses a slow link', () => {
  const choice = chooseChainAtPrice(SPLIT, REQUEST, createStream());
  assert.ok('missingLayer' in choice.chain);
  assert.equal(choice.decision?.outcome, 'refuse');
});

test('priced choice: a begun stream crosses a slow link where nothing else holds its layers', () => {
  const stream = createStream({ hasBegun: true, isResumeImpossible: true });
  const choice = chooseChainAtPrice(SPLIT, REQUEST, stream);
  assert.deepEqual(listDataCentres(choice), ['a', 'b']);
  assert.equal(choice.decision?.reason, 'cannot_resume');
});

test('priced choice: a reroute over a link that the old chain crosses has no price', () => {
  const [pinned] = HALF_HERE;
  assert.ok(pinned);
  const pinnedStage = { engine: pinned, layers: { from: 0, to: 40 } };
  const [old] = REST_THERE;
  assert.ok(old);
  const oldStages = [pinnedStage, { engine: old, layers: { from: 40, to: 80 } }];
  const request = { ...REQUEST, pinnedStage };
  const again = chooseChainAtPrice(SPLIT, request, createStream({ hasBegun: true, oldStages }));
  assert.deepEqual(listDataCentres(again), ['a', 'b']);
  assert.equal(again.decision, undefined);
  const first = chooseChainAtPrice(SPLIT, request, createStream({ hasBegun: true }));
  assert.equal(first.decision?.outcome, 'resume');
});

test('priced choice: each hop over a link counts towards its price', () => {
  const stages = [engine('a', 0, 20), engine('b', 20, 40), engine('a', 40, 80)].map((one) => ({
    engine: one,
    layers: one.layers,
  }));
  assert.deepEqual(
    listCrossings(stages).map(({ hops }) => hops),
    [2],
  );
});

// Guards deployments with fast links: their choices must be the ones made before crossings had a price.
test('priced choice: over fast links the chains are those without a price, whatever the links carry', () => {
  const profile = { ...SLOW_LINK, dataCentreLinkMegabitsPerSecond: 13_000 };
  let crossing = 0;
  for (let seed = 1; seed <= 300; seed += 1) {
    const random = createRandom(seed);
    const candidates = Array.from({ length: 24 }, (_, index) => {
      const from = Math.floor(random.next() * 8) * 10;
      const to = Math.min(80, from + 10 + Math.floor(random.next() * 4) * 10);
      return engine(['a', 'b', 'c'][index % 3] ?? '', from, to, {
        id: `${index}`,
        slowdownFactor: 1 + 4 * random.next() ** 4,
        runningRequests: Math.floor(random.next() * 100),
      });
    });
    const request: ChainRequest = {
      profile,
      tokens: { prompt: Math.round(100 + 2000 * random.next()), output: 150 },
      linkUtilisation: () => 0.3,
    };
    const hasBegun = random.next() < 0.5;
    const link: LinkState = {
      backlogMilliseconds: 2000 * random.next(),
      instances: 24,
      streams: [{ ...STREAM, pauseLeftMilliseconds: 250 * random.next() }],
      recordAgeMilliseconds: undefined,
    };
    const stream = createStream({ hasBegun, describeLink: () => link });
    const before = chooseChainByObjectives(candidates, request, OBJECTIVES, 'a');
    const { chain, decision } = chooseChainAtPrice(candidates, request, stream);
    assert.deepEqual(chain, before, `seed ${seed}`);
    if (decision) crossing += 1;
  }
  assert.ok(crossing > 30, `${crossing} of the chains cross`);
});
