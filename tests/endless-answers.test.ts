/** Tests that answers without an end are cut off by size or time, and take nothing else along. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { fetchResponse } from '../src/common/http-client.js';
import { sendBackendRequest } from '../src/relay/backend-request.js';
import { checkHealth } from '../src/fleet/health-check.js';
import { createProtocolAdapter } from '../platform/protocol-adapter.js';
import { waitUntil } from '../tools/platform-group.js';
import { getFirstInstance, sendCallerRequest, startGroup } from '../tools/serving-group.js';
import {
  startEndlessServer,
  type EndlessPart,
  type EndlessServer,
} from '../tools/stand-ins/endless-server.js';

const PARTS: readonly EndlessPart[] = ['garbage', 'headers', 'interim', 'body', 'event'];
const MEBIBYTE = 1_048_576;
/** What the kernel's buffers at both ends of a connection may hold beyond what is read. */
const SOCKET_BUFFER_BYTES = 40 * MEBIBYTE;
/** More than any proper answer of these services has. */
const LARGEST_ANSWER_BYTES = 8 * MEBIBYTE;

function findLargest({ written }: EndlessServer): number {
  return Math.max(0, ...written);
}

async function startGroupWithEndlessServer(context: TestContext, isEngine: boolean) {
  const group = await startGroup(context, { plainServers: 1 });
  const endless = await startEndlessServer(context);
  const proper = group.servers.filter(({ kind }) => (kind !== undefined) === isEngine);
  // The endless server takes the place of all others, so that each request reaches it.
  proper.forEach(({ id }) => group.store.remove('servers', id));
  group.store.put('servers', 'endless', {
    service: isEngine ? 'drafter' : 'casebook',
    address: `127.0.0.1:${endless.port}`,
    zone: 'zone-a',
    slots: 20,
    state: 'ready',
    ...(isEngine ? { kind: 'card', layers: { from: 0, to: 8, version: 1 } } : {}),
  });
  const instance = getFirstInstance(group);
  await waitUntil(() => {
    const log = instance.log.join('');
    return (
      log.includes('"endless"') && proper.every(({ id }) => log.includes(`"id":"${id}","revision"`))
    );
  }, 'only the endless server is registered');
  return { group, endless, instance };
}

async function checkEndlessAnswer(
  context: TestContext,
  options: { readonly isEngine: boolean; readonly part: EndlessPart; readonly path: string },
): Promise<void> {
  const { isEngine, part, path } = options;
  const { endless, instance } = await startGroupWithEndlessServer(context, isEngine);
  endless.part = part;
  const answer = await sendCallerRequest(instance, path);
  assert.equal(answer.status, 502, 'it may have run');
  await waitUntil(() => endless.openConnections() === 0, 'the connection is closed');
  const largest = findLargest(endless);
  assert.ok(largest > MEBIBYTE);
  assert.ok(largest <= LARGEST_ANSWER_BYTES + SOCKET_BUFFER_BYTES, `${largest}`);
}

// The answer was kept whole until the route's time was up: as much memory as the link brings.
test('endless answer: a call ends with an honest outcome, the connection is closed, memory is bounded', (context) =>
  checkEndlessAnswer(context, { isEngine: false, part: 'body', path: '/bookings/1' }));

test('endless answer: a stream ends, the connection is closed, memory is bounded', (context) =>
  checkEndlessAnswer(context, { isEngine: true, part: 'event', path: '/drafts/1' }));

test('endless answer: a head that never ends fails by size, or by time when the caller cancels', async (context) => {
  const endless = await startEndlessServer(context);
  for (const part of ['garbage', 'headers', 'interim'] as const) {
    endless.part = part;
    const sent = sendBackendRequest({
      address: { host: '127.0.0.1', port: endless.port },
      method: 'POST',
      target: '/',
      headers: ['Host', 'any', 'Connection', 'close'],
      body: Buffer.alloc(0),
      signal: AbortSignal.timeout(500),
    });
    await assert.rejects(sent, { phase: 'sent' }, part);
    await waitUntil(() => endless.openConnections() === 0, `${part}: the connection is closed`);
  }
});

test('endless answer: a health check and a report end by size and by time, and close their connections', async (context) => {
  const endless = await startEndlessServer(context);
  const address = { host: '127.0.0.1', port: endless.port };
  for (const part of PARTS) {
    endless.part = part;
    assert.equal((await checkHealth(address, '/health')).health, 'unhealthy', part);
    await assert.rejects(createProtocolAdapter().fetchEngineReport(address, 250), part);
    await waitUntil(() => endless.openConnections() === 0, `${part}: the connection is closed`);
  }
  assert.ok(findLargest(endless) <= 2 * MEBIBYTE + SOCKET_BUFFER_BYTES);
});

test('endless answer: other calls end by size too', async (context) => {
  const endless = await startEndlessServer(context);
  const address = { host: '127.0.0.1', port: endless.port };
  const fetched = fetchResponse({ address, method: 'GET', path: '/', timeoutMilliseconds: 60_000 });
  await assert.rejects(fetched, /too long/);
  await waitUntil(() => endless.openConnections() === 0, 'the connection is closed');
});
