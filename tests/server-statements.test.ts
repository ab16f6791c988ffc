/** Tests servers that say in their answers that they leave, or want no request for a time. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import { waitUntil, type PlatformGroup, type ReceivedResponse } from '../tools/platform-group.js';
import { getFirstInstance, sendCallerRequest, startGroup } from '../tools/serving-group.js';
import type { PlatformServer } from '../tools/stand-ins/platform-server.js';

const PATHS = [
  { path: '/lookups/', isEngine: false },
  { path: '/drafts/', isEngine: true },
] as const;

/** Sends requests to the first instance, one after the other. */
async function sendMany(
  group: PlatformGroup,
  path: string,
  count: number,
): Promise<ReceivedResponse[]> {
  const answers: ReceivedResponse[] = [];
  for (let sent = 0; sent < count; sent += 1)
    answers.push(await sendCallerRequest(getFirstInstance(group), `${path}${sent}`));
  return answers;
}

async function startServing(context: TestContext): Promise<PlatformGroup> {
  return startGroup(context, { engines: 6, plainServers: 3, pauseMilliseconds: 2 });
}

function listServers(group: PlatformGroup, isEngine: boolean): PlatformServer[] {
  return group.servers.filter(({ kind }) => (kind !== undefined) === isEngine);
}

function assertRefused({ status, headers }: ReceivedResponse): void {
  assert.equal(status, 503);
  const retryAfter = Number(headers['retry-after']);
  assert.ok(retryAfter > 0 && retryAfter <= 3, headers['retry-after']);
}

PATHS.forEach(({ path, isEngine }) => {
  // The entry in the store went on saying that the server is ready, and it got further requests.
  test(`leaving: a server that says so in an answer gets no further request (${path})`, async (context) => {
    const group = await startServing(context);
    const servers = listServers(group, isEngine);
    const isUsed = ({ arrivals }: PlatformServer): boolean => arrivals.length > 0;
    await waitUntil(async () => {
      await sendMany(group, path, 1);
      return servers.some(isUsed);
    }, 'a server is used');
    const leaving = servers.find(isUsed);
    assert.ok(leaving);
    leaving.faults.saysThatItLeaves = true;
    const before = leaving.arrivals.length;
    await waitUntil(async () => {
      await sendMany(group, path, 1);
      return leaving.arrivals.length > before;
    }, 'it has said so');
    const told = leaving.arrivals.length;
    // Its entry changes, as an entry from an older copy of the store does.
    leaving.register('ready');
    const answers = await sendMany(group, path, 30);
    assert.equal(leaving.arrivals.length, told);
    assert.ok(answers.filter(({ status }) => status === 200).length >= 28);
  });

  // The pause after a refusal was this instance's own guess, and plain calls had none.
  ['0.7', '3600'].forEach((pause) => {
    test(`pause: servers that ask for ${pause} s get nothing meanwhile, callers are refused at once (${path})`, async (context) => {
      const group = await startServing(context);
      const servers = listServers(group, isEngine);
      servers.forEach(({ faults }) =>
        Object.assign(faults, { refusesAll: true, namedPause: pause }),
      );
      await waitUntil(async () => {
        await sendMany(group, path, 1);
        const log = getFirstInstance(group).log.join('');
        return /"code":"servers_paused"/.test(log);
      }, 'all servers that can take requests have asked for the pause');
      const pausedAt = performance.now();
      const counts = servers.map(({ arrivals }) => arrivals.length);
      (await sendMany(group, path, 10)).forEach(assertRefused);
      // A request after the end of the pause may come at any time.
      if (performance.now() - pausedAt < 400)
        assert.deepEqual(
          servers.map(({ arrivals }) => arrivals.length),
          counts,
        );
      servers.forEach(({ faults }) => Object.assign(faults, { refusesAll: false }));
      await sleep(1000);
      const [answer] = await sendMany(group, path, 1);
      assert.equal(answer?.status, pause === '3600' ? 503 : 200);
    });
  });
});

const PAUSE_SECONDS = 2;
/** From the stated target: what is under way at the request for a pause may still arrive. */
const UNDER_WAY_MILLISECONDS = 500;

/** Contacts of any kind that reached a server within a pause that it had asked for. */
function listContactsInPause({ id, contacts, pauses }: PlatformServer): string[] {
  return contacts
    .filter(({ at }) =>
      pauses.some(
        (pausedAt) =>
          at > pausedAt + UNDER_WAY_MILLISECONDS && at < pausedAt + 1000 * PAUSE_SECONDS,
      ),
    )
    .map(({ at, path }) => `${id} ${path} at ${Math.round(at)}`);
}

