import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isEngineLost } from './engine-loss.js';

const WELL = { refusingMilliseconds: 0, suspectMilliseconds: 0, running: 0 };

// A recorded day: engines full after losses were taken for lost, and their layers laid on others.
test('an engine that refuses because it is full is not lost', () => {
  assert.equal(isEngineLost({ ...WELL, refusingMilliseconds: 5000, running: 12 }), false);
});

test('an engine that refuses while nothing runs there is lost', () => {
  assert.equal(isEngineLost({ ...WELL, refusingMilliseconds: 5000 }), true);
  assert.equal(isEngineLost({ ...WELL, refusingMilliseconds: 300 }), false);
});

test('an engine that stays suspect is lost, whatever runs there', () => {
  assert.equal(isEngineLost({ ...WELL, suspectMilliseconds: 800, running: 12 }), true);
  assert.equal(isEngineLost({ ...WELL, suspectMilliseconds: 600 }), false);
});
