import assert from 'node:assert/strict';
import { test } from 'node:test';
import { replayChainLoad } from '../../tools/chain-load-replay.js';

const SMALL_FLEET = { seed: 1, instances: 22, engines: 40, seconds: 4 };

test('chain load: the same seed gives the same figures', () => {
  const options = { ...SMALL_FLEET, load: 2 };
  assert.deepEqual(replayChainLoad(options), replayChainLoad(options));
});

test('chain load: half of the capacity is served in time, without a rejection', () => {
  const { requests, inTime, rejectedArrivals } = replayChainLoad({ ...SMALL_FLEET, load: 0.5 });
  assert.equal(inTime, requests);
  assert.equal(rejectedArrivals, 0);
});

// Guards against goodput that falls below what was served at less load.
test('chain load: overload leaves in time 0.9 of the most at any load', () => {
  const inTime = [1, 2, 3].map((load) => replayChainLoad({ ...SMALL_FLEET, load }).inTime);
  assert.ok((inTime[1] ?? 0) >= 0.9 * Math.max(...inTime), inTime.join(', '));
});

test('chain load: under twice the load the busiest first stage gets at most twice the mean', () => {
  const { busiestToMean } = replayChainLoad({ ...SMALL_FLEET, load: 2 });
  assert.ok(busiestToMean <= 2, `${busiestToMean}`);
});

// Guards against instances that all take the same room before they hear of each other's requests.
test('chain load: under twice the load engines reject at most 5 of 100 arrivals', () => {
  const { arrivals, rejectedArrivals } = replayChainLoad({ ...SMALL_FLEET, load: 2 });
  assert.ok(rejectedArrivals <= 0.05 * arrivals, `${rejectedArrivals} of ${arrivals}`);
});
