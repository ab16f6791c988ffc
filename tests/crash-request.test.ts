/** Tests that a request which crashes backend servers crashes only a limited number of them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '../src/common/clock.js';
import { MAXIMUM_CRASHES } from '../src/routing/crash-guard.js';
import { requestStream } from '../tools/caller.js';
import { createLoopbackAddress, tryFetchJson } from '../tools/daemon-group.js';
import { startFleet } from '../tools/fleet.js';
import { computeExpectedTokens } from '../tools/stand-ins/token-function.js';

const ENGINE_COUNT = 8;
/** Long enough for all instances to learn of a crash before the next request is sent. */
const GOSSIP_WAIT_MILLISECONDS = 500;
/** Long enough for a request to meet every frozen engine. */
const FREEZE_MILLISECONDS = 4000;

test('crash request: sent repeatedly to all instances, it crashes few engines and other requests are completed', async (context) => {
  const fleet = await startFleet({
    instances: [{ dataCentre: 'dc-a' }, { dataCentre: 'dc-b' }, { dataCentre: 'dc-b' }],
    engines: Array.from({ length: ENGINE_COUNT }, () => ({ stepMilliseconds: 10 })),
  });
  context.after(() => fleet.stop());
  let isFinished = false;
  const otherRequests: { isCorrect: boolean; outcome: string }[] = [];
  const sendOtherRequests = async (worker: number): Promise<void> => {
    for (let count = 0; !isFinished; count += 1) {
      const daemon = fleet.daemons[worker % fleet.daemons.length] ?? fleet.first;
      const prompt = `Worker ${worker}, request ${count}`;
      const answer = await requestStream(daemon.callerAddress, {
        model: 'drafting',
        prompt,
        max_tokens: 8,
        seed: 1,
      });
      const input = {
        model: 'drafting',
        version: '1',
        adapter: '',
        prompt,
        seed: 1,
        totalLayers: 8,
      };
      const isCorrect = answer.tokens.join('') === computeExpectedTokens(input, 8).join('');
      otherRequests.push({ isCorrect, outcome: answer.outcome });
    }
  };
  const sendCrashRequests = async (): Promise<string[]> => {
    const outcomes: string[] = [];
    for (let round = 0; round < 3; round += 1) {
      for (const daemon of fleet.daemons) {
        const body = { model: 'drafting', prompt: 'CRASH this', max_tokens: 8, seed: 1 };
        outcomes.push((await requestStream(daemon.callerAddress, body)).outcome);
        await sleep(GOSSIP_WAIT_MILLISECONDS);
      }
    }
    isFinished = true;
    return outcomes;
  };
  const [outcomes] = await Promise.all([
    sendCrashRequests(),
    ...Array.from({ length: 9 }, (_, index) => sendOtherRequests(index)),
  ]);
  const statuses = await Promise.all(
    fleet.engines.map((engine) => tryFetchJson(createLoopbackAddress(engine.port), '/status')),
  );
  assert.equal(statuses.filter((status) => status === undefined).length, MAXIMUM_CRASHES);
  assert.ok(outcomes.every((outcome) => outcome === 'rejected'));
  assert.ok(otherRequests.length > 50);
  assert.deepEqual(
    otherRequests.filter(({ isCorrect, outcome }) => !isCorrect || outcome !== 'completed'),
    [],
  );
});

// Each engine that did not answer its status request in time counted as crashed.
test('crash request: engines that freeze one after another are not counted as crashed under it', async (context) => {
  const fleet = await startFleet({
    instances: [{ dataCentre: 'dc-a' }],
    engines: Array.from({ length: MAXIMUM_CRASHES + 1 }, () => ({ stepMilliseconds: 4 })),
    settings: { timeLimits: { tokenSilence: 250, loadReading: 200 } },
  });
  context.after(() => fleet.stop());
  const setFrozen = (frozen: boolean): void => {
    fleet.engines.forEach((engine) => Object.assign(engine.faults, { frozen }));
  };
  setFrozen(true);
  const body = { model: 'drafting', prompt: 'A list of the attic', max_tokens: 8, seed: 1 };
  const answer = requestStream(fleet.first.callerAddress, body);
  await sleep(FREEZE_MILLISECONDS);
  setFrozen(false);
  assert.equal((await answer).outcome, 'completed');
});

// An engine that refused the connection counted as crashed under a request that it never got.
test('crash request: engines that had ended before a request reached them are not counted as crashed under it', async (context) => {
  const fleet = await startFleet({
    instances: [{ dataCentre: 'dc-a' }],
    engines: Array.from({ length: MAXIMUM_CRASHES + 1 }, () => ({ stepMilliseconds: 4 })),
  });
  context.after(() => fleet.stop());
  await Promise.all(fleet.engines.map((engine) => engine.close()));
  const body = { model: 'drafting', prompt: 'A list of the cellar', max_tokens: 8, seed: 1 };
  const headers = { 'x-deadline-milliseconds': '1000' };
  const answer = await requestStream(fleet.first.callerAddress, body, { headers });
  assert.equal(answer.outcome, 'refused');
});
