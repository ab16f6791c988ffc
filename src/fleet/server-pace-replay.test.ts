import assert from 'node:assert/strict';
import { test } from 'node:test';
import { replayServerPace } from '../../tools/server-pace-replay.js';

const FLEET = { instances: 24, dataCentres: 3, servers: 4, slots: 6, load: 0.65 };
const SOUND = { coldFactor: 1, warmRequests: 0 };
const COLD = { coldFactor: 4, warmRequests: 60 };
const SLOW = { coldFactor: 8, warmRequests: Number.POSITIVE_INFINITY };
const SEEDS = [1, 2, 3];

// 25 requests arrived at once at an empty server with 6 slots.
test('slow start replay: a server that comes back empty is not flooded before its window grows', () => {
  SEEDS.forEach((seed) => {
    const paced = replayServerPace({ ...FLEET, ...COLD, seed, isPaced: true });
    assert.ok(paced.mostAboveWindow <= 2, `${paced.mostAboveWindow} above the window`);
    const free = replayServerPace({ ...FLEET, ...COLD, seed, isPaced: false });
    assert.ok(free.mostAtFirst > 2 * FLEET.slots, `${free.mostAtFirst} without windows`);
    assert.ok(paced.late < free.late, `${paced.late} late, ${free.late} without windows`);
  });
});

test('slow start replay: a sound server has its full share within 3 s', () => {
  SEEDS.forEach((seed) => {
    const { fullShareAfter } = replayServerPace({ ...FLEET, ...SOUND, seed, isPaced: true });
    assert.ok(fullShareAfter <= 3000, `${fullShareAfter} ms`);
  });
});

test('slow start replay: a server that stays slow keeps the smallest window', () => {
  SEEDS.forEach((seed) => {
    const { lastPlaces } = replayServerPace({ ...FLEET, ...SLOW, seed, isPaced: true });
    assert.equal(lastPlaces, 2);
  });
});

// Records take 1.3 s among as many instances, and the window has fewer places than they are.
test('slow start replay: 380 instances keep a window of 4 places, and reach the full share within 4 s', () => {
  const fleet = { instances: 380, dataCentres: 11, servers: 11, slots: 16, load: 0.5 };
  const paced = replayServerPace({ ...fleet, ...SOUND, seed: 1, isPaced: true });
  assert.ok(paced.mostAboveWindow <= 4, `${paced.mostAboveWindow} above the window`);
  assert.ok(paced.fullShareAfter <= 4000, `${paced.fullShareAfter} ms`);
});
