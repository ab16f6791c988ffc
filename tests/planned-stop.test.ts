/** Tests that an instance which is stopped as planned gives every request that it took an honest end. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { test, type TestContext } from 'node:test';
import { fileURLToPath } from 'node:url';
import { sleep } from '../src/common/clock.js';
import {
  cutFromServers,
  PLATFORM_CONFIGURATION,
  waitUntil,
  type PlatformGroup,
  type PlatformInstance,
  type ReceivedResponse,
} from '../tools/platform-group.js';
import { RawConnection } from '../tools/raw-connection.js';
import {
  createRequestId,
  getFirstInstance,
  sendCallerRequest,
  startGroup,
} from '../tools/serving-group.js';

/** `grace-s` of the settings of these instances: what is unfinished then is killed. */
const GRACE_MILLISECONDS = 8000;
const ROUTE_TIMEOUT_MILLISECONDS = 6000;
const SIGNALLED_START = fileURLToPath(new URL('../tools/signalled-start.js', import.meta.url));

const CONFIGURATION = {
  ...PLATFORM_CONFIGURATION,
  version: 2,
  routes: [
    ...PLATFORM_CONFIGURATION.routes.map((route) => ({
      ...route,
      'timeout-ms': ROUTE_TIMEOUT_MILLISECONDS,
    })),
    // No request of it can be finished within the time of a stop.
    {
      ...PLATFORM_CONFIGURATION.routes[1],
      name: 'removals',
      'path-prefix': '/removals/',
      'timeout-ms': 20_000,
    },
    {
      ...PLATFORM_CONFIGURATION.routes[0],
      name: 'stories',
      'path-prefix': '/stories/',
      'timeout-ms': 20_000,
    },
  ],
};

interface StoppingGroup {
  readonly group: PlatformGroup;
  readonly instance: PlatformInstance;
}

/** Starts a group whose calls take a given time, with routes that allow as much and more. */
async function startStoppingGroup(
  context: TestContext,
  callMilliseconds: number,
  options: { readonly instances?: number; readonly pauseMilliseconds?: number } = {},
): Promise<StoppingGroup> {
  const group = await startGroup(context, { instances: 2, engines: 2, ...options });
  group.store.put('config', 'main', CONFIGURATION);
  await Promise.all(
    group.instances.map((instance) =>
      waitUntil(async () => {
        const answer = await sendCallerRequest(instance, '/removals/ready');
        return answer.status === 200;
      }, `${instance.name} has the configuration`),
    ),
  );
  group.servers.forEach((server) => Object.assign(server.faults, { callMilliseconds }));
  return { group, instance: getFirstInstance(group) };
}

/** Stops an instance, and waits for its end. */
function stop({ process: child }: PlatformInstance): Promise<unknown[]> {
  const exit = once(child, 'exit');
  child.kill('SIGTERM');
  return exit;
}

function hasRun({ servers }: PlatformGroup, requestId: string): boolean {
  return servers.some(({ runs }) => runs.some((run) => run.requestId === requestId));
}

function readCode(body: string): string {
  return (JSON.parse(body) as { error: { code: string } }).error.code;
}

