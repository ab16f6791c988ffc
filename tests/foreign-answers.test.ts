/** Tests answers that name another request than the one that they arrive for. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { PLATFORM_CONFIGURATION, waitUntil } from '../tools/platform-group.js';
import { startScriptedGroup, type ScriptedGroup } from '../tools/scripted-group.js';
import { sendCallerRequest } from '../tools/serving-group.js';
import type { ScriptedAnswer } from '../tools/stand-ins/scripted-server.js';

type Refusal = 'full' | 'misdirected' | 'tooMany' | 'notExecutedBadRequest';

const REFUSAL_LINES: Readonly<Record<Refusal, string>> = {
  full: 'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRetry-After: 30\r\nServer-Leaving: 1\r\nServer-Limit: 0.5\r\n',
  misdirected: 'HTTP/1.1 421 Misdirected\r\n',
  tooMany: 'HTTP/1.1 429 Too Many\r\nNot-Executed: 1\r\n',
  notExecutedBadRequest: 'HTTP/1.1 400 Bad\r\nNot-Executed: 1\r\n',
};
const REFUSALS = Object.keys(REFUSAL_LINES) as Refusal[];

/** A refusal that names a request, or none. */
function formatRefusal(refusal: Refusal, requestId?: string): ScriptedAnswer {
  const idLine = requestId === undefined ? '' : `Request-Id: ${requestId}\r\n`;
  const rest = 'Content-Length: 0\r\nConnection: close\r\n\r\n';
  return { text: REFUSAL_LINES[refusal] + idLine + rest, end: 'close' };
}

