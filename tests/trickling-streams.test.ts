/** Tests streams of which single bytes arrive now and then, but no event. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import { waitUntil, type PlatformGroup, type ReceivedResponse } from '../tools/platform-group.js';
import {
  getFirstInstance,
  readEventIds,
  sendCallerRequest,
  startGroup,
} from '../tools/serving-group.js';

/** Of the route of streams. */
const ROUTE_TIMEOUT_MILLISECONDS = 5000;
const MAXIMUM_ATTEMPTS = 2;
const ALL_EVENTS = [1, 2, 3, 4, 5, 6, 7, 8];

function setTrickling(group: PlatformGroup, tricklesAfterEvents: number): void {
  group.servers.forEach(({ faults }) => Object.assign(faults, { tricklesAfterEvents }));
}

function countRuns(group: PlatformGroup): number {
  return group.servers.reduce((sum, { runs }) => sum + runs.length, 0);
}

/** Starts a stream whose caller waits for longer than its route allows. */
async function startStream(
  context: TestContext,
  tricklesAfterEvents: number,
): Promise<{ group: PlatformGroup; answer: Promise<ReceivedResponse> }> {
  const group = await startGroup(context, { pauseMilliseconds: 100 });
  setTrickling(group, tricklesAfterEvents);
  const answer = sendCallerRequest(getFirstInstance(group), '/drafts/1', {
    headers: { 'deadline-ms': String(4 * ROUTE_TIMEOUT_MILLISECONDS) },
  });
  return { group, answer };
}

// Bytes that are no event could pass for progress.
[0, 3].forEach((events) => {
  test(`trickling stream: it ends when its route's time is over, and takes no more engines than max-attempts (after ${events} events)`, async (context) => {
    const { group, answer } = await startStream(context, events);
    const { status, body } = await answer;
    assert.notEqual(status, 200, 'it is not whole');
    assert.ok(readEventIds({ body }).length <= events);
    assert.ok(countRuns(group) <= MAXIMUM_ATTEMPTS);
    const { log } = getFirstInstance(group);
    await waitUntil(() => /Request finished/.test(log.join('')), 'the end is logged');
    assert.match(log.join(''), /"outcome":"deadline","code":"timeout"/);
  });
});

test('trickling stream: one that goes on later is whole, and no event comes twice', async (context) => {
  const { group, answer } = await startStream(context, 3);
  await waitUntil(() => countRuns(group) > 0, 'the stream runs');
  await sleep(1000);
  setTrickling(group, Number.POSITIVE_INFINITY);
  assert.deepEqual(readEventIds(await answer), ALL_EVENTS);
});
