import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryBudget, type RetryCounts } from './retry-budget.js';

const BUDGET = { ratio: 0.2, windowMilliseconds: 10_000, minimumRetries: 200 };

function acquireAll(retryBudget: RetryBudget, attempts: number): number {
  return Array.from({ length: attempts }).filter(() => retryBudget.tryAcquire('service')).length;
}

/** Nine instances that report their counts to each other every 300 ms. */
class Fleet {
  now = 0;

  firstAttempts = 0;

  retries = 0;

  readonly #counts = new Map<number, RetryCounts>();

  #instances: RetryBudget[] = [];

  /** Replaces every instance by a new one without any counts. */
  restart(): void {
    this.#counts.clear();
    this.#instances = Array.from(
      { length: 9 },
      (_, index) =>
        new RetryBudget({
          settings: BUDGET,
          peerCount: () => 8,
          peerCountsOf: () => this.#peerCountsOf(index),
          now: () => this.now,
        }),
    );
  }

  /** Serves requests until a time; each of them asks for `failures` retries. */
  run(until: number, failures = 4): void {
    for (; this.now < until; this.now += 100) {
      this.#instances.forEach((retryBudget) => {
        retryBudget.recordFirstAttempt('service');
        this.firstAttempts += 1;
        this.retries += acquireAll(retryBudget, failures);
      });
      if (this.now % 300 === 0) this.#exchangeCounts();
    }
  }

  #exchangeCounts(): void {
    this.#instances.forEach((retryBudget, index) => {
      this.#counts.set(index, retryBudget.counts.service ?? [0, 0]);
    });
  }

  #peerCountsOf(index: number): RetryCounts {
    const sum: RetryCounts = [0, 0];
    this.#counts.forEach(([peerFirstAttempts, peerRetries], other) => {
      if (other === index) return;
      sum[0] += peerFirstAttempts;
      sum[1] += peerRetries;
    });
    return sum;
  }
}

test('retry budget: when every attempt fails, all instances together stay within the budget', () => {
  const fleet = new Fleet();
  fleet.restart();
  fleet.run(30_000);
  const [firstAttempts, retries] = [fleet.firstAttempts, fleet.retries];
  fleet.run(40_000);
  const [newFirstAttempts, newRetries] = [
    fleet.firstAttempts - firstAttempts,
    fleet.retries - retries,
  ];
  assert.ok(
    newRetries <= BUDGET.ratio * newFirstAttempts + BUDGET.minimumRetries,
    `${newRetries} of ${newFirstAttempts}`,
  );
  assert.ok(newRetries > 0);
});

// Guards against exceeding the budget when all instances are lost at once and restart: they do not
// know which retries were used before.
test('retry budget: is kept when every instance restarts', () => {
  const fleet = new Fleet();
  fleet.restart();
  fleet.run(30_000, 0);
  const [firstAttempts, retries] = [fleet.firstAttempts, fleet.retries];
  fleet.run(34_500);
  fleet.restart();
  fleet.run(40_000);
  const [newFirstAttempts, newRetries] = [
    fleet.firstAttempts - firstAttempts,
    fleet.retries - retries,
  ];
  assert.ok(
    newRetries <= BUDGET.ratio * newFirstAttempts + BUDGET.minimumRetries,
    `${newRetries} of ${newFirstAttempts}`,
  );
});

test('retry budget: retries used by peers are not used again', () => {
  const retryBudget = new RetryBudget({
    settings: BUDGET,
    peerCount: () => 1,
    peerCountsOf: () => [0, 200],
    now: () => 0,
  });
  assert.equal(acquireAll(retryBudget, 10), 0);
});

test('retry budget: retries become available again after the window', () => {
  let now = 0;
  const options = { settings: { ...BUDGET, minimumRetries: 10 }, peerCount: () => 0 };
  const retryBudget = new RetryBudget({ ...options, peerCountsOf: () => [0, 0], now: () => now });
  const acquiredBefore = acquireAll(retryBudget, 50);
  assert.equal(acquireAll(retryBudget, 50), 0);
  now = 10_500;
  assert.ok(acquireAll(retryBudget, 50) >= acquiredBefore);
});
