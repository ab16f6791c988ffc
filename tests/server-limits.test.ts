/** Tests that all instances together keep to the limit that a backend server in need names. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '../src/common/clock.js';
import type { PlatformGroup, ReceivedResponse } from '../tools/platform-group.js';
import { sendCallerRequest, startGroup } from '../tools/serving-group.js';

const WINDOW_MILLISECONDS = 4000;
/** `contact-ms`: from then on after the limit was first named, it is kept. */
const SETTLE_MILLISECONDS = 3000;

/** Returns the most requests that arrived in any window from some time on. */
function findBusiestWindow(arrivals: readonly number[], from: number): number {
  const ends = arrivals.filter((end) => end >= from);
  const counts = ends.map(
    (end) => arrivals.filter((time) => time > end - WINDOW_MILLISECONDS && time <= end).length,
  );
  return Math.max(0, ...counts);
}

/** The rule of the users' pages. */
function getAllowed(requestsPerSecond: number): number {
  return 1.5 * requestsPerSecond * (WINDOW_MILLISECONDS / 1000) + 5;
}

/** Sends requests to all instances in turn at a steady rate. */
async function sendSteadily(
  group: PlatformGroup,
  path: string,
  { perSecond, seconds }: { perSecond: number; seconds: number },
): Promise<ReceivedResponse[]> {
  const answers: Promise<ReceivedResponse>[] = [];
  for (let count = 0; count < perSecond * seconds; count += 1) {
    const instance = group.instances[count % group.instances.length];
    assert.ok(instance);
    answers.push(sendCallerRequest(instance, `${path}${count}`));
    await sleep(1000 / perSecond);
  }
  return Promise.all(answers);
}

async function checkLimit(
  group: PlatformGroup,
  path: string,
  service: { readonly isEngine: boolean; readonly requestsPerSecond: number },
): Promise<ReceivedResponse[]> {
  const servers = group.servers.filter(({ kind }) => (kind !== undefined) === service.isEngine);
  await sendSteadily(group, path, { perSecond: 20, seconds: 1 });
  servers.forEach(({ faults }) => {
    faults.namedLimit = String(service.requestsPerSecond);
  });
  const namedAt = performance.now();
  const answers = await sendSteadily(group, path, { perSecond: 20, seconds: 9 });
  servers.forEach(({ id, arrivals }) => {
    const busiest = findBusiestWindow(arrivals, namedAt + SETTLE_MILLISECONDS);
    assert.ok(busiest <= getAllowed(service.requestsPerSecond), `${id}: ${busiest}`);
  });
  answers
    .filter(({ status }) => status !== 200)
    .forEach(({ status, headers }) => {
      assert.equal(status, 503);
      assert.ok(Number(headers['retry-after']) > 0);
    });
  return answers;
}

// Nothing read the limit; the servers got all requests.
test('server limit: servers of a plain service get no more calls than they name, from all instances together', async (context) => {
  const group = await startGroup(context, { instances: 3 });
  const answers = await checkLimit(group, '/lookups/', { isEngine: false, requestsPerSecond: 1.5 });
  // Two servers take three a second together, of which most are used.
  assert.ok(answers.filter(({ status }) => status === 200).length >= 12);
});

test('server limit: engines get no more streams as first stages than they name', async (context) => {
  const group = await startGroup(context, { instances: 3 });
  await checkLimit(group, '/drafts/', { isEngine: true, requestsPerSecond: 0.75 });
});

test('server limit: a limit of 0 is kept, and ends when answers no longer name it', async (context) => {
  const group = await startGroup(context, { instances: 2, plainServers: 1 });
  await checkLimit(group, '/lookups/', { isEngine: false, requestsPerSecond: 0 });
  const [server] = group.servers.filter(({ kind }) => kind === undefined);
  assert.ok(server);
  server.faults.namedLimit = undefined;
  await sleep(12_000);
  await sendSteadily(group, '/lookups/', { perSecond: 10, seconds: 3 });
  const answers = await sendSteadily(group, '/lookups/', { perSecond: 10, seconds: 1 });
  answers.forEach(({ status }) => assert.equal(status, 200));
});
