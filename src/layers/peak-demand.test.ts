import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PeakDemand } from './peak-demand.js';

test('peak demand: a lull of some seconds hardly lowers it, a long one does', () => {
  const clock = { now: 0 };
  const demand = new PeakDemand({ now: () => clock.now });
  demand.record('a', 80);
  clock.now = 2000;
  demand.record('a', 5);
  assert.ok(demand.peak('a') > 65);
  clock.now = 60_000;
  assert.ok(demand.peak('a') < 5);
  assert.equal(demand.peak('b'), 0);
});
