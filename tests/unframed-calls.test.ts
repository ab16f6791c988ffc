/** Tests answers to calls that have neither a length nor chunks and whose server ends in their middle. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { waitUntil, type PlatformGroup } from '../tools/platform-group.js';
import {
  createRequestId,
  getFirstInstance,
  sendCallerRequest,
  startGroup,
} from '../tools/serving-group.js';
import type { PlatformServer } from '../tools/stand-ins/platform-server.js';

const CRASHING_BODY = 'ends each server';
/** So many servers may end under the like of a request before it is no longer run. */
const MAXIMUM_ENDS = 3;
const LOOKUPS = 4;

function listPlainServers({ servers }: PlatformGroup): PlatformServer[] {
  return servers.filter(({ kind }) => kind === undefined);
}

function listRuns(group: PlatformGroup, requestId: string): string[] {
  return listPlainServers(group)
    .filter(({ runs }) => runs.some((run) => run.requestId === requestId))
    .map(({ id }) => id);
}

async function startEndingGroup(
  context: TestContext,
  options: { readonly plainServers: number; readonly instances?: number },
): Promise<PlatformGroup> {
  const group = await startGroup(context, options);
  listPlainServers(group).forEach(({ faults }) => {
    faults.unframedEnd = 'whole';
    faults.endsWithinCall = true;
  });
  return group;
}

// The connections of a process that ends are closed in order: half of an answer was passed on as a success.
test('unframed call: a booking whose server ends within its answer is no success and runs once', async (context) => {
  const group = await startEndingGroup(context, { plainServers: 3 });
  for (let call = 0; call < 2; call += 1) {
    const requestId = createRequestId();
    const answer = await sendCallerRequest(getFirstInstance(group), '/bookings/1', {
      headers: { 'request-id': requestId },
    });
    assert.equal(answer.status, 502);
    assert.equal(listRuns(group, requestId).length, 1);
  }
});

test('unframed call: a lookup whose server ends within its answer is run again elsewhere', async (context) => {
  const group = await startEndingGroup(context, { plainServers: 2 });
  const [sound, ending] = listPlainServers(group);
  assert.ok(sound && ending);
  sound.faults.endsWithinCall = false;
  // So that they overlap and are spread over both servers.
  sound.faults.callMilliseconds = 100;
  ending.faults.callMilliseconds = 100;
  const requestIds = Array.from({ length: LOOKUPS }, createRequestId);
  await Promise.all(
    requestIds.map(async (requestId) => {
      const answer = await sendCallerRequest(getFirstInstance(group), '/lookups/1', {
        headers: { 'request-id': requestId },
        body: requestId,
      });
      assert.deepEqual([answer.status, answer.body], [200, `ran ${requestId}`]);
    }),
  );
  assert.ok(ending.runs.length > 0, 'the other server began some of them');
});

test('unframed call: a call that a peer serves is no success if its server ends within the answer', async (context) => {
  const group = await startEndingGroup(context, { plainServers: 3, instances: 2 });
  const instance = getFirstInstance(group);
  instance.process.send({ ports: group.servers.map(({ port }) => port), mode: 'reset' });
  const isCut = (): boolean => /the instance is cut from them/.test(instance.log.join(''));
  await waitUntil(async () => {
    if (!isCut()) await sendCallerRequest(instance, '/drafts/1');
    return isCut();
  }, 'the cut is known');
  const requestId = createRequestId();
  const answer = await sendCallerRequest(instance, '/bookings/1', {
    headers: { 'request-id': requestId },
  });
  assert.equal(listRuns(group, requestId).length, 1, 'the peer had it run');
  assert.equal(answer.status, 502);
});

// Cut-short answers counted as completed runs: the like of a request that ends its servers was never blocked.
test('unframed call: the like of a call under which servers end within their answers is blocked', async (context) => {
  const group = await startEndingGroup(context, { plainServers: 7 });
  const servers = listPlainServers(group);
  servers.forEach(({ faults }) => {
    faults.crashingBody = CRASHING_BODY;
  });
  const instance = getFirstInstance(group);
  for (let call = 0; call < servers.length; call += 1)
    await sendCallerRequest(instance, '/bookings/1', { body: CRASHING_BODY });
  const ended = servers.filter(({ crashCount }) => crashCount > 0);
  assert.ok(ended.length <= MAXIMUM_ENDS, `${ended.length} servers ended`);
  const sound = await sendCallerRequest(instance, '/bookings/1', { body: 'sound' });
  assert.equal(sound.status, 200, 'others are served');
});
