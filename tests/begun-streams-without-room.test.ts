/** Tests streams that have begun and lose their engine while no other one has room: they wait for room. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import {
  PLATFORM_CONFIGURATION,
  sendRequest,
  waitUntil,
  type PlatformGroup,
  type ReceivedResponse,
} from '../tools/platform-group.js';
import {
  getFirstInstance,
  readEventIds,
  sendCallerRequest,
  startGroup,
} from '../tools/serving-group.js';

const ALL_EVENTS = [1, 2, 3, 4, 5, 6, 7, 8];
const ROUTE_TIMEOUT_MILLISECONDS = 12_000;

/** Gives the streams' route more time than any of these tests takes. */
async function extendRouteTimeout(group: PlatformGroup): Promise<void> {
  const routes = PLATFORM_CONFIGURATION.routes.map((route) =>
    route.name === 'drafts' ? { ...route, 'timeout-ms': ROUTE_TIMEOUT_MILLISECONDS } : route,
  );
  group.store.put('config', 'main', { ...PLATFORM_CONFIGURATION, version: 2, routes });
  const { ports } = getFirstInstance(group);
  await waitUntil(async () => {
    const { body } = await sendRequest({ port: ports.control, path: '/v1/configuration' });
    return body.includes('"version":2');
  }, 'version 2 is in force');
}

/** Begins a stream and ends its engine for good, while the others refuse all requests for some time. */
async function loseEngineWhileOthersRefuse(
  context: TestContext,
  refusalMilliseconds: number,
  namedPause?: string,
): Promise<ReceivedResponse> {
  const group = await startGroup(context, { engines: 3, pauseMilliseconds: 300 });
  await extendRouteTimeout(group);
  const answer = sendCallerRequest(getFirstInstance(group), '/drafts/1', {
    headers: { 'deadline-ms': '15000' },
  });
  await sleep(700);
  const running = group.servers.find(({ runs }) => runs.length > 0);
  assert.ok(running);
  const others = group.servers.filter((server) => server !== running);
  others.forEach(({ faults }) => Object.assign(faults, { refusesAll: true, namedPause }));
  await running.close();
  await sleep(refusalMilliseconds);
  others.forEach(({ faults }) => Object.assign(faults, { refusesAll: false }));
  return answer;
}

[0, 700, 1500, 2200, 4000].forEach((refusalMilliseconds) => {
  // A begun stream was given up at its first refusal, or after 1.7 s without a chain.
  test(`begun streams: one whose engine ends is finished once the others have room again (after ${refusalMilliseconds} ms)`, async (context) => {
    const answer = await loseEngineWhileOthersRefuse(context, refusalMilliseconds);
    assert.equal(answer.status, 200);
    assert.deepEqual(readEventIds(answer), ALL_EVENTS);
  });
});

// A begun stream that no engine may be sent for a while was given up after 1.7 s.
test('begun streams: one whose engine ends is finished once the others have rested as they asked for (2.5 s)', async (context) => {
  const answer = await loseEngineWhileOthersRefuse(context, 500, '2.5');
  assert.equal(answer.status, 200);
  assert.deepEqual(readEventIds(answer), ALL_EVENTS);
});
