/**
 * Tests instances that lose their links to all backend servers, while callers, the store and the other
 * instances still reach them.
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import type { CutMode } from '../tools/link-faults.js';
import {
  cutFromServers,
  type PlatformGroup,
  type PlatformInstance,
  type ReceivedResponse,
} from '../tools/platform-group.js';
import {
  createRequestId,
  readEventIds,
  sendCallerRequest,
  startGroup,
} from '../tools/serving-group.js';

/** As in the settings of the instances. */
const CONTACT_MILLISECONDS = 3000;
const MEASURED_MILLISECONDS = 3000;
const CUT_MODES = ['silent', 'reset', 'refused'] as const;
/** From the stated target: first tries served at cut instances, as a share of those at the others. */
const MINIMUM_SHARE_OF_OTHERS = 2 / 3;
const RESTARTS_ON_CRASH = { crashingBody: 'crash', restartMilliseconds: 300 };
const EXPECTED_EVENTS = [1, 2, 3, 4, 5, 6, 7, 8];

/** A request that was sent to an instance, and what came of it. */
interface SentRequest {
  readonly id: string;
  readonly path: string;
  readonly instance: PlatformInstance;
  readonly answer: ReceivedResponse;
}

const PATHS = ['/drafts/1', '/lookups/1', '/drafts/2', '/bookings/1'] as const;

async function sendTimed(instance: PlatformInstance, path: string): Promise<SentRequest> {
  const id = createRequestId();
  const answer = await sendCallerRequest(instance, path, {
    body: id,
    headers: { 'request-id': id },
  });
  return { id, path, instance, answer };
}

/** Sends requests of all kinds to all instances for a while, and waits for their answers. */
async function sendForAWhile(group: PlatformGroup, milliseconds: number): Promise<SentRequest[]> {
  const until = performance.now() + milliseconds;
  const sent: Promise<SentRequest>[] = [];
  for (let turn = 0; performance.now() < until; turn += 1) {
    const path = PATHS[turn % PATHS.length] ?? PATHS[0];
    group.instances.forEach((instance) => sent.push(sendTimed(instance, path)));
    await sleep(50);
  }
  return Promise.all(sent);
}

function isServed({ path, answer }: SentRequest): boolean {
  if (answer.status !== 200) return false;
  return !path.startsWith('/drafts') || readEventIds(answer).join() === EXPECTED_EVENTS.join();
}

function getServedShare(requests: readonly SentRequest[]): number {
  return requests.filter(isServed).length / Math.max(1, requests.length);
}

function startSpreadGroup(context: TestContext): Promise<PlatformGroup> {
  return startGroup(context, { instances: 6, engines: 9, plainServers: 3, zones: 3 });
}

/** How many servers ran a request. */
function countRuns(group: PlatformGroup, id: string): number {
  return group.servers.filter(({ runs }) => runs.some(({ requestId }) => requestId === id)).length;
}

CUT_MODES.forEach((mode: CutMode) => {
  // The cut instances ejected all servers, and the others believed them.
  test(`cut from servers: callers of cut instances and of the others are served (${mode})`, async (context) => {
    const group = await startSpreadGroup(context);
    const cut = new Set([0, 1, 5].map((index) => group.instances[index] as PlatformInstance));
    await sendForAWhile(group, 1000);
    cut.forEach((instance) => cutFromServers(group, instance, mode));
    const early = await sendForAWhile(group, CONTACT_MILLISECONDS);
    const sent = await sendForAWhile(group, MEASURED_MILLISECONDS);
    const shareOfCut = getServedShare(sent.filter(({ instance }) => cut.has(instance)));
    const shareOfOthers = getServedShare(sent.filter(({ instance }) => !cut.has(instance)));
    assert.ok(shareOfOthers > 0.9, `${shareOfOthers} at the others`);
    assert.ok(
      shareOfCut >= MINIMUM_SHARE_OF_OTHERS * shareOfOthers,
      `${shareOfCut} at cut instances, ${shareOfOthers} at the others`,
    );
    [...early, ...sent].forEach(({ id, path, answer }) => {
      const runs = countRuns(group, id);
      if (path.startsWith('/bookings')) assert.ok(runs <= 1, `booking ${id} ran ${runs} times`);
      if (answer.status === 503 && path.startsWith('/bookings')) assert.equal(runs, 0, id);
      assert.ok(runs <= 2, `${id} ran on ${runs} servers`);
    });
  });
});

// Refused connections counted as the ends of servers, which then didn't count towards a route's maximum.
test('cut from servers: no live server is taken for one that has ended', async (context) => {
  const group = await startSpreadGroup(context);
  const [instance] = group.instances;
  assert.ok(instance);
  cutFromServers(group, instance, 'refused');
  await sendForAWhile(group, 2000);
  assert.doesNotMatch(instance.log.join(''), /Backend server has ended/);
});

// The planner went on planning for engines that it couldn't reach.
test('cut from servers: another instance places layers', async (context) => {
  const group = await startSpreadGroup(context);
  const findPlanner = (): PlatformInstance | undefined =>
    group.instances.find(({ log }) => /Order sent to the engine/.test(log.join('')));
  const planner = findPlanner();
  assert.ok(planner);
  cutFromServers(group, planner, 'silent');
  await sendForAWhile(group, CONTACT_MILLISECONDS);
  group.instances.forEach(({ log }) => log.splice(0));
  // The engine that runs this request ends and starts again, without layers.
  group.servers.forEach(({ faults }) => Object.assign(faults, RESTARTS_ON_CRASH));
  const uncut = group.instances.find((instance) => instance !== planner);
  assert.ok(uncut);
  await sendCallerRequest(uncut, '/drafts/1', { body: RESTARTS_ON_CRASH.crashingBody });
  await sendForAWhile(group, CONTACT_MILLISECONDS);
  const successor = findPlanner();
  assert.ok(successor && successor !== planner);
});

test('cut from servers: when all instances are cut, requests are refused at once', async (context) => {
  const group = await startSpreadGroup(context);
  group.instances.forEach((instance) => cutFromServers(group, instance, 'silent'));
  await sendForAWhile(group, CONTACT_MILLISECONDS);
  const sent = await sendForAWhile(group, 1000);
  const log = group.instances.flatMap((instance) => instance.log).join('');
  sent.forEach(({ id, answer }) => {
    assert.equal(answer.status, 503, id);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.equal(countRuns(group, id), 0);
    assert.doesNotMatch(log, new RegExp(`"${id}"[^\\n]*(Chain|Backend server) chosen`), 'no try');
  });
});
