import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DataCentreLinkLoad } from './data-centre-link-load.js';

const MEGABITS_PER_SECOND = 1000;

function createLoad(instanceCount: number) {
  const clock = { now: 0 };
  const load = new DataCentreLinkLoad({ instanceCount: () => instanceCount, now: () => clock.now });
  return { clock, load };
}

// Regression: with 18 instances each sent one prompt, found the link free again a second later, and the
// link was overloaded without end: of 700 first events over it hardly one was in time.
test('link load: all instances together stay below the target utilisation, however many there are', () => {
  const instanceCount = 20;
  const transferMilliseconds = 100;
  const durationMilliseconds = 60_000;
  const { clock, load } = createLoad(instanceCount);
  let transfers = 0;
  for (; clock.now < durationMilliseconds; clock.now += 50) {
    if (!load.isBusy('a', 'b')) {
      load.recordTransfer('a', 'b', 100_000_000, MEGABITS_PER_SECOND);
      transfers += 1;
    }
  }
  const utilisation = (transfers * transferMilliseconds * instanceCount) / durationMilliseconds;
  assert.ok(transfers > 0);
  assert.ok(utilisation < 0.55, `utilisation ${utilisation}`);
});

test('link load: both directions of a link share its use, other links do not', () => {
  const { load } = createLoad(10);
  load.recordTransfer('a', 'b', 1_000_000_000, MEGABITS_PER_SECOND);
  assert.ok(load.isBusy('b', 'a'));
  assert.ok(!load.isBusy('a', 'c'));
});
