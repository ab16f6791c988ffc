import assert from 'node:assert/strict';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { sendBackendRequest } from '../relay/backend-request.js';
import { fetchResponse } from './http-client.js';
import { startPatientTimer } from './patient-timer.js';

const HELD_UP_MILLISECONDS = 500;

/** Keeps this process from looking at its sockets, as one that is short of processor time. */
function holdUp(): void {
  const until = performance.now() + HELD_UP_MILLISECONDS;
  while (performance.now() < until);
}

async function startServer(context: TestContext) {
  const server = http.createServer((_request, response) => response.end('answer'));
  context.after(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { host: '127.0.0.1', port: (server.address() as AddressInfo).port };
}

// The connection was made at once, but the timeout ran before the process looked at it.
test('own delay: a busy process does not take its delay for a server that cannot be connected to', async (context) => {
  const address = await startServer(context);
  const sent = sendBackendRequest({
    address,
    method: 'GET',
    target: '/',
    headers: ['Host', 'any', 'Connection', 'close'],
    body: Buffer.alloc(0),
    signal: new AbortController().signal,
  });
  holdUp();
  assert.equal((await sent).statusCode, 200);
});

test('own delay: a busy process does not take its delay for a report or a health check that is late', async (context) => {
  const address = await startServer(context);
  const fetched = fetchResponse({ address, method: 'GET', path: '/', timeoutMilliseconds: 250 });
  holdUp();
  assert.equal((await fetched).body.toString(), 'answer');
});

test('patient timer: it ends once, and not after it was cancelled', async () => {
  let count = 0;
  const cancel = startPatientTimer(1, () => assert.fail('cancelled'));
  cancel();
  await new Promise<void>((resolve) => {
    startPatientTimer(20, () => {
      count += 1;
      resolve();
    });
  });
  assert.equal(count, 1);
});