function formatHead(path: string, requestId: string, bodyBytes: number): string {
  const lines = [
    `POST ${path} HTTP/1.1`,
    'Host: site.example',
    `Request-Id: ${requestId}`,
    'Deadline-Ms: 30000',
    'Api-Key: key-1',
    `Content-Length: ${bodyBytes}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

// What came in the first 3 s of a stop was taken whatever it might last, and cut at the end of the grace.
test('planned stop: a request that may outlast the stop is refused as not run from the first moment on', async (context) => {
  const { group, instance } = await startStoppingGroup(context, 5500);
  const exit = stop(instance);
  const stoppedAt = performance.now();
  const sent: { id: string; at: number; answer: Promise<ReceivedResponse> }[] = [];
  while (performance.now() < stoppedAt + 3200) {
    const id = createRequestId();
    const path = sent.length % 2 === 0 ? `/bookings/${id}` : `/removals/${id}`;
    const headers = { 'request-id': id, 'deadline-ms': '30000' };
    const at = performance.now() - stoppedAt;
    sent.push({ id: `${path} ${id}`, at, answer: sendCallerRequest(instance, path, { headers }) });
    await sleep(50);
  }
  const ends = await Promise.all(
    sent.map(async ({ id, at, answer }) => ({ id, at, ...(await answer) })),
  );
  const unanswered = ends.filter(({ status }) => status === 0);
  assert.deepEqual(
    unanswered.map(({ id, at }) => `${id} after ${Math.round(at)} ms`),
    [],
  );
  ends.forEach(({ id, at, status, body, headers }) => {
    if (status === 200) {
      assert.ok(at + ROUTE_TIMEOUT_MILLISECONDS <= GRACE_MILLISECONDS, id);
      assert.ok(!id.startsWith('/removals/'), id);
      return;
    }
    assert.equal(status, 503, id);
    assert.equal(readCode(body), 'stopping');
    assert.ok(Number(headers['retry-after']) < 1);
    assert.ok(!hasRun(group, id.split(' ')[1] ?? ''), id);
  });
  assert.ok(ends.some(({ status }) => status === 200));
  assert.deepEqual(await exit, [0, null]);
});

// Only the route's timeout counted, however soon the caller gives up itself.
test('planned stop: a request whose caller waits for a short time is served late in the stop', async (context) => {
  const { instance } = await startStoppingGroup(context, 100);
  const exit = stop(instance);
  const blocker = await RawConnection.open(instance.ports.front);
  context.after(() => blocker.destroy());
  // A head without its body keeps the instance from ending early.
  blocker.write(formatHead('/bookings/slow', createRequestId(), 10));
  await sleep(4000);
  const headers = { 'deadline-ms': '1500' };
  const answer = await sendCallerRequest(instance, '/removals/brief', { headers });
  assert.equal(answer.status, 200);
  assert.deepEqual(await exit, [0, null]);
});

// The stop began between a request's head and the end of its body.
test('planned stop: a request whose body is still arriving is refused as not run, and its connection ends', async (context) => {
  const { group, instance } = await startStoppingGroup(context, 100);
  const requestId = createRequestId();
  const connection = await RawConnection.open(instance.ports.front);
  context.after(() => connection.destroy());
  connection.write(`${formatHead('/removals/body', requestId, 10)}12345`);
  await sleep(300);
  const exit = stop(instance);
  await sleep(500);
  connection.write('67890');
  const response = await connection.readResponse(2000);
  assert.equal(response?.status, 503);
  assert.match(response.head, /^connection: close$/im);
  assert.equal(readCode(response.body), 'stopping');
  assert.ok(!hasRun(group, requestId));
  assert.deepEqual(await exit, [0, null]);
});

// The answer to the first one ended the connection; the second one ran, and was cut.
test('planned stop: requests that follow each other on a connection without waiting are all answered', async (context) => {
  const { instance } = await startStoppingGroup(context, 300);
  const exit = stop(instance);
  await sleep(200);
  const ids = [createRequestId(), createRequestId(), createRequestId()];
  const connection = await RawConnection.open(instance.ports.front);
  context.after(() => connection.destroy());
  connection.write(ids.map((id) => formatHead('/bookings/1', id, 0)).join(''));
  for (const id of ids) {
    const response = await connection.readResponse(2000);
    assert.equal(response?.body, `ran ${id}`);
    assert.equal(/^connection: close$/im.test(response.head), id === ids.at(-1));
  }
  assert.deepEqual(await exit, [0, null]);
});

// The caller has been told that the connection ends, and may send the request again elsewhere.
test('planned stop: a request behind an answer that has announced the end of the connection is not passed on', async (context) => {
  const { group, instance } = await startStoppingGroup(context, 0, { pauseMilliseconds: 100 });
  const exit = stop(instance);
  await sleep(200);
  const [first, second] = [createRequestId(), createRequestId()];
  const connection = await RawConnection.open(instance.ports.front);
  context.after(() => connection.destroy());
  connection.write(formatHead('/drafts/1', first, 0));
  await waitUntil(() => hasRun(group, first), 'the stream has begun');
  await sleep(200);
  connection.write(formatHead('/bookings/1', second, 0));
  const response = await connection.readResponse(5000);
  assert.equal(response?.isComplete, true);
  assert.match(response.head, /^connection: close$/im);
  assert.deepEqual(await exit, [0, null]);
  assert.ok(!hasRun(group, second));
});

// At the end of the grace all connections were closed, whatever they carried.
test('planned stop: what is unfinished at the end is answered as possibly run, a body that is missing as not run, and a stream ends unfinished', async (context) => {
  const { group, instance } = await startStoppingGroup(context, 9000, { pauseMilliseconds: 1500 });
  const headers = { 'deadline-ms': '30000' };
  const booking = sendCallerRequest(instance, '/removals/long', { headers });
  const streamId = createRequestId();
  const stream = await RawConnection.open(instance.ports.front);
  const body = await RawConnection.open(instance.ports.front);
  context.after(() => [stream, body].forEach((connection) => connection.destroy()));
  stream.write(formatHead('/stories/long', streamId, 0));
  const bodyId = createRequestId();
  body.write(`${formatHead('/removals/body', bodyId, 10)}12345`);
  await sleep(300);
  const stoppedAt = performance.now();
  const exit = stop(instance);
  const [bookingAnswer, streamAnswer, bodyAnswer] = await Promise.all([
    booking,
    stream.readResponse(GRACE_MILLISECONDS),
    body.readResponse(GRACE_MILLISECONDS),
  ]);
  assert.equal(bookingAnswer.status, 502);
  assert.equal(readCode(bookingAnswer.body), 'stopped');
  assert.equal(bodyAnswer?.status, 503);
  assert.equal(readCode(bodyAnswer.body), 'stopping');
  assert.ok(!hasRun(group, bodyId));
  assert.equal(streamAnswer?.status, 200);
  assert.equal(streamAnswer.isComplete, false);
  assert.match(streamAnswer.body, /id: (\d)\ndata: \1\n\n\r\n$/);
  assert.deepEqual(await exit, [0, null]);
  assert.ok(performance.now() - stoppedAt < GRACE_MILLISECONDS);
  assert.match(instance.log.join(''), new RegExp(`"${streamId}".*"outcome":"stopping"`));
});

// A peer served the request; the instance that the caller waits at ended without a word.
test('planned stop: a request that a peer serves is answered before the instance that passed it on ends', async (context) => {
  const { group, instance } = await startStoppingGroup(context, 9000);
  cutFromServers(group, instance, 'reset');
  await waitUntil(async () => {
    await sendCallerRequest(instance, '/lookups/1', { headers: { 'deadline-ms': '300' } });
    return /the instance is cut from them/.test(instance.log.join(''));
  }, 'the cut is known');
  const requestId = createRequestId();
  const headers = { 'request-id': requestId, 'deadline-ms': '30000' };
  const answer = sendCallerRequest(instance, '/removals/passed-on', { headers });
  await waitUntil(() => hasRun(group, requestId), 'the peer has passed the request on');
  const exit = stop(instance);
  const { status, body } = await answer;
  assert.equal(status, 502);
  assert.equal(readCode(body), 'stopped');
  assert.deepEqual(await exit, [0, null]);
});

// The instance that serves for another one ends: its word must reach the caller, and new requests another peer.
test('planned stop: a request that a stopping peer serves is ended as possibly run, and later ones are served elsewhere', async (context) => {
  const { group, instance } = await startStoppingGroup(context, 9000, { instances: 3 });
  cutFromServers(group, instance, 'reset');
  await waitUntil(async () => {
    await sendCallerRequest(instance, '/lookups/1', { headers: { 'deadline-ms': '300' } });
    return /the instance is cut from them/.test(instance.log.join(''));
  }, 'the cut is known');
  const requestId = createRequestId();
  const headers = { 'request-id': requestId, 'deadline-ms': '30000' };
  const answer = sendCallerRequest(instance, '/removals/served', { headers });
  const findPeer = () =>
    group.instances.find(({ name, log }) => {
      const line = new RegExp(`"requestId":"${requestId}".*Serving a request for a peer`);
      return name !== instance.name && line.test(log.join(''));
    });
  await waitUntil(() => findPeer() !== undefined && hasRun(group, requestId), 'a peer serves it');
  const peer = findPeer();
  assert.ok(peer);
  const exit = stop(peer);
  group.servers.forEach(({ faults }) => Object.assign(faults, { callMilliseconds: 0 }));
  for (let turn = 0; turn < 10; turn += 1) {
    const later = await sendCallerRequest(instance, '/removals/later', {
      headers: { 'deadline-ms': '30000' },
    });
    assert.equal(later.status, 200);
  }
  const { status, body } = await answer;
  assert.equal(status, 502);
  assert.equal(readCode(body), 'stopped');
  assert.deepEqual(await exit, [0, null]);
});

// The second signal found the stop under way, and ended the process at once.
test('planned stop: further signals change nothing', async (context) => {
  const { instance } = await startStoppingGroup(context, 2000);
  const headers = { 'deadline-ms': '30000' };
  const booking = sendCallerRequest(instance, '/removals/1', { headers });
  await sleep(300);
  const exit = stop(instance);
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGTERM'] as const) {
    await sleep(200);
    instance.process.kill(signal);
  }
  assert.equal((await booking).status, 200);
  assert.deepEqual(await exit, [0, null]);
});

// SIGINT had no handler.
test('planned stop: SIGINT stops as SIGTERM does', async (context) => {
  const { instance } = await startStoppingGroup(context, 1000);
  const booking = sendCallerRequest(instance, '/removals/1');
  await sleep(300);
  const exit = once(instance.process, 'exit');
  instance.process.kill('SIGINT');
  assert.equal((await booking).status, 200);
  assert.deepEqual(await exit, [0, null]);
});

// Signals were handled only once everything listened; before, they ended the process.
test('planned stop: signals that come before the instance listens are carried out as an orderly stop', async (context) => {
  const { group } = await startStoppingGroup(context, 0, { instances: 1 });
  const signalled = await group.addInstance('entry-signalled', SIGNALLED_START);
  assert.deepEqual(await once(signalled.process, 'exit'), [0, null]);
  assert.match(signalled.log.join(''), /Stopped\./);
});
