/** Tests that requests which peers serve run on no more backend servers than their routes allow. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { waitUntil, type PlatformGroup } from '../tools/platform-group.js';
import {
  createRequestId,
  getFirstInstance,
  sendCallerRequest,
  startGroup,
} from '../tools/serving-group.js';

/** Of the routes of streams and lookups. */
const MAXIMUM_ATTEMPTS = 2;
const REQUESTS = 6;

/** Starts a group whose first instance reaches no backend server. */
async function startCutGroup(context: TestContext): Promise<PlatformGroup> {
  const group = await startGroup(context, { instances: 4, engines: 8, plainServers: 6 });
  const instance = getFirstInstance(group);
  instance.process.send({ ports: group.servers.map(({ port }) => port), mode: 'reset' });
  const isCut = (): boolean => /the instance is cut from them/.test(instance.log.join(''));
  await waitUntil(async () => {
    if (!isCut()) await sendCallerRequest(instance, '/drafts/1');
    return isCut();
  }, 'the cut is known');
  return group;
}

/** Sends requests to the cut instance; returns the servers that ran each. */
async function listServers(group: PlatformGroup, path: string): Promise<readonly string[][]> {
  const ids = Array.from({ length: REQUESTS }, createRequestId);
  for (const id of ids)
    await sendCallerRequest(getFirstInstance(group), path, {
      headers: { 'request-id': id },
      body: id,
    });
  return ids.map((id) =>
    group.servers
      .filter(({ runs }) => runs.some(({ requestId }) => requestId === id))
      .map((server) => server.id),
  );
}

function assertWithinLimit(serversByRequest: readonly string[][]): void {
  assert.ok(serversByRequest.some(({ length }) => length > 0));
  assert.deepEqual(
    serversByRequest.filter(({ length }) => length > MAXIMUM_ATTEMPTS),
    [],
  );
}

// A peer ran a stream on as many servers as the route allows, and counted as one of them.
test('runs at peers: a begun stream that live engines break off runs on no more engines than max-attempts', async (context) => {
  const group = await startCutGroup(context);
  group.servers.forEach(({ faults }) => {
    faults.breaksStreamAfterEvents = 1;
  });
  assertWithinLimit(await listServers(group, '/drafts/1'));
});

test('runs at peers: a stream that live engines break off before its first event runs on no more engines than max-attempts', async (context) => {
  const group = await startCutGroup(context);
  group.servers.forEach(({ faults }) => {
    faults.closesWithoutAnswer = true;
  });
  assertWithinLimit(await listServers(group, '/drafts/1'));
});
