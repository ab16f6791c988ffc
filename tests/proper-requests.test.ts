/**
 * Tests that an instance answers 3xx or 4xx only to requests that it has read and judged by the
 * configuration in force, or that a backend server has answered so.
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import { PLATFORM_CONFIGURATION, waitUntil, type PlatformGroup } from '../tools/platform-group.js';
import { runProperRequestSoak } from '../tools/proper-request-soak.js';
import { createRandom } from '../tools/random.js';
import { RawConnection } from '../tools/raw-connection.js';
import {
  createRequestId,
  getFirstInstance,
  sendCallerRequest,
  startGroup,
} from '../tools/serving-group.js';

const ANSWER_TIMEOUT_MILLISECONDS = 4000;

interface RawRequestOptions {
  readonly method?: string;
  readonly target?: string;
  readonly requestId?: string;
  readonly key?: string;
  /** Further header lines, each with its line end. */
  readonly lines?: string;
  readonly body?: string;
}

function formatRequest(options: RawRequestOptions = {}): string {
  const { method = 'GET', target = '/lookups/1', requestId = createRequestId() } = options;
  const { key = 'key-1', lines = '', body = '' } = options;
  const length = body === '' ? '' : `Content-Length: ${body.length}\r\n`;
  return (
    `${method} ${target} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: ${requestId}\r\n` +
    `Deadline-Ms: 4000\r\nApi-Key: ${key}\r\n${length}${lines}\r\n${body}`
  );
}

async function openConnection(context: TestContext, group: PlatformGroup): Promise<RawConnection> {
  const connection = await RawConnection.open(getFirstInstance(group).ports.front);
  context.after(() => connection.destroy());
  return connection;
}

function setPlainServerFault(
  group: PlatformGroup,
  fault: 'callMilliseconds' | 'unsignedStatus',
  value: number,
): void {
  group.servers
    .filter(({ kind }) => kind === undefined)
    .forEach(({ faults }) => {
      faults[fault] = value;
    });
}

test('proper requests: a lookup that is being served is answered, whatever bytes follow it on its connection', async (context) => {
  const group = await startGroup(context);
  setPlainServerFault(group, 'callMilliseconds', 200);
  const connection = await openConnection(context, group);
  connection.write(formatRequest({ lines: 'Connection: close\r\n' }));
  await sleep(50);
  connection.write('these bytes are no request\r\n\r\n');
  const response = await connection.readResponse(ANSWER_TIMEOUT_MILLISECONDS);
  assert.equal(response?.status, 200);
  assert.match(response.head, /^response-signature: /im);
  assert.ok(response.isComplete);
});

test('proper requests: a stream that has begun is completed, whatever bytes follow its request', async (context) => {
  const group = await startGroup(context);
  const connection = await openConnection(context, group);
  connection.write(formatRequest({ method: 'POST', target: '/drafts/1' }));
  await sleep(60);
  connection.write('these bytes are no request\r\n\r\n');
  const response = await connection.readResponse(ANSWER_TIMEOUT_MILLISECONDS);
  assert.equal(response?.status, 200);
  assert.ok(response.isComplete);
  assert.match(response.body, /id: 8\n/);
  assert.equal(await connection.readResponse(1000), undefined);
  assert.ok(connection.isClosed);
});

test('proper requests: a lookup that is followed by other bytes is cancelled when its caller leaves', async (context) => {
  const group = await startGroup(context);
  setPlainServerFault(group, 'callMilliseconds', 2000);
  const connection = await openConnection(context, group);
  const requestId = createRequestId();
  connection.write(formatRequest({ requestId, lines: 'Connection: close\r\n' }));
  await sleep(50);
  connection.write('these bytes are no request\r\n\r\n');
  await sleep(50);
  connection.destroy();
  await waitUntil(
    () =>
      new RegExp(`"requestId":"${requestId}".*"outcome":"callerGone"`).test(
        getFirstInstance(group).log.join(''),
      ),
    'the instance notices that the caller left',
  );
});

