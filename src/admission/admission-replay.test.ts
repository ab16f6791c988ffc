import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  replayAdmission,
  type AdmissionReplayOptions,
  type ReplayedRequest,
} from '../../tools/admission-replay.js';

const BURST_BEGIN = 4000;
const BURST_END = 12_000;
const STEADY = { from: 0, to: 24_000 };
const BURST: AdmissionReplayOptions = {
  seed: 5,
  instances: 6,
  shortOf: 'cache',
  loads: [
    { priority: 0, load: 0.25, ...STEADY },
    { priority: 1, load: 0.15, ...STEADY },
    { priority: 2, load: 0.1, ...STEADY },
    { priority: 2, load: 2, from: BURST_BEGIN, to: BURST_END },
  ],
  seconds: 28,
  isAdmissionUsed: true,
};
const RESOURCES = ['cache', 'slots'] as const;
const SEEDS = [5, 6, 7, 8];
/** The limit of the least urgent class. */
const SHORT_PLACES = 0.8;

/** Share of the requests of a priority that was served during the burst. */
function computeServedShare(requests: readonly ReplayedRequest[], priority: number): number {
  const some = requests.filter(
    (request) =>
      request.priority === priority && request.at >= BURST_BEGIN && request.at < BURST_END,
  );
  return some.filter(({ outcome }) => outcome === 'served').length / some.length;
}

/** Requests that come a second or more after the places were last short. */
function listAfterPressure(requests: readonly ReplayedRequest[]): readonly ReplayedRequest[] {
  const short = requests.filter(({ takenPlaces }) => takenPlaces >= SHORT_PLACES);
  const endedAt = Math.max(...short.map(({ at }) => at));
  return requests.filter(({ at }) => at >= endedAt + 1000);
}

function listNotAdmitted(requests: readonly ReplayedRequest[]): readonly ReplayedRequest[] {
  return requests.filter(({ outcome }) => outcome === 'notAdmitted');
}

function run(options: Partial<AdmissionReplayOptions> = {}): (readonly ReplayedRequest[])[] {
  return SEEDS.map((seed) => replayAdmission({ ...BURST, seed, ...options }));
}

function runAll(options: Partial<AdmissionReplayOptions> = {}): (readonly ReplayedRequest[])[] {
  return RESOURCES.flatMap((shortOf) => run({ ...options, shortOf }));
}

// Without admission, the burst takes the room of the urgent route and engines reject all routes alike.
RESOURCES.forEach((shortOf) => {
  test(`admission replay: during a shortage of ${shortOf} the most urgent route keeps its share`, () => {
    const withAdmission = computeServedShare(run({ shortOf }).flat(), 0);
    const without = computeServedShare(run({ shortOf, isAdmissionUsed: false }).flat(), 0);
    assert.ok(withAdmission >= 0.9, `${withAdmission}`);
    assert.ok(without < 0.65, `${without}`);
  });
});

test('admission replay: the least urgent route is refused first and the most urgent one never', () => {
  runAll().forEach((requests) => {
    const notAdmitted = listNotAdmitted(requests);
    assert.equal(notAdmitted[0]?.priority, 2);
    assert.ok(notAdmitted.every(({ priority }) => priority > 0));
  });
  RESOURCES.forEach((shortOf) => {
    const requests = run({ shortOf }).flat();
    const shares = [0, 1, 2].map((priority) => computeServedShare(requests, priority));
    const [urgent = 0, middle = 0, low = 1] = shares;
    assert.ok(low < middle && middle <= urgent + 0.05, shares.join(', '));
  });
});

// Loads of peers arrive up to 260 ms late, so an instance may take places for taken that have just become free.
test('admission replay: nothing is refused while under half of the places are taken', () => {
  runAll().forEach((requests) => {
    const early = listNotAdmitted(requests).filter(({ takenPlaces }) => takenPlaces < 0.5);
    assert.deepEqual(early, []);
  });
});

test('admission replay: the least urgent route gets room within a second of the end of the pressure', () => {
  runAll().forEach((requests) => {
    const after = listAfterPressure(requests);
    assert.ok(after.some(({ priority }) => priority === 2));
    assert.deepEqual(listNotAdmitted(after), []);
  });
});

// A limit that kept to the last known loads of its peers for good would shut the route out.
test('admission replay: with records that stop during the burst, all routes are served after it', () => {
  runAll({ recordsEndAt: BURST_BEGIN + 4000 }).forEach((requests) => {
    const refused = listNotAdmitted(requests);
    assert.ok(refused.every(({ priority }) => priority > 0));
    const after = refused.filter(({ at }) => at >= BURST_END + 4000);
    assert.deepEqual(after, []);
  });
});

test('admission replay: one heavy account is refused before many light ones of its class', () => {
  const lights = Array.from({ length: 20 }, (_, index) => ({
    priority: 0,
    account: `light-${index}`,
    load: 0.03,
    ...STEADY,
  }));
  SEEDS.forEach((seed) => {
    const requests = replayAdmission({
      ...BURST,
      seed,
      loads: [
        ...lights,
        { priority: 0, account: 'heavy', load: 1.2, from: BURST_BEGIN, to: BURST_END },
        { priority: 1, account: 'other', load: 0.02, ...STEADY },
      ],
    });
    const during = requests.filter(({ at }) => at >= BURST_BEGIN && at < BURST_END);
    const notAdmitted = during.filter(
      ({ outcome, priority }) => outcome === 'notAdmitted' && priority === 0,
    );
    assert.ok(notAdmitted.length > 0);
    const ofHeavy = notAdmitted.filter(({ account }) => account === 'heavy');
    assert.ok(
      ofHeavy.length >= 0.95 * notAdmitted.length,
      `${ofHeavy.length} of ${notAdmitted.length}`,
    );
    const ofLight = during.filter(({ account }) => account.startsWith('light-'));
    const served = ofLight.filter(({ outcome }) => outcome === 'served').length;
    assert.ok(served >= 0.9 * ofLight.length, `${served} of ${ofLight.length}`);
  });
});

// A service whose routes have one priority was served without admission, and still is.
test('admission replay: with one priority the same requests are served as without admission', () => {
  const loads = BURST.loads.map((load) => ({ ...load, priority: 3 }));
  assert.deepEqual(run({ loads }), run({ loads, isAdmissionUsed: false }));
});