/** Sends calls and streams all the time, for a while. */
async function keepSending(group: PlatformGroup, milliseconds: number): Promise<void> {
  const until = performance.now() + milliseconds;
  for (let turn = 0; performance.now() < until; turn += 1) {
    void sendCallerRequest(getFirstInstance(group), `/lookups/${turn}`);
    void sendCallerRequest(getFirstInstance(group), `/drafts/${turn}`);
    await sleep(50);
  }
}

// A pause was forgotten with the entry, and known again as none when the entry came back.
test('pause: it outlasts the absence of the entry of the server that asked for it', async (context) => {
  const group = await startGroup(context, { plainServers: 1 });
  const [server] = listServers(group, false);
  assert.ok(server);
  Object.assign(server.faults, { refusesAll: true, namedPause: String(PAUSE_SECONDS) });
  const sending = keepSending(group, 3000);
  await waitUntil(() => server.pauses.length > 0, 'it has asked for the pause');
  group.store.remove('servers', server.id);
  await sleep(UNDER_WAY_MILLISECONDS);
  server.register('ready');
  await sending;
  assert.deepEqual(listContactsInPause(server), []);
});

// Only answers to callers' requests were read.
test('pause: a server that asks for it in the answer to a health check or a report gets nothing meanwhile', async (context) => {
  const group = await startServing(context);
  const asking = [
    ...listServers(group, true).slice(0, 2),
    ...listServers(group, false).slice(0, 1),
  ];
  asking.forEach(({ faults }) => Object.assign(faults, { closesWithoutAnswer: true }));
  const sending = keepSending(group, 5000);
  const isEjected = ({ id }: PlatformServer): boolean =>
    new RegExp(`"id":"${id}".*Backend server ejected`).test(getFirstInstance(group).log.join(''));
  await waitUntil(() => asking.some(isEjected), 'some are ejected');
  asking.forEach(({ faults }) =>
    Object.assign(faults, {
      closesWithoutAnswer: false,
      refusesAll: true,
      refusesProbes: true,
      namedPause: String(PAUSE_SECONDS),
    }),
  );
  await sending;
  assert.ok(asking.some(({ pauses }) => pauses.length > 0));
  assert.deepEqual(asking.flatMap(listContactsInPause), []);
});

// A silent stream had its engine asked for reports several times a second, whatever the engine had said.
test('pause: an engine with silent streams is asked for no more than one report meanwhile', async (context) => {
  const group = await startGroup(context, { engines: 6, pauseMilliseconds: 400 });
  const streams = Array.from({ length: 6 }, (_, index) =>
    sendCallerRequest(getFirstInstance(group), `/drafts/${index}`),
  );
  await sleep(100);
  const engines = listServers(group, true);
  engines.forEach(({ faults }) =>
    Object.assign(faults, { refusesAll: true, namedPause: String(PAUSE_SECONDS) }),
  );
  await keepSending(group, 2000);
  (await Promise.all(streams)).forEach(({ status }) => assert.equal(status, 200));
  assert.ok(engines.some(({ pauses }) => pauses.length > 0));
  engines.forEach((engine) => {
    const contacts = listContactsInPause(engine);
    assert.ok(contacts.length <= 1, contacts.join());
  });
});

test('pause: a server that starts again under its id has asked for none', async (context) => {
  const group = await startGroup(context, { plainServers: 1 });
  const [server] = listServers(group, false);
  assert.ok(server);
  Object.assign(server.faults, { refusesAll: true, namedPause: '3600' });
  await waitUntil(async () => {
    await sendMany(group, '/lookups/', 1);
    return /"code":"servers_paused"/.test(getFirstInstance(group).log.join(''));
  }, 'it has asked for the pause');
  Object.assign(server.faults, { refusesAll: false });
  await server.restart();
  await waitUntil(async () => {
    const [answer] = await sendMany(group, '/lookups/', 1);
    return answer?.status === 200;
  }, 'the new process is used');
});

test('leaving: a stream in progress is served to its end, and peers avoid the server', async (context) => {
  const group = await startGroup(context, { instances: 2, plainServers: 2 });
  const [first, second] = group.instances;
  const [leaving] = listServers(group, false);
  assert.ok(first && second && leaving);
  leaving.faults.saysThatItLeaves = true;
  await waitUntil(async () => {
    await sendMany(group, '/lookups/', 1);
    return /says that it leaves/.test(first.log.join(''));
  }, 'the first instance is told');
  await sleep(1000);
  const before = leaving.arrivals.length;
  for (let sent = 0; sent < 20; sent += 1) {
    const answer = await sendCallerRequest(second, `/lookups/${sent}`);
    assert.equal(answer.status, 200);
  }
  assert.equal(leaving.arrivals.length, before);
  listServers(group, true).forEach(({ faults }) =>
    Object.assign(faults, { saysThatItLeaves: true }),
  );
  const { status, body } = await sendCallerRequest(first, '/drafts/1');
  assert.equal(status, 200);
  assert.equal([...body.matchAll(/^id: \d+$/gm)].length, 8);
});
