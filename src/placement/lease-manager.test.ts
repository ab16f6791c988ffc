import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import fc from 'fast-check';
import { createPlatformConnection } from '../platform/connection.js';
import { startObjectApi, type ObjectApiStandIn } from '../../tools/stand-ins/object-api.js';
import { LeaseManager } from './lease-manager.js';

const LEASE_MILLISECONDS = 1000;
const ORDER_TIMEOUT_MILLISECONDS = 100;

interface Holder {
  readonly leaseManager: LeaseManager;
  /** Advances this holder's own monotonic clock; the other holders' clocks stay as they are. */
  advance: (milliseconds: number) => void;
}

function createHolder(objectApi: ObjectApiStandIn, holder: string, name: string): Holder {
  let now = 0;
  const leaseManager = new LeaseManager({
    connection: createPlatformConnection({ address: { host: '127.0.0.1', port: objectApi.port } }),
    name,
    holder,
    durationMilliseconds: LEASE_MILLISECONDS,
    orderTimeoutMilliseconds: ORDER_TIMEOUT_MILLISECONDS,
    monotonicMilliseconds: () => now,
  });
  return {
    leaseManager,
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

test('lease manager: a paused holder sends no order after its lease, and its fencing number is lower', async (context) => {
  const objectApi = await startApi(context);
  const [previous, next] = [
    createHolder(objectApi, 'old', 'x'),
    createHolder(objectApi, 'next', 'x'),
  ];
  await previous.leaseManager.acquireOrRenew();
  assert.equal(previous.leaseManager.getFencingNumberForOrder(), 1);
  await next.leaseManager.acquireOrRenew();
  assert.equal(next.leaseManager.getFencingNumberForOrder(), undefined);
  next.advance(LEASE_MILLISECONDS * 1.2);
  await next.leaseManager.acquireOrRenew();
  assert.equal(next.leaseManager.held?.fencingNumber, 2);
  assert.equal(
    next.leaseManager.getFencingNumberForOrder(),
    undefined,
    'the new holder waits for the longest order to end',
  );
  next.advance(ORDER_TIMEOUT_MILLISECONDS);
  assert.equal(next.leaseManager.getFencingNumberForOrder(), 2);
  previous.advance(LEASE_MILLISECONDS - ORDER_TIMEOUT_MILLISECONDS);
  assert.equal(
    previous.leaseManager.getFencingNumberForOrder(),
    undefined,
    'an order would outlast the lease',
  );
  await previous.leaseManager.acquireOrRenew();
  assert.ok(!previous.leaseManager.held);
});

test('lease manager: a write whose response is lost is recognised by reading it back', async (context) => {
  const objectApi = await startApi(context);
  objectApi.faults.loseWriteAnswers = 1;
  const onlyHolder = createHolder(objectApi, 'one', 'y');
  await onlyHolder.leaseManager.acquireOrRenew();
  assert.equal(onlyHolder.leaseManager.held?.fencingNumber, 1);
});

test('lease manager: two holders may never send orders at the same time, in any schedule', async (context) => {
  const objectApi = await startApi(context);
  let runNumber = 0;
  const step = fc.record({
    holderIndex: fc.nat(2),
    waitMilliseconds: fc.integer({ min: 0, max: 800 }),
    isWriteAnswerLost: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 25 }), async (steps) => {
      runNumber += 1;
      const holders = ['a', 'b', 'c'].map((name) =>
        createHolder(objectApi, name, `run-${runNumber}`),
      );
      let highestFencingNumber = 0;
      for (const { holderIndex, waitMilliseconds, isWriteAnswerLost } of steps) {
        holders.forEach((holder) => holder.advance(waitMilliseconds));
        objectApi.faults.loseWriteAnswers = isWriteAnswerLost ? 1 : 0;
        await holders[holderIndex]?.leaseManager.acquireOrRenew();
        const fencingNumbers = holders.flatMap(
          ({ leaseManager }) => leaseManager.getFencingNumberForOrder() ?? [],
        );
        assert.ok(fencingNumbers.length <= 1, `fencing numbers ${fencingNumbers.join()}`);
        const [fencingNumber = highestFencingNumber] = fencingNumbers;
        assert.ok(fencingNumber >= highestFencingNumber);
        highestFencingNumber = fencingNumber;
      }
      objectApi.faults.loseWriteAnswers = 0;
    }),
    { seed: 12, numRuns: 40 },
  );
});
