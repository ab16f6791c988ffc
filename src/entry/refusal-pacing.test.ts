import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RefusalPacing } from './refusal-pacing.js';

function createPacing(random: () => number) {
  const clock = { now: 0 };
  return { clock, pacing: new RefusalPacing({ now: () => clock.now, random }) };
}

test('refusal pacing: a single refusal is retried soon', () => {
  const { pacing } = createPacing(() => 0.5);
  for (let count = 0; count < 20; count += 1) pacing.recordAccepted();
  pacing.recordRefused();
  assert.ok(pacing.chooseRetryAfterSeconds() < 1);
});

// Regression: callers refused during a shortage of several seconds came back after 0.6 s and were
// refused again, which was their last try.
test('refusal pacing: callers of a lasting shortage come back later and spread out', () => {
  let random = 0;
  const { clock, pacing } = createPacing(() => random);
  for (let count = 0; count < 40; count += 1) {
    clock.now += 100;
    pacing.recordRefused();
  }
  const earliest = pacing.chooseRetryAfterSeconds();
  random = 1;
  const latest = pacing.chooseRetryAfterSeconds();
  assert.ok(earliest > 1.5, `${earliest}`);
  assert.ok(latest - earliest > 2);
});

test('refusal pacing: a shortage that has ended is forgotten', () => {
  const { clock, pacing } = createPacing(() => 0.5);
  for (let count = 0; count < 20; count += 1) pacing.recordRefused();
  clock.now = 10_000;
  for (let count = 0; count < 5; count += 1) pacing.recordAccepted();
  assert.ok(pacing.chooseRetryAfterSeconds() < 0.8);
});

// Callers of all classes came back at once, and the least urgent ones, which are the most, took the room.
test('refusal pacing: callers of less urgent classes come back later', () => {
  const { pacing } = createPacing(() => 0.5);
  const seconds = [0, 1, 2].map((classIndex) => pacing.chooseRetryAfterSeconds(classIndex));
  assert.deepEqual(seconds, [0.6, 0.9, 1.2]);
});

test('refusal pacing: refusals of less urgent classes leave the time of more urgent ones as it is', () => {
  const { pacing } = createPacing(() => 0.5);
  for (let count = 0; count < 40; count += 1) pacing.recordRefused(2);
  const [urgent = 0, middle = 0, low = 0] = [0, 1, 2].map((classIndex) =>
    pacing.chooseRetryAfterSeconds(classIndex),
  );
  assert.equal(urgent, 0.6);
  assert.equal(middle, 0.9);
  assert.ok(low > 4, `${low}`);
});
