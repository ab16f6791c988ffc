/**
 * Tests that engines load the model version that is declared, and that a lease holder that was
 * suspended sends at most one outdated order, which the next holder corrects.
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import { requestStream } from '../tools/caller.js';
import { tryFetchJson, waitFor, type DaemonProcess } from '../tools/daemon-group.js';
import { computeExpectedTokens } from '../tools/stand-ins/token-function.js';
import { startFleet, type Fleet } from '../tools/fleet.js';
import { sendChange } from '../src/command-line/branch-client.js';

const LEASE_MILLISECONDS = 900;

async function startPlacementFleet(context: TestContext, checksFencing: boolean): Promise<Fleet> {
  const fleet = await startFleet({
    instances: [{ dataCentre: 'dc-a' }, { dataCentre: 'dc-a' }, { dataCentre: 'dc-b' }],
    engines: Array.from({ length: 4 }, () => ({ checksFencing, loadMilliseconds: 50 })),
    settings: {
      timeLimits: { lease: LEASE_MILLISECONDS, order: 200, loadReading: 100 },
      placement: { concurrentLoads: 2 },
    },
  });
  context.after(() => fleet.stop());
  return fleet;
}

async function declareVersion(fleet: Fleet, daemon: DaemonProcess, version: string): Promise<void> {
  const branch = await tryFetchJson<{ revision: number }>(
    daemon.operatorAddress,
    `/v1/configuration/${fleet.team}`,
  );
  const edits = [{ path: ['models', 'drafting', 'version'], value: version }];
  await sendChange(daemon.operatorAddress, fleet.team, {
    baseRevision: branch?.revision ?? 0,
    author: 'test',
    edits,
  });
}

function waitUntilVersionHeld(fleet: Fleet, version: string): Promise<void> {
  return waitFor(`every engine holds version ${version}`, () =>
    fleet.engines.every((engine) => engine.getHeldWeights().version === version),
  );
}

async function findLeaseHolder(fleet: Fleet): Promise<DaemonProcess> {
  let found: DaemonProcess | undefined;
  await waitFor('an instance holds the lease', async () => {
    for (const daemon of fleet.daemons) {
      const answer = await tryFetchJson<{ leases: unknown[] }>(
        daemon.operatorAddress,
        '/v1/leases',
      );
      if (answer && answer.leases.length > 0) found = daemon;
    }
    return found !== undefined;
  });
  return found as DaemonProcess;
}

[true, false].forEach((checksFencing) => {
  const behaviour = checksFencing ? 'check' : 'ignore';
  test(`placement: the lease holder is suspended until its lease has expired, with engines that ${behaviour} fencing numbers`, async (context) => {
    const fleet = await startPlacementFleet(context, checksFencing);
    await declareVersion(fleet, fleet.first, '2');
    await waitFor('an engine has received the first order', () =>
      fleet.engines.some((engine) => engine.orders.length > 0),
    );
    // The lease may move while instances join, so the holder is looked up after the first order.
    // The instance that holds the lease now has sent that order.
    const holder = await findLeaseHolder(fleet);
    const otherInstance = fleet.daemons.find((daemon) => daemon !== holder) as DaemonProcess;
    holder.getProcess().kill('SIGSTOP');
    await declareVersion(fleet, otherInstance, '3');
    await waitUntilVersionHeld(fleet, '3');
    const orderCountsBefore = fleet.engines.map((engine) => engine.orders.length);
    holder.getProcess().kill('SIGCONT');
    await sleep(LEASE_MILLISECONDS * 2);
    await waitUntilVersionHeld(fleet, '3');
    const lateOrders = fleet.engines.flatMap((engine, index) =>
      engine.orders.slice(orderCountsBefore[index]),
    );
    const oldOrders = lateOrders.filter((order) => order.version !== '3');
    // The holder may be suspended after it has checked its lease and before it sends an order. It
    // therefore sends at most one late order for each model, and engines that check fencing numbers
    // refuse it.
    assert.ok(oldOrders.length <= 1, `${oldOrders.length} late orders`);
    if (checksFencing) assert.ok(oldOrders.every((order) => !order.accepted));
    const newFencingNumbers = fleet.engines.flatMap((engine) =>
      engine.orders.filter((order) => order.version === '3').map((order) => order.fencingNumber),
    );
    const oldFencingNumbers = fleet.engines.flatMap((engine) =>
      engine.orders.filter((order) => order.version === '2').map((order) => order.fencingNumber),
    );
    assert.ok(Math.min(...newFencingNumbers) > Math.max(...oldFencingNumbers));
  });
});

test('placement: a declared version is served once the engines hold it, and running streams complete on the version they began with', async (context) => {
  const fleet = await startPlacementFleet(context, true);
  const body = { model: 'drafting', prompt: 'Keep this whole', max_tokens: 200, seed: 1 };
  const pendingAnswer = requestStream(fleet.first.callerAddress, body);
  await sleep(100);
  await declareVersion(fleet, fleet.first, '2');
  await waitUntilVersionHeld(fleet, '2');
  const nextAnswer = await requestStream(fleet.first.callerAddress, { ...body, max_tokens: 3 });
  assert.equal(nextAnswer.outcome, 'completed');
  const { outcome, tokens } = await pendingAnswer;
  assert.equal(outcome, 'completed');
  const input = { ...body, version: '1', adapter: '', totalLayers: 8 };
  assert.equal(tokens.join(''), computeExpectedTokens(input, 200).join(''));
});
