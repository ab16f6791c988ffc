import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryBudget, type RetryCounts } from './retry-budget.js';

const BUDGET = { ratio: 0.2, windowMilliseconds: 10_000, minimumRetries: 200 };

function takeAll(allowance: RetryBudget, tries: number): number {
  return Array.from({ length: tries }).filter(() => allowance.tryAcquire('service')).length;
}

/** Nine instances that hear of each other's counts every 300 ms. */
class Fleet {
  now = 0;

  firsts = 0;

  repeats = 0;

  readonly #counts = new Map<number, RetryCounts>();

  #instances: RetryBudget[] = [];

  /** Starts every instance anew, with nothing in mind. */
  restart(): void {
    this.#counts.clear();
    this.#instances = Array.from(
      { length: 9 },
      (_, index) =>
        new RetryBudget({
          settings: BUDGET,
          peerCount: () => 8,
          peerCountsOf: () => this.#othersOf(index),
          now: () => this.now,
        }),
    );
  }

  /** Serves requests until a time; each fails as often as told. */
  run(until: number, failures = 4): void {
    for (; this.now < until; this.now += 100) {
      this.#instances.forEach((allowance) => {
        allowance.recordFirstAttempt('service');
        this.firsts += 1;
        this.repeats += takeAll(allowance, failures);
      });
      if (this.now % 300 === 0) this.#tell();
    }
  }

  #tell(): void {
    this.#instances.forEach((allowance, index) => {
      this.#counts.set(index, allowance.counts.service ?? [0, 0]);
    });
  }

  #othersOf(index: number): RetryCounts {
    const sum: RetryCounts = [0, 0];
    this.#counts.forEach(([first, repeated], other) => {
      if (other === index) return;
      sum[0] += first;
      sum[1] += repeated;
    });
    return sum;
  }
}

test('retries: a fault that fails everything stays within the shared bound over all instances', () => {
  const fleet = new Fleet();
  fleet.restart();
  fleet.run(30_000);
  const [firsts, repeats] = [fleet.firsts, fleet.repeats];
  fleet.run(40_000);
  const [within, again] = [fleet.firsts - firsts, fleet.repeats - repeats];
  assert.ok(again <= BUDGET.ratio * within + BUDGET.minimumRetries, `${again} of ${within}`);
  assert.ok(again > 0);
});

// A day that ended in the loss of all instances broke the bound: what was used before was forgotten.
test('retries: the bound holds over a restart of every instance', () => {
  const fleet = new Fleet();
  fleet.restart();
  fleet.run(30_000, 0);
  const [firsts, repeats] = [fleet.firsts, fleet.repeats];
  fleet.run(34_500);
  fleet.restart();
  fleet.run(40_000);
  const [within, again] = [fleet.firsts - firsts, fleet.repeats - repeats];
  assert.ok(again <= BUDGET.ratio * within + BUDGET.minimumRetries, `${again} of ${within}`);
});

test('retries: what peers have used up is not used again', () => {
  const allowance = new RetryBudget({
    settings: BUDGET,
    peerCount: () => 1,
    peerCountsOf: () => [0, 200],
    now: () => 0,
  });
  assert.equal(takeAll(allowance, 10), 0);
});

test('retries: the window passes', () => {
  let now = 0;
  const options = { settings: { ...BUDGET, minimumRetries: 10 }, peerCount: () => 0 };
  const allowance = new RetryBudget({ ...options, peerCountsOf: () => [0, 0], now: () => now });
  const before = takeAll(allowance, 50);
  assert.equal(takeAll(allowance, 50), 0);
  now = 10_500;
  assert.ok(takeAll(allowance, 50) >= before);
});
