/** Tests peers that fall silent, or end, while they serve what an instance without servers has passed on to them. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import {
  cutFromServers,
  waitUntil,
  type PlatformGroup,
  type PlatformInstance,
  type ReceivedResponse,
} from '../tools/platform-group.js';
import {
  createRequestId,
  getFirstInstance,
  readEventIds,
  sendCallerRequest,
  startGroup,
} from '../tools/serving-group.js';

const STREAM_PATH = '/drafts/1';
const ALL_EVENTS = [1, 2, 3, 4, 5, 6, 7, 8];
/** As the route of the streams allows. */
const MAXIMUM_RUNS = 2;

const ROUTE_TIMEOUT_MILLISECONDS = 5000;
/** As late as an answer may be. */
const LATE_MILLISECONDS = 500;

interface OpenStream {
  readonly group: PlatformGroup;
  /** Reaches no backend server. */
  readonly cut: PlatformInstance;
  /** Serves the stream. */
  readonly peer: PlatformInstance;
  readonly requestId: string;
  readonly answer: Promise<ReceivedResponse>;
  /** Whether the caller has a part of the answer. */
  readonly hasBegun: () => boolean;
}

function listRuns(group: PlatformGroup, requestId: string) {
  return group.servers.flatMap(({ runs }) => runs.filter((run) => run.requestId === requestId));
}

function findPeer({ instances }: PlatformGroup, cut: PlatformInstance, requestId: string) {
  const pattern = new RegExp(`"requestId":"${requestId}","peer":"([^"]+)"`);
  const name = pattern.exec(cut.log.join(''))?.[1];
  return instances.find((instance) => instance.name === name);
}

/** Starts a group whose first instance reaches no server, and a stream that it passes on. */
async function startPassedOnStream(context: TestContext, instances: number): Promise<OpenStream> {
  const group = await startGroup(context, { instances, pauseMilliseconds: 350 });
  const cut = getFirstInstance(group);
  cutFromServers(group, cut, 'reset');
  await waitUntil(async () => {
    await sendCallerRequest(cut, '/lookups/1');
    return /the instance is cut from them/.test(cut.log.join(''));
  }, 'the cut is known');
  const requestId = createRequestId();
  let parts = 0;
  const answer = sendCallerRequest(cut, STREAM_PATH, {
    headers: { 'request-id': requestId, 'deadline-ms': '15000' },
    onPart: () => {
      parts += 1;
    },
  });
  await waitUntil(() => listRuns(group, requestId).length === 1, 'the stream runs');
  await waitUntil(() => findPeer(group, cut, requestId) !== undefined, 'its peer is known');
  const peer = findPeer(group, cut, requestId);
  assert.ok(peer);
  return { group, cut, peer, requestId, answer, hasBegun: () => parts > 0 };
}

async function assertWhole({ group, requestId, answer }: OpenStream): Promise<void> {
  const received = await answer;
  assert.deepEqual(readEventIds(received), ALL_EVENTS);
  assert.equal(received.status, 200);
  const runs = listRuns(group, requestId).length;
  assert.ok(runs <= MAXIMUM_RUNS, `${runs} runs`);
}

// The records of the peer stayed out, and the stream that it went on with was cut.
test('peers given up: a stream goes on whose peer sends no records but answers', async (context) => {
  const stream = await startPassedOnStream(context, 2);
  const { cut, peer } = stream;
  cut.process.send({ ports: [peer.ports.control], mode: 'silent', exceptPath: STREAM_PATH });
  peer.process.send({ ports: [cut.ports.control], mode: 'silent' });
  await assertWhole(stream);
  assert.equal(listRuns(stream.group, stream.requestId).length, 1);
  assert.match(cut.log.join(''), /No newer record from the peer/);
});

// The end of the peer ended the stream, though another one could serve the rest.
test('peers given up: a stream whose peer is killed goes on at another peer', async (context) => {
  const stream = await startPassedOnStream(context, 3);
  stream.peer.process.kill('SIGKILL');
  await assertWhole(stream);
});

// A frozen peer neither answers nor closes its connections; the stream was cut when its records stayed out.
test('peers given up: a stream whose peer freezes goes on at another peer', async (context) => {
  const stream = await startPassedOnStream(context, 3);
  stream.peer.process.kill('SIGSTOP');
  context.after(() => stream.peer.process.kill('SIGCONT'));
  await assertWhole(stream);
});

// A peer that pauses goes on beside the attempt that was made meanwhile; pieces of both must not be joined.
test('peers given up: a stream whose peer pauses and goes on is whole, in order and without repeats', async (context) => {
  for (const pauseMilliseconds of [1800, 2300]) {
    const stream = await startPassedOnStream(context, 3);
    stream.peer.process.kill('SIGSTOP');
    await sleep(pauseMilliseconds);
    stream.peer.process.kill('SIGCONT');
    await assertWhole(stream);
  }
});

// A server that is reached again can serve the rest of what a peer has begun.
test('peers given up: a stream whose only peer is killed goes on at servers that are reached again', async (context) => {
  const stream = await startPassedOnStream(context, 2);
  const { group, cut, peer } = stream;
  cutFromServers(group, cut, undefined);
  await waitUntil(
    () => /can be reached again/.test(cut.log.join('')),
    'the end of the cut is known',
  );
  peer.process.kill('SIGKILL');
  await assertWhole(stream);
});

// What a frozen peer has begun can't be shown to have ended: it waits for as long as its route allows.
test('peers given up: a stream whose only peer freezes ends as cut off at its own time', async (context) => {
  const { peer, cut, requestId, answer, hasBegun } = await startPassedOnStream(context, 2);
  await waitUntil(hasBegun, 'the caller has a part of the answer');
  peer.process.kill('SIGSTOP');
  context.after(() => peer.process.kill('SIGCONT'));
  const received = await answer;
  assert.ok(received.status === 0 && readEventIds(received).length < ALL_EVENTS.length);
  const finished = new RegExp(
    `"requestId":"${requestId}".*"code":"timeout".*"totalMilliseconds":(\\d+)`,
  );
  await waitUntil(() => finished.test(cut.log.join('')), 'the cause is in the log');
  const totalMilliseconds = Number(finished.exec(cut.log.join(''))?.[1]);
  assert.ok(
    totalMilliseconds <= ROUTE_TIMEOUT_MILLISECONDS + LATE_MILLISECONDS,
    `${totalMilliseconds}`,
  );
});

// A booking at a frozen peer may run still: neither a repeat nor "not run" is right.
test('peers given up: a booking whose peer freezes runs at most once and ends as one that may have run', async (context) => {
  const { group, cut, peer, answer } = await startPassedOnStream(context, 3);
  group.servers.forEach(({ faults }) => Object.assign(faults, { callMilliseconds: 600 }));
  const requestId = createRequestId();
  const booking = sendCallerRequest(cut, '/bookings/1', { headers: { 'request-id': requestId } });
  await waitUntil(() => findPeer(group, cut, requestId) !== undefined, 'its peer is known');
  const bookingPeer = findPeer(group, cut, requestId) ?? peer;
  bookingPeer.process.kill('SIGSTOP');
  context.after(() => bookingPeer.process.kill('SIGCONT'));
  const { status } = await booking;
  assert.ok(status === 502 || status === 504, `${status}`);
  assert.ok(listRuns(group, requestId).length <= 1);
  await answer;
});