function formatAnswer(requestId: string): ScriptedAnswer {
  const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: s\r\n`;
  return { text: `${head}Content-Length: 3\r\nConnection: close\r\n\r\nran`, end: 'close' };
}

/** Serves streams that can't be resumed, so that they may run once. */
async function forbidResumption({ group, instance }: ScriptedGroup): Promise<void> {
  const routes = PLATFORM_CONFIGURATION.routes.map((route) => ({
    ...route,
    'stream-resume': false,
  }));
  group.store.put('config', 'main', { ...PLATFORM_CONFIGURATION, version: 2, routes });
  await waitUntil(
    () => /"version":2,"before":1/.test(instance.log.join('')),
    'the configuration is in force',
  );
}

async function checkForeignRefusals(
  context: TestContext,
  { isEngine, path }: { readonly isEngine: boolean; readonly path: string },
): Promise<void> {
  const started = await startScriptedGroup(context, { isEngine });
  const { scripted, instance } = started;
  if (isEngine) await forbidResumption(started);
  for (const refusal of REFUSALS) {
    const countBefore = scripted.requestIds.length;
    scripted.script = () => formatRefusal(refusal, 'earlier');
    const answer = await sendCallerRequest(instance, path);
    assert.equal(answer.status, 502, `${refusal}: it may have run`);
    assert.equal(scripted.requestIds.length, countBefore + 1, `${refusal}: one server got it`);
  }
}

// An earlier refusal that a server wrote once more ran the booking at a second server, or was reported as "not run".
test('foreign answer: a refusal that names another request leaves open whether a call ran', (context) =>
  checkForeignRefusals(context, { isEngine: false, path: '/bookings/1' }));

test('foreign answer: a refusal that names another request leaves open whether a stream ran', (context) =>
  checkForeignRefusals(context, { isEngine: true, path: '/drafts/1' }));

// A pause, a limit and a leave of an earlier time took a server out of use.
test('foreign answer: what a server says of itself in a refusal that names another request is not noted', async (context) => {
  const { scripted, instance } = await startScriptedGroup(context, { isEngine: false });
  scripted.script = () => formatRefusal('full', 'earlier');
  await sendCallerRequest(instance, '/bookings/1');
  scripted.script = ({ requestId }) => formatAnswer(requestId);
  for (let call = 0; call < 4; call += 1)
    assert.equal((await sendCallerRequest(instance, '/bookings/1')).status, 200);
  assert.doesNotMatch(instance.log.join(''), /asks for a pause/);
});

// A server that can't read a request refuses it without its id; taking that for foreign would cost its repeat.
test('foreign answer: a refusal without an id, or with that of the request, is believed', async (context) => {
  const { scripted, instance } = await startScriptedGroup(context, { isEngine: false });
  for (const isNamed of [false, true]) {
    const countBefore = scripted.requestIds.length;
    scripted.script = ({ requestId, index }) =>
      index === countBefore
        ? formatRefusal('tooMany', isNamed ? requestId : undefined)
        : formatAnswer(requestId);
    const answer = await sendCallerRequest(instance, '/bookings/1');
    assert.equal(answer.status, 200, `named: ${isNamed}`);
    assert.equal(scripted.requestIds.length, countBefore + 2, 'the second server ran it');
  }
});

// A safe call may run once more, so that the foreign refusal costs it nothing but the time.
test('foreign answer: a call that may be repeated is repeated after a refusal that names another request', async (context) => {
  const { scripted, instance } = await startScriptedGroup(context, { isEngine: false });
  scripted.script = ({ requestId, index }) =>
    index === 0 ? formatRefusal('full', 'earlier') : formatAnswer(requestId);
  assert.equal((await sendCallerRequest(instance, '/lookups/1')).status, 200);
  assert.equal(scripted.requestIds.length, 2);
});

/** Heads that a server or another program may send while the server runs the request; none proves that it hasn't. */
const UNPROVED_HEADS: Readonly<Record<string, (requestId: string) => string>> = {
  'a bare 429': () => 'HTTP/1.1 429 Too Many\r\n',
  'a bare 421': () => 'HTTP/1.1 421 Misdirected\r\n',
  'a bare 503': () => 'HTTP/1.1 503 Full\r\n',
  'a 429 for the request': (id) => `HTTP/1.1 429 Too Many\r\nRequest-Id: ${id}\r\n`,
  'a signed 429': (id) => `HTTP/1.1 429 Too Many\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\n`,
  'a signed 503': (id) => `HTTP/1.1 503 Full\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\n`,
  'a success that states that nothing ran': () => 'HTTP/1.1 200 OK\r\nNot-Executed: 1\r\n',
};

async function checkUnprovedHeads(
  context: TestContext,
  { isEngine, path }: { readonly isEngine: boolean; readonly path: string },
): Promise<void> {
  // A server is not used for a while after such answers, so that each head has another one.
  const servers = Object.keys(UNPROVED_HEADS).length + 1;
  const started = await startScriptedGroup(context, { isEngine, servers });
  const { scripted, instance } = started;
  if (isEngine) await forbidResumption(started);
  const wrong: string[] = [];
  for (const [name, formatHead] of Object.entries(UNPROVED_HEADS)) {
    const countBefore = scripted.requestIds.length;
    scripted.script = ({ requestId, index }) =>
      index === countBefore
        ? {
            text: `${formatHead(requestId)}Content-Length: 0\r\nConnection: close\r\n\r\n`,
            end: 'close',
          }
        : formatAnswer(requestId);
    const { status } = await sendCallerRequest(instance, path);
    const sends = scripted.requestIds.length - countBefore;
    if (status !== 502 || sends !== 1) wrong.push(`${name}: ${status}, sent ${sends} times`);
  }
  assert.deepEqual(wrong, []);
}

// A spoiled answer with the form of a refusal ran the booking at a second server as well.
test("foreign answer: a refusal that doesn't state that nothing ran leaves open whether a call ran", (context) =>
  checkUnprovedHeads(context, { isEngine: false, path: '/bookings/1' }));

test("foreign answer: a refusal that doesn't state that nothing ran leaves open whether a stream ran", (context) =>
  checkUnprovedHeads(context, { isEngine: true, path: '/drafts/1' }));

// Another server that has taken over the address answers so and doesn't run the request.
test('foreign answer: a misdirected request is sent to another server if the answer shows who gave it', async (context) => {
  const { scripted, instance } = await startScriptedGroup(context, { isEngine: false });
  for (const line of ['Instance-Id: another', 'Not-Executed: 1', 'own id']) {
    const countBefore = scripted.requestIds.length;
    scripted.script = ({ requestId, index }) => {
      if (index > countBefore) return formatAnswer(requestId);
      const shown = line === 'own id' ? `Request-Id: ${requestId}` : line;
      const rest = 'Content-Length: 0\r\nConnection: close\r\n\r\n';
      return { text: `HTTP/1.1 421 Misdirected\r\n${shown}\r\n${rest}`, end: 'close' };
    };
    const answer = await sendCallerRequest(instance, '/bookings/1');
    assert.equal(answer.status, 200, line);
    assert.equal(scripted.requestIds.length, countBefore + 2, line);
  }
});

// Each such refusal held a connection at the server until the instance ended.
test('foreign answer: a refusal whose body never ends holds no connection', async (context) => {
  const { scripted, instance } = await startScriptedGroup(context, { isEngine: false });
  scripted.script = () => ({
    text: 'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 5\r\n\r\nhalf',
    end: 'keep',
  });
  assert.equal((await sendCallerRequest(instance, '/bookings/1')).status, 503);
  await waitUntil(() => scripted.countConnections() === 0, 'no connection is open');
});
