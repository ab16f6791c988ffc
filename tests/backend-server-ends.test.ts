/**
 * Tests what instances conclude when a backend server ends, or seems to end, under a request: how many
 * further servers may run it, and when its like is no longer run.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '../src/common/clock.js';
import { waitUntil, type PlatformGroup } from '../tools/platform-group.js';
import {
  createRequestId,
  getFirstInstance,
  sendCallerRequest,
  startGroup,
} from '../tools/serving-group.js';
import { startUnacceptingServer } from '../tools/stand-ins/unaccepting-server.js';

/** Long enough for all instances to learn of a crash before the next request is sent. */
const GOSSIP_WAIT_MILLISECONDS = 1200;
const MAXIMUM_CRASHES = 2;

function findServersThatRan(group: PlatformGroup, requestId: string): string[] {
  return group.servers
    .filter(({ runs }) => runs.some((run) => run.requestId === requestId))
    .map(({ id }) => id);
}

/** Sends the same request to all instances in turn, six times. */
async function sendRepeatedly(group: PlatformGroup, path: string, body: string): Promise<number[]> {
  const statuses: number[] = [];
  for (let turn = 0; turn < 6; turn += 1) {
    const instance = group.instances[turn % group.instances.length] ?? getFirstInstance(group);
    const answer = await sendCallerRequest(instance, path, { body });
    statuses.push(answer.status);
    await sleep(GOSSIP_WAIT_MILLISECONDS);
  }
  return statuses;
}

// A leaving server may withdraw its entry and serve on; it was taken for one that had ended.
test('extra servers: a stream whose servers leave the registry and run on reaches no more servers than its route allows', async (context) => {
  const group = await startGroup(context, { engines: 6 });
  group.servers.forEach(({ faults }) => {
    faults.breaksStreamAfterEvents = 3;
    faults.unregistersWhileRunning = true;
  });
  const requestId = createRequestId();
  await sendCallerRequest(getFirstInstance(group), '/drafts/1', {
    headers: { 'request-id': requestId },
  });
  assert.equal(findServersThatRan(group, requestId).length, 2);
});

// Only ends before the head of the answer were recorded.
test('crash request: a stream that ends each engine after its first event ends only two, across all instances', async (context) => {
  const group = await startGroup(context, { engines: 8, instances: 2 });
  const engines = group.servers.filter(({ kind }) => kind !== undefined);
  engines.forEach(({ faults }) => {
    faults.crashingBody = 'crash';
    faults.eventsBeforeCrash = 1;
  });
  const statuses = await sendRepeatedly(group, '/drafts/1', 'crash');
  const crashes = engines.reduce((sum, { crashCount }) => sum + crashCount, 0);
  assert.equal(crashes, MAXIMUM_CRASHES, statuses.join());
  assert.equal(statuses.at(-1), 503);
});

// Three ends of one id counted as one.
test('crash request: a call that ends a server which starts again under its id ends it only twice', async (context) => {
  const group = await startGroup(context, { instances: 2, plainServers: 1 });
  const [server] = group.servers.filter(({ kind }) => kind === undefined);
  assert.ok(server);
  server.faults.crashingBody = 'crash';
  server.faults.restartMilliseconds = 300;
  const statuses = await sendRepeatedly(group, '/lookups/1', 'crash');
  assert.equal(server.crashCount, MAXIMUM_CRASHES, statuses.join());
  assert.equal(statuses.at(-1), 503);
  const other = await sendCallerRequest(getFirstInstance(group), '/lookups/1');
  assert.equal(other.status, 200);
});

// Any answer counted as a completion, after which no end counted for two minutes.
test('request that ends servers: a server that answers it with a failure does not clear it', async (context) => {
  const group = await startGroup(context, { instances: 2, plainServers: 3 });
  const [failing, ...ending] = group.servers.filter(({ kind }) => kind === undefined);
  assert.ok(failing);
  failing.faults.failedStatus = 500;
  ending.forEach(({ faults }) => {
    faults.crashingBody = 'crash';
    faults.restartMilliseconds = 300;
  });
  const statuses = await sendRepeatedly(group, '/lookups/1', 'crash');
  const crashes = ending.reduce((sum, { crashCount }) => sum + crashCount, 0);
  assert.equal(crashes, MAXIMUM_CRASHES, statuses.join());
});

// Cancelling an attempt while its connection was made looked like a server that can't be connected to.
test('own delay: a server is not ejected because its instance cancelled one connection early', async (context) => {
  const group = await startGroup(context, { plainServers: 1 });
  const port = await startUnacceptingServer(context);
  group.store.put('servers', 'case-silent', {
    service: 'casebook',
    address: `127.0.0.1:${port}`,
    zone: 'zone-a',
    slots: 2000,
    state: 'ready',
  });
  const instance = getFirstInstance(group);
  await waitUntil(() => instance.log.join('').includes('case-silent'), 'the server is registered');
  const answer = await sendCallerRequest(instance, '/lookups/1', { method: 'GET' });
  assert.equal(answer.status, 200);
  assert.match(instance.log.join(''), /"server":"case-silent","decision":"tryBeside"/);
  assert.doesNotMatch(instance.log.join(''), /case-silent.*Backend server ejected/);
});
