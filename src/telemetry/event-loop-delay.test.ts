import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EventLoopDelay } from './event-loop-delay.js';

/** Ticks every 100 ms but for the delays, by the index of the tick. */
function createTicking(delays: Readonly<Record<number, number>>) {
  const state = { now: 0 };
  const observed: number[] = [];
  const delay = new EventLoopDelay({
    now: () => state.now,
    onDelay: (milliseconds) => observed.push(milliseconds),
  });
  const tick = (count: number): void => {
    for (let index = 0; index < count; index += 1) {
      state.now += 100 + (delays[observed.length] ?? 0);
      delay.recordTick();
    }
  };
  return { state, observed, delay, tick };
}

test('event loop delay: the longest one since a request came, also one that lasts now', () => {
  const { state, delay, tick, observed } = createTicking({ 5: 700, 30: 250 });
  tick(60);
  assert.equal(observed.filter((milliseconds) => milliseconds > 0).length, 2);
  assert.equal(delay.longestSince(0), 700);
  assert.equal(delay.longestSince(2500), 250);
  assert.equal(delay.longestSince(6000), 0);
  state.now += 1600;
  assert.equal(delay.longestSince(6000), 1500);
});

test('event loop delay: what is kept is bounded, the oldest goes', () => {
  const { delay, tick } = createTicking({ 5: 700 });
  tick(2000);
  assert.equal(delay.longestSince(0), 0);
});
