import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import fc from 'fast-check';
import { createPlatformConnection } from '../platform/connection.js';
import { startObjectApi, type ObjectApiStandIn } from '../../tools/stand-ins/object-api.js';
import { LeaseManager } from './lease-manager.js';

const DURATION = 1000;
const ORDER = 100;

interface Holder {
  readonly keeper: LeaseManager;
  /** This holder's monotonic clock runs apart from the others'. */
  advance: (milliseconds: number) => void;
}

function createHolder(objectApi: ObjectApiStandIn, holder: string, name: string): Holder {
  let now = 0;
  const keeper = new LeaseManager({
    connection: createPlatformConnection({ address: { host: '127.0.0.1', port: objectApi.port } }),
    name,
    holder,
    durationMilliseconds: DURATION,
    orderTimeoutMilliseconds: ORDER,
    monotonicMilliseconds: () => now,
  });
  return {
    keeper,
    advance: (milliseconds) => {
      now += milliseconds;
    },
  };
}

async function startApi(context: TestContext): Promise<ObjectApiStandIn> {
  const objectApi = await startObjectApi();
  context.after(() => objectApi.close());
  return objectApi;
}

test('lease keeper: a paused holder gives no order after its lease, and its number is lower', async (context) => {
  const objectApi = await startApi(context);
  const [old, next] = [createHolder(objectApi, 'old', 'x'), createHolder(objectApi, 'next', 'x')];
  await old.keeper.acquireOrRenew();
  assert.equal(old.keeper.fencingNumberForOrder(), 1);
  await next.keeper.acquireOrRenew();
  assert.equal(next.keeper.fencingNumberForOrder(), undefined);
  next.advance(DURATION * 1.2);
  await next.keeper.acquireOrRenew();
  assert.equal(next.keeper.held?.fencingNumber, 2);
  assert.equal(next.keeper.fencingNumberForOrder(), undefined, 'it waits out the longest order');
  next.advance(ORDER);
  assert.equal(next.keeper.fencingNumberForOrder(), 2);
  old.advance(DURATION - ORDER);
  assert.equal(old.keeper.fencingNumberForOrder(), undefined, 'an order would outlast the lease');
  await old.keeper.acquireOrRenew();
  assert.ok(!old.keeper.held);
});

test('lease keeper: a write whose answer is lost is settled by reading it back', async (context) => {
  const objectApi = await startApi(context);
  objectApi.faults.loseWriteAnswers = 1;
  const one = createHolder(objectApi, 'one', 'y');
  await one.keeper.acquireOrRenew();
  assert.equal(one.keeper.held?.fencingNumber, 1);
});

test('lease keeper: two holders never may give orders at the same moment, whatever the schedule', async (context) => {
  const objectApi = await startApi(context);
  let run = 0;
  const step = fc.record({
    who: fc.nat(2),
    wait: fc.integer({ min: 0, max: 800 }),
    loses: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 25 }), async (steps) => {
      run += 1;
      const holders = ['a', 'b', 'c'].map((name) => createHolder(objectApi, name, `run-${run}`));
      let highest = 0;
      for (const { who, wait, loses } of steps) {
        holders.forEach((holder) => holder.advance(wait));
        objectApi.faults.loseWriteAnswers = loses ? 1 : 0;
        await holders[who]?.keeper.acquireOrRenew();
        const numbers = holders.flatMap(({ keeper }) => keeper.fencingNumberForOrder() ?? []);
        assert.ok(numbers.length <= 1, `numbers ${numbers.join()}`);
        const [number = highest] = numbers;
        assert.ok(number >= highest);
        highest = number;
      }
      objectApi.faults.loseWriteAnswers = 0;
    }),
    { seed: 12, numRuns: 40 },
  );
});