test('proper requests: a body that does not parse is answered 400', async (context) => {
  const group = await startGroup(context);
  const connection = await openConnection(context, group);
  connection.write(
    formatRequest({
      method: 'POST',
      target: '/bookings/1',
      lines: 'Transfer-Encoding: chunked\r\n',
    }),
  );
  await sleep(50);
  connection.write('no chunk\r\n');
  assert.equal((await connection.readResponse(ANSWER_TIMEOUT_MILLISECONDS))?.status, 400);
});

test('proper requests: a lookup is answered and its connection ends when the body of the request after it does not parse', async (context) => {
  const group = await startGroup(context);
  setPlainServerFault(group, 'callMilliseconds', 200);
  const connection = await openConnection(context, group);
  const lines = 'Transfer-Encoding: chunked\r\n';
  connection.write(formatRequest() + formatRequest({ method: 'POST', lines }));
  await sleep(50);
  connection.write('no chunk\r\n');
  assert.equal((await connection.readResponse(ANSWER_TIMEOUT_MILLISECONDS))?.status, 200);
  assert.equal(await connection.readResponse(1000), undefined);
  assert.ok(connection.isClosed);
});

test('proper requests: bytes that are no request end a reused connection without an answer', async (context) => {
  const group = await startGroup(context);
  const connection = await openConnection(context, group);
  connection.write(formatRequest());
  assert.equal((await connection.readResponse(ANSWER_TIMEOUT_MILLISECONDS))?.status, 200);
  connection.write('these bytes are no request\r\n\r\n');
  assert.equal(await connection.readResponse(1000), undefined);
  assert.ok(connection.isClosed);
});

test('proper requests: bytes that are no request are answered 400 on a new connection, and logged', async (context) => {
  const group = await startGroup(context);
  const connection = await openConnection(context, group);
  connection.write('these bytes are no request\r\n\r\n');
  assert.equal((await connection.readResponse(ANSWER_TIMEOUT_MILLISECONDS))?.status, 400);
  await waitUntil(
    () => /HPE_INVALID_METHOD.*"status":400/.test(getFirstInstance(group).log.join('')),
    'the rejection is logged with its code and status',
  );
});

test('proper requests: a request whose sender leaves within its head is not answered 400', async (context) => {
  const group = await startGroup(context);
  const connection = await openConnection(context, group);
  connection.write(formatRequest().slice(0, 40));
  await sleep(50);
  connection.end();
  assert.equal(await connection.readResponse(1000), undefined);
  assert.ok(connection.isClosed);
});

for (const status of [301, 404]) {
  test(`proper requests: a lookup is retried when something else answers ${status} at a server's address`, async (context) => {
    const group = await startGroup(context);
    const [stranger] = group.servers.filter(({ kind }) => kind === undefined);
    assert.ok(stranger);
    stranger.faults.unsignedStatus = status;
    for (let count = 0; count < 8; count += 1) {
      const answer = await sendCallerRequest(getFirstInstance(group), '/lookups/1', {
        method: 'GET',
      });
      assert.equal(answer.status, 200);
    }
  });
}

test('proper requests: a booking that something else answers 404 or 503 is reported as unknown, not as wrong or not run', async (context) => {
  const group = await startGroup(context);
  for (const status of [404, 503]) {
    setPlainServerFault(group, 'unsignedStatus', status);
    const answer = await sendCallerRequest(getFirstInstance(group), '/bookings/1');
    assert.equal(answer.status, 502, `after ${status}`);
  }
});

test('proper requests: a lookup that something else answers at every address is not taken for one that crashes servers', async (context) => {
  const group = await startGroup(context, { plainServers: 3 });
  const lookUp = async (): Promise<number> =>
    (await sendCallerRequest(getFirstInstance(group), '/lookups/1', { method: 'GET' })).status;
  setPlainServerFault(group, 'unsignedStatus', 404);
  for (let count = 0; count < 6; count += 1) assert.notEqual(await lookUp(), 404);
  setPlainServerFault(group, 'unsignedStatus', 0);
  await waitUntil(async () => (await lookUp()) === 200, 'the lookup is served again');
});

test("proper requests: a stream that something else answers 404 at its engines' addresses is not answered 404", async (context) => {
  const group = await startGroup(context);
  group.servers.forEach(({ faults }) => {
    faults.unsignedStatus = 404;
  });
  const answer = await sendCallerRequest(getFirstInstance(group), '/drafts/1');
  assert.equal(answer.status, 502);
});

