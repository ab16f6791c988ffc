/**
 * Tests that invalid input is answered with a specific error code, leaves no request open, and
 * does not keep the instance from serving other requests.
 */
import assert from 'node:assert/strict';
import net from 'node:net';
import { test, type TestContext } from 'node:test';
import fc from 'fast-check';
import { sleep } from '../src/common/clock.js';
import { encodeMessage } from '../src/peer/messages.js';
import { PeerClient } from '../src/peer/peer-client.js';
import { sendRequest, createIdempotencyKey, requestStream } from '../tools/caller.js';
import { tryFetchJson, waitFor } from '../tools/daemon-group.js';
import { startFleet, type Fleet } from '../tools/fleet.js';
import { RawConnection } from '../tools/raw-connection.js';

const BOOKINGS_PATH = '/v1/services/bookings/movers';

async function startSingleInstanceFleet(context: TestContext): Promise<Fleet> {
  const fleet = await startFleet({
    instances: [{ dataCentre: 'dc-a' }],
    engines: [{ stepMilliseconds: 20 }],
    services: [{ service: 'bookings' }],
    settings: {
      timeLimits: { callerRequest: 600 },
      sizeLimits: { bodyBytes: 2048, headerBytes: 4096 },
    },
  });
  context.after(() => fleet.stop());
  return fleet;
}

async function waitUntilNoOpenRequests(fleet: Fleet): Promise<void> {
  await waitFor('no request is open', async () => {
    const status = await tryFetchJson<{ openRequests: number }>(
      fleet.first.operatorAddress,
      '/v1/status',
    );
    return status?.openRequests === 0;
  });
}

function sendRawText(fleet: Fleet, text: string): Promise<string> {
  return new Promise((resolve) => {
    let received = '';
    const socket = net.connect(fleet.first.callerAddress.port, '127.0.0.1', () =>
      socket.write(text),
    );
    socket.on('data', (chunk) => {
      received += chunk.toString();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received));
    socket.setTimeout(5000, () => socket.destroy());
  });
}

test('bad input: each kind of invalid request is answered with its error code', async (context) => {
  const fleet = await startSingleInstanceFleet(context);
  const { callerAddress: caller } = fleet.first;
  const postCompletion = (body: string, headers = {}, account = 'planner') =>
    sendRequest(caller, 'POST', '/v1/completions', body, { headers, account });
  const postBooking = (key: string, body = '') =>
    sendRequest(caller, 'POST', BOOKINGS_PATH, body, { headers: { 'idempotency-key': key } });
  const body = JSON.stringify({ model: 'drafting', prompt: 'x', max_tokens: 2 });
  const cases: [string, number, ReturnType<typeof postCompletion>][] = [
    ['malformed_json', 400, postCompletion('{"model":')],
    [
      'invalid_request',
      400,
      postCompletion('{"model":"drafting","prompt":"x","max_tokens":-1,"a":1}'),
    ],
    ['unknown_model', 404, postCompletion(body.replace('drafting', 'other'))],
    ['unknown_model', 404, postCompletion(body.replace('drafting', '__proto__'))],
    ['unknown_account', 401, postCompletion(body, {}, 'nobody')],
    ['body_too_large', 413, postCompletion(JSON.stringify({ prompt: 'x'.repeat(5000) }))],
    ['invalid_event_id', 400, postCompletion(body, { 'last-event-id': '1.2.3' })],
    ['invalid_key', 400, postBooking('a key without a time')],
    [
      'invalid_key',
      400,
      postBooking(createIdempotencyKey('from-the-future', Date.now() + 3_600_000)),
    ],
    [
      'key_expired',
      504,
      postBooking(createIdempotencyKey('long-ago', Date.now() - 25 * 3_600_000)),
    ],
    ['unknown_service', 404, sendRequest(caller, 'POST', '/v1/services/constructor/x')],
    ['method_not_allowed', 405, sendRequest(caller, 'GET', '/v1/completions')],
    ['unknown_path', 404, sendRequest(caller, 'GET', '/v2/completions')],
  ];
  for (const [code, status, pendingAnswer] of cases) {
    const answer = await pendingAnswer;
    assert.equal(JSON.parse(answer.body).code, code);
    assert.equal(answer.status, status, code);
  }
  const key = createIdempotencyKey('one-request');
  assert.equal((await postBooking(key, 'Monday')).outcome, 'completed');
  assert.equal(JSON.parse((await postBooking(key, 'Tuesday')).body).code, 'key_reused');
  assert.equal(fleet.journal.length, 1);
  await waitUntilNoOpenRequests(fleet);
});

