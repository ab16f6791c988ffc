/** Tests, over several instances, how often a request that ends engines still reaches some. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { CrashReplay, type CrashScenario } from '../../tools/crash-replay.js';
import { CRASHES_TO_BLOCK } from './crash-records.js';

/** As in the rules of the platform's deployments. */
const CONTACT_MILLISECONDS = 3000;
const MAXIMUM_LATER_SENDS = 3;
/** The end after which the cause counts as known. */
const KNOWN_AFTER_ENDS = { content: CRASHES_TO_BLOCK, part: 5 };

/** Few engines, each of which is beginning several requests when it ends. */
function createScenarios(guilt: CrashScenario['guilt']): fc.Arbitrary<CrashScenario> {
  return fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    instances: fc.integer({ min: 1, max: 6 }),
    engines: fc.integer({ min: 3, max: 5 }),
    soundPerSecond: fc.integer({ min: 25, max: 40 }),
    guiltyPerSecond: fc.integer({ min: 3, max: 8 }),
    sharedParts: fc.integer({ min: 5, max: 8 }),
    beginMilliseconds: fc.integer({ min: 80, max: 150 }),
    beginPerRequestMilliseconds: fc.integer({ min: 0, max: 40 }),
    restartMilliseconds: fc.integer({ min: 500, max: 4000 }),
    newsMilliseconds: fc.integer({ min: 1, max: 100 }),
    guilt: fc.constant(guilt),
  });
}

function assertFewLaterSends(scenario: CrashScenario): void {
  const replay = new CrashReplay(scenario);
  replay.run();
  const knownEnd = replay.ends[KNOWN_AFTER_ENDS[scenario.guilt] - 1] ?? Number.POSITIVE_INFINITY;
  const later = replay.guiltySends.filter((at) => at > knownEnd + CONTACT_MILLISECONDS);
  assert.ok(
    later.length <= MAXIMUM_LATER_SENDS,
    `${later.length} later sends, ${replay.ends.length} ends`,
  );
}

// A part blocked by mistake explained the content's ends, so that the content was free again.
test('request that ends engines: once three have ended, it reaches no further ones, whatever else was beginning there', () => {
  fc.assert(fc.property(createScenarios('content'), assertFewLaterSends), {
    seed: 39,
    numRuns: 60,
  });
});

test('prompt part that ends engines: once five have ended, it reaches few further ones, whatever else was beginning there', () => {
  fc.assert(fc.property(createScenarios('part'), assertFewLaterSends), { seed: 39, numRuns: 30 });
});