test('proper requests: a key of a newer configuration that arrives while the body is read is accepted', async (context) => {
  const group = await startGroup(context);
  const connection = await openConnection(context, group);
  const body = 'x'.repeat(1000);
  const request = formatRequest({ method: 'POST', target: '/bookings/1', key: 'key-9', body });
  connection.write(request.slice(0, -10));
  await sleep(100);
  const [planner, dealer] = PLATFORM_CONFIGURATION.tenants;
  const tenants = [planner, { ...dealer, 'api-keys': ['key-3', 'key-9'] }];
  group.store.put('config', 'main', { ...PLATFORM_CONFIGURATION, version: 2, tenants });
  await waitUntil(
    async () =>
      (await sendCallerRequest(getFirstInstance(group), '/bookings/1', { key: 'key-9' })).status ===
      200,
    'the new key is known',
  );
  connection.write(request.slice(-10));
  assert.equal((await connection.readResponse(ANSWER_TIMEOUT_MILLISECONDS))?.status, 200);
});

// A change of the configuration is in force within 10 s; an instance that cannot know it has to say so.
test('proper requests: 10 s after the store has fallen silent, no key of a newer configuration is denied', async (context) => {
  const group = await startGroup(context, { instances: 2 });
  group.store.faults.neverAnswers = true;
  const [planner, dealer] = PLATFORM_CONFIGURATION.tenants;
  const tenants = [planner, { ...dealer, 'api-keys': ['key-3', 'key-9'] }];
  group.store.put('config', 'main', { ...PLATFORM_CONFIGURATION, version: 2, tenants });
  await sleep(10_000);
  const answers = await Promise.all(
    group.instances.map((instance) =>
      sendCallerRequest(instance, '/lookups/1', { method: 'GET', key: 'key-9' }),
    ),
  );
  assert.deepEqual(
    answers.map(({ status }) => status),
    [503, 503],
  );
});

test('proper requests: a request whose target names scheme and host is routed by its host and path', async (context) => {
  const group = await startGroup(context);
  const connection = await openConnection(context, group);
  connection.write(formatRequest({ target: 'http://site.example/lookups/1?page=2' }));
  const response = await connection.readResponse(ANSWER_TIMEOUT_MILLISECONDS);
  assert.equal(response?.status, 200);
});

test('proper requests: an expectation that the instance does not know is ignored', async (context) => {
  const group = await startGroup(context);
  const connection = await openConnection(context, group);
  connection.write(formatRequest({ lines: 'Expect: later\r\n' }));
  const response = await connection.readResponse(ANSWER_TIMEOUT_MILLISECONDS);
  assert.equal(response?.status, 200);
});

test('proper requests: none is denied while instances freeze, die and stop, the store fails and servers misbehave, from a seed', async (context) => {
  const group = await startGroup(context, { instances: 4, plainServers: 3 });
  const result = await runProperRequestSoak({
    group,
    random: createRandom(Number(process.env.SEED ?? 24)),
    seconds: Number(process.env.SECONDS ?? 20),
    callers: 16,
  });
  const served = result.answers[200] ?? 0;
  context.diagnostic(JSON.stringify(result.answers));
  assert.deepEqual(result.denied, [], result.faults.join('\n'));
  assert.ok(served > 200, `only ${served} requests were served`);
});

test('proper requests: none is denied while the store comes back from older copies beside other faults, from a seed', async (context) => {
  const group = await startGroup(context, { instances: 4, plainServers: 3 });
  const result = await runProperRequestSoak({
    group,
    random: createRandom(Number(process.env.SEED ?? 25)),
    seconds: Number(process.env.SECONDS ?? 20),
    callers: 16,
    faultNames: [
      'the store comes back from an older copy',
      'the store comes back from an older copy',
      'the store is down',
      'the configuration changes',
      'an instance freezes',
      'an instance is killed',
      'a server leaves',
    ],
  });
  context.diagnostic(JSON.stringify(result.answers));
  assert.ok(result.faults.some((fault) => fault.endsWith('an older copy')));
  assert.deepEqual(result.denied, [], result.faults.join('\n'));
  assert.ok((result.answers[200] ?? 0) > 200, JSON.stringify(result.answers));
});