test('bad input: oversized heads, incomplete heads and bodies, and bytes that are not HTTP', async (context) => {
  const fleet = await startSingleInstanceFleet(context);
  const head = 'POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Client-Account: planner\r\n';
  const [oversizedHead, stalledHead, stalledBody, invalidBytes] = await Promise.all([
    sendRawText(fleet, `${head}X-Long: ${'y'.repeat(10_000)}\r\n\r\n`),
    sendRawText(fleet, head),
    sendRawText(fleet, `${head}Content-Length: 100\r\n\r\n{"model"`),
    sendRawText(fleet, '\u0000\u0001 what is this\r\n\r\n'),
  ]);
  assert.match(oversizedHead, /^HTTP\/1\.1 431/);
  assert.match(stalledHead, /^HTTP\/1\.1 408/);
  assert.match(stalledBody, /^HTTP\/1\.1 (408|400)/);
  assert.match(invalidBytes, /^HTTP\/1\.1 400/);
  await waitUntilNoOpenRequests(fleet);
  const answer = await requestStream(fleet.first.callerAddress, {
    model: 'drafting',
    prompt: 'x',
    max_tokens: 2,
  });
  assert.equal(answer.outcome, 'completed');
});

test('bad input: a generation that is under way is answered, whatever bytes follow its request', async (context) => {
  const fleet = await startSingleInstanceFleet(context);
  const connection = await RawConnection.open(fleet.first.callerAddress.port);
  context.after(() => connection.destroy());
  const body = JSON.stringify({ model: 'drafting', prompt: 'x', max_tokens: 15 });
  connection.write(
    'POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Client-Account: planner\r\n' +
      `Content-Type: application/json\r\nConnection: close\r\n` +
      `Content-Length: ${body.length}\r\n\r\n${body}`,
  );
  await sleep(60);
  connection.write('these bytes are no request\r\n\r\n');
  assert.equal((await connection.readResponse(5000))?.status, 200);
  await waitUntilNoOpenRequests(fleet);
});

test('bad input: the generation of a caller that disconnects is cancelled on the engine', async (context) => {
  const fleet = await startSingleInstanceFleet(context);
  const abortController = new AbortController();
  const body = { model: 'drafting', prompt: 'x', max_tokens: 1000 };
  await requestStream(fleet.first.callerAddress, body, {
    signal: abortController.signal,
    onToken: (count) => {
      if (count === 3) abortController.abort();
    },
  });
  await waitFor(
    'the engine runs no generation',
    () => fleet.engines[0]?.countRunningGenerations() === 0,
    2000,
  );
  await waitUntilNoOpenRequests(fleet);
});

test('bad input: an instance still serves requests after arbitrary requests and peer messages', async (context) => {
  const fleet = await startSingleInstanceFleet(context);
  const { callerAddress: caller, peerAddress: peer } = fleet.first;
  const paths = fc.constantFrom(
    '/v1/completions',
    BOOKINGS_PATH,
    '/v1/tickets',
    '/v1/addresses?account=%00',
  );
  const headerSets = fc.record(
    {
      'idempotency-key': fc.stringMatching(/^[ -~]{0,40}$/),
      'last-event-id': fc.stringMatching(/^[0-9a-f.~%]{0,40}$/),
      'x-deadline-milliseconds': fc.stringMatching(/^[0-9eE.+-]{0,8}$/),
    },
    { requiredKeys: [] },
  );
  const bodies = fc.oneof(
    fc.string({ maxLength: 200 }),
    fc.json({ maxDepth: 3 }),
    fc
      .record({
        model: fc.constant('drafting'),
        prompt: fc.string(),
        max_tokens: fc.integer({ max: 3 }),
      })
      .map((request) => JSON.stringify(request)),
  );
  await fc.assert(
    fc.asyncProperty(paths, headerSets, bodies, async (path, headers, body) => {
      const answer = await sendRequest(caller, 'POST', path, body, { headers });
      assert.ok(answer.status >= 200 && answer.status < 600, `${answer.status} ${answer.body}`);
    }),
    { seed: 7, numRuns: 150 },
  );
  const client = new PeerClient(peer);
  await fc.assert(
    fc.asyncProperty(fc.anything(), async (message) => {
      await client.call('exchange', message as never, 1000).catch(() => undefined);
      await client.call('claim', message as never, 1000).catch(() => undefined);
    }),
    { seed: 7, numRuns: 100 },
  );
  assert.ok(encodeMessage({}).length > 0);
  client.close();
  await sleep(100);
  const answer = await requestStream(caller, { model: 'drafting', prompt: 'x', max_tokens: 2 });
  assert.equal(answer.outcome, 'completed');
  await waitUntilNoOpenRequests(fleet);
});
