/** Tests requests that an instance without links to the backend servers passes on to a peer. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import http from 'node:http';
import { RELAY_HEADER } from '../src/relay/relayed-request.js';
import {
  cutFromServers,
  waitUntil,
  type PlatformGroup,
  type PlatformInstance,
} from '../tools/platform-group.js';
import {
  createRequestId,
  readEventIds,
  sendCallerRequest,
  startGroup,
} from '../tools/serving-group.js';

interface CutPair {
  readonly group: PlatformGroup;
  /** Reaches no backend server. */
  readonly cut: PlatformInstance;
  /** Serves what the other one passes on. */
  readonly peer: PlatformInstance;
}

const CUT_KNOWN = /the instance is cut from them/;

/** Calls an instance until it knows that it is cut. */
async function waitUntilCutKnown(instance: PlatformInstance): Promise<void> {
  await waitUntil(async () => {
    await sendCallerRequest(instance, '/lookups/1');
    return CUT_KNOWN.test(instance.log.join(''));
  }, 'the cut is known');
}

async function startCutPair(context: TestContext, pauseMilliseconds = 20): Promise<CutPair> {
  const group = await startGroup(context, { instances: 2, pauseMilliseconds });
  const [cut, peer] = group.instances;
  assert.ok(cut && peer);
  cutFromServers(group, cut, 'reset');
  await waitUntilCutKnown(cut);
  return { group, cut, peer };
}

function listRuns(group: PlatformGroup, requestId: string) {
  return group.servers.flatMap(({ runs }) => runs.filter((run) => run.requestId === requestId));
}

const ALL_EVENTS = [1, 2, 3, 4, 5, 6, 7, 8];

// A peer must not take what a caller writes for what another instance states.
test('passed on: account, parts and answer are those of a request sent to the peer itself', async (context) => {
  const { group, cut, peer } = await startCutPair(context);
  const forged = { [RELAY_HEADER]: encodeURIComponent('{"from":"caller"}') };
  const prefix = 'aa:10,bb:20';
  for (const instance of [cut, peer]) {
    const requestId = createRequestId();
    const answer = await sendCallerRequest(instance, '/drafts/1', {
      headers: { 'request-id': requestId, 'prompt-prefix': prefix, ...forged },
    });
    assert.equal(answer.status, 200, answer.body);
    assert.deepEqual(readEventIds(answer), ALL_EVENTS);
    assert.ok(answer.headers['response-signature']);
    const [run] = listRuns(group, requestId);
    assert.equal(run?.tenant, 'planner');
    assert.equal(run.apiKey, undefined);
    assert.equal(run.promptPrefix, prefix);
  }
  const denied = await sendCallerRequest(cut, '/drafts/1', { key: 'no-key' });
  assert.equal(denied.status, 401);
});

// A lost peer may have run the booking, so neither a repeat nor "not run" is right.
test('passed on: a booking whose peer is killed runs once and ends as unknown', async (context) => {
  const { group, cut, peer } = await startCutPair(context);
  group.servers.forEach(({ faults }) => Object.assign(faults, { callMilliseconds: 400 }));
  const requestId = createRequestId();
  const answer = sendCallerRequest(cut, '/bookings/1', { headers: { 'request-id': requestId } });
  await waitUntil(() => listRuns(group, requestId).length === 1, 'the booking runs');
  peer.process.kill('SIGKILL');
  assert.equal((await answer).status, 502);
  assert.equal(listRuns(group, requestId).length, 1);
});

test('passed on: the request of a caller that leaves is cancelled', async (context) => {
  const { group, cut, peer } = await startCutPair(context, 500);
  const requestId = createRequestId();
  const request = http.request({
    host: '127.0.0.1',
    port: cut.ports.front,
    path: '/drafts/1',
    method: 'POST',
    headers: { host: 'site.example', 'request-id': requestId, 'api-key': 'key-1' },
  });
  request.on('error', () => undefined);
  request.end();
  await waitUntil(() => listRuns(group, requestId).length === 1, 'the stream runs');
  request.destroy();
  await waitUntil(
    () => new RegExp(`"requestId":"${requestId}".*"outcome":"callerGone"`).test(peer.log.join('')),
    'the peer cancels the request',
  );
});

// A stream that had begun when the links were lost broke off at the caller.
test('passed on: a stream that is cut resumes through a peer after its last event', async (context) => {
  const group = await startGroup(context, { instances: 2, pauseMilliseconds: 150 });
  const [cut] = group.instances;
  assert.ok(cut);
  const requestId = createRequestId();
  const answer = sendCallerRequest(cut, '/drafts/1', { headers: { 'request-id': requestId } });
  await waitUntil(() => listRuns(group, requestId).length === 1, 'the stream runs');
  cutFromServers(group, cut, 'reset');
  const { status, body } = await answer;
  assert.equal(status, 200);
  assert.deepEqual(readEventIds({ body }), ALL_EVENTS);
  assert.match(cut.log.join(''), /Passing the request on to a peer/);
  assert.ok(listRuns(group, requestId).length <= 2);
});
