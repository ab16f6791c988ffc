import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { AccountLimiter } from './account-limiter.js';
import { ConcurrencyLimit } from './concurrency-limit.js';
import { AdmissionQueue, type AdmissionRequest } from './admission-queue.js';
import { FairQueue } from './fair-queue.js';
import { RefusalError } from './outcome.js';
import { RetryBudget } from './retry-budget.js';

function createRequest(
  account: string,
  wait = 10_000,
  signal = new AbortController().signal,
): AdmissionRequest {
  return { id: '', account, weight: 1, cost: 1, startBy: performance.now() + wait, signal };
}

const neverSettles = (): Promise<void> =>
  new Promise(() => {
    // Never settles: the task occupies its place for the whole test.
  });

test('fair queue: an account is served in proportion to its weight, however many requests another one sends', () => {
  const flood = fc.integer({ min: 10, max: 300 });
  const weight = fc.integer({ min: 1, max: 5 });
  fc.assert(
    fc.property(flood, weight, (floodSize, smallWeight) => {
      const queue = new FairQueue();
      const order: string[] = [];
      const add = (account: string, share: number): void => {
        const run = (): Promise<unknown> => Promise.resolve(order.push(account));
        queue.enqueue(run, { account, weight: share, cost: 1 });
      };
      Array.from({ length: floodSize }, () => add('flood', 1));
      Array.from({ length: 5 }, () => add('small', smallWeight));
      while (queue.size > 0) void queue.dequeue()?.();
      const lastSmall = order.lastIndexOf('small');
      assert.ok(lastSmall <= 5 + Math.ceil(5 / smallWeight) + 1, `${lastSmall}`);
      assert.equal(order.length, floodSize + 5);
    }),
    { seed: 9 },
  );
});

test('admission queue: a request that cannot start in time is refused immediately and never runs', async () => {
  const admission = new AdmissionQueue({ maximumConcurrency: () => 1, maximumQueued: 2 });
  void admission.run(createRequest('a'), neverSettles);
  const late = admission.run(createRequest('b', 50), neverSettles);
  await assert.rejects(late, RefusalError);
  void admission.run(createRequest('a'), neverSettles).catch(() => undefined);
  void admission.run(createRequest('b'), neverSettles).catch(() => undefined);
  let hasRun = false;
  await assert.rejects(
    admission.run(createRequest('c'), async () => {
      hasRun = true;
    }),
    (error: RefusalError) => error.refusal.retryMilliseconds > 0,
  );
  assert.equal(hasRun, false);
  assert.equal(admission.queued, 2);
});

test('admission queue: a caller that disconnects frees its place, and its task never runs', async () => {
  const admission = new AdmissionQueue({ maximumConcurrency: () => 1 });
  void admission.run(createRequest('a'), neverSettles);
  const callerAbort = new AbortController();
  const waiting = admission.run(createRequest('b', 10_000, callerAbort.signal), neverSettles);
  assert.equal(admission.queued, 1);
  callerAbort.abort();
  await assert.rejects(waiting, RefusalError);
  assert.equal(admission.queued, 0);
});

test('concurrency limit: it is reduced once per overload and grows only while it is nearly used up', () => {
  let now = 0;
  const limit = new ConcurrencyLimit({
    initial: 20,
    maximum: 64,
    monotonicMilliseconds: () => now,
  });
  limit.recordRefusal();
  limit.recordRefusal();
  assert.equal(limit.value, 17);
  now += 1000;
  limit.recordRefusal();
  assert.equal(limit.value, 14);
  Array.from({ length: 100 }, () => limit.recordSuccess(2));
  assert.equal(limit.value, 14);
  Array.from({ length: 100 }, () => limit.recordSuccess(limit.value));
  assert.ok(limit.value > 18);
});

test('retry budget: retries are limited to the initial budget and a share of first attempts', () => {
  const budget = new RetryBudget({ retriesPerFirstAttempt: 0.1, maximum: 5 });
  let retries = 0;
  for (let attempts = 0; attempts < 100; attempts += 1) {
    budget.recordFirstAttempt();
    if (budget.tryTake()) retries += 1;
  }
  assert.ok(retries >= 10 && retries <= 15, `${retries}`);
});

test('account limiter: an account gets its rate and one burst in total, over whichever instances its requests arrive', async () => {
  const arrival = fc.record({ node: fc.nat(4), gap: fc.integer({ min: 0, max: 8 }) });
  await fc.assert(
    fc.asyncProperty(fc.array(arrival, { minLength: 300, maxLength: 600 }), async (arrivals) => {
      let now = 0;
      const rate = 50;
      const limiters: AccountLimiter[] = [0, 1, 2, 3, 4].map(
        (index) =>
          new AccountLimiter({
            findRequestsPerSecond: () => rate,
            isOwner: () => index === 0,
            borrowTokens: (account, amount) =>
              Promise.resolve((limiters[0] as AccountLimiter).grantTokens(account, amount)),
            countSharingInstances: () => 5,
            monotonicMilliseconds: () => now,
          }),
      );
      let granted = 0;
      for (const { node, gap } of arrivals) {
        now += gap;
        const result = await (limiters[node] as AccountLimiter).consume('a');
        if (result.kind === 'granted') granted += 1;
        else assert.ok(result.retryMilliseconds > 0);
      }
      assert.ok(granted <= rate + (now * rate) / 1000 + 1, `${granted} in ${now} ms`);
    }),
    { seed: 10, numRuns: 30 },
  );
});
