import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryAllowance, type RetryCounts } from './retry-allowance.js';

const BUDGET = { ratio: 0.2, windowMilliseconds: 10_000, slack: 200 };

function takeAll(allowance: RetryAllowance, tries: number): number {
  return Array.from({ length: tries }).filter(() => allowance.take('service')).length;
}

test('retries: a fault that fails everything stays within the shared bound over all instances', () => {
  let now = 0;
  const counts = new Map<number, RetryCounts>();
  const instances = Array.from({ length: 9 }, (_, index) => {
    const othersOf = (): RetryCounts => {
      let sum: RetryCounts = [0, 0];
      counts.forEach(([first, repeated], other) => {
        if (other !== index) sum = [sum[0] + first, sum[1] + repeated];
      });
      return sum;
    };
    return new RetryAllowance({ budget: BUDGET, peers: () => 8, othersOf, now: () => now });
  });
  let firsts = 0;
  let repeats = 0;
  // Every request fails four times; peers hear of each other every 300 ms.
  const step = (): void => {
    instances.forEach((allowance) => {
      allowance.noteFirst('service');
      firsts += 1;
      repeats += takeAll(allowance, 4);
    });
  };
  const tell = (): void => {
    instances.forEach((allowance, index) => {
      counts.set(index, allowance.counts.service ?? [0, 0]);
    });
  };
  for (; now < 10_000; now += 100) {
    step();
    if (now % 300 === 0) tell();
  }
  assert.ok(repeats <= BUDGET.ratio * firsts + BUDGET.slack, `${repeats} of ${firsts}`);
  assert.ok(repeats > 0);
});

test('retries: what peers have used up is not used again', () => {
  const allowance = new RetryAllowance({
    budget: BUDGET,
    peers: () => 1,
    othersOf: () => [0, 200],
    now: () => 0,
  });
  assert.equal(takeAll(allowance, 10), 0);
});

test('retries: the window passes', () => {
  let now = 0;
  const options = { budget: { ...BUDGET, slack: 10 }, peers: () => 0 };
  const allowance = new RetryAllowance({ ...options, othersOf: () => [0, 0], now: () => now });
  const before = takeAll(allowance, 50);
  assert.equal(takeAll(allowance, 50), 0);
  now = 10_500;
  assert.equal(takeAll(allowance, 50), before);
});
