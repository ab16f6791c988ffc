import assert from 'node:assert/strict';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { createProtocolAdapter } from '../../platform/protocol-adapter.js';
import { BackendFleet } from '../fleet/backend-fleet.js';
import { OutlierEjection } from '../fleet/outlier-ejection.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import { createSilentLogger } from '../telemetry/log.js';
import { ServerHealth } from './server-health.js';

/** Longer than an ejection holds. */
const HOLD_MILLISECONDS = 3_600_000;

async function startHealthyServer(
  context: TestContext,
  id: string | undefined,
): Promise<ServerEntry> {
  const server = http.createServer((_, response) => {
    response.writeHead(200, id === undefined ? {} : { 'instance-id': id }).end();
  });
  context.after(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    id: 'known',
    service: 'service',
    address: { host: '127.0.0.1', port: (server.address() as AddressInfo).port },
    dataCentre: 'one',
    slots: 1,
    isLeaving: false,
    kind: undefined,
    layers: undefined,
  };
}

/** Checks the health of an ejected server, at whose address another one may answer or be registered. */
async function checkEjectedServer(
  context: TestContext,
  answererId: string | undefined,
  { isKnownToHaveEnded = true, otherId = '' } = {},
) {
  const log = createSilentLogger();
  let now = 0;
  const fleet = new BackendFleet({ log });
  const outlierEjection = new OutlierEjection({ log, now: () => now });
  const entry = await startHealthyServer(context, answererId);
  // One revision: the list doesn't tell which of the two is the newer.
  if (otherId !== '') fleet.put({ ...entry, id: otherId }, 1);
  fleet.put(entry, 1);
  if (isKnownToHaveEnded) fleet.recordEnd(entry, 'refused');
  outlierEjection.eject(entry.id, 'refused');
  now += HOLD_MILLISECONDS;
  const health = new ServerHealth({
    fleet,
    outlierEjection,
    endCheck: { recordRefusal: () => Promise.resolve() },
    serverLimits: { retain: () => undefined },
    statements: { record: () => undefined },
    protocol: createProtocolAdapter(),
    callTimes: { retain: () => undefined },
    configuration: { current: undefined },
  });
  await health.checkEjectedServers();
  return { hasEnded: fleet.hasEnded(entry.id), isEjected: outlierEjection.isEjected(entry.id) };
}

test('server health: a server that answers itself is alive and readmitted', async (context) => {
  const { hasEnded, isEjected } = await checkEjectedServer(context, 'known');
  assert.deepEqual({ hasEnded, isEjected }, { hasEnded: false, isEjected: false });
});

// The health of a server that had taken over the address withdrew the end of the one before it.
test('server health: the answer of another server at the address says nothing of the one that is checked', async (context) => {
  const { hasEnded, isEjected } = await checkEjectedServer(context, 'another');
  assert.deepEqual({ hasEnded, isEjected }, { hasEnded: true, isEjected: true });
});

test('server health: an answer without an id readmits a server, but does not show that its process lives', async (context) => {
  const { hasEnded, isEjected } = await checkEjectedServer(context, undefined);
  assert.deepEqual({ hasEnded, isEjected }, { hasEnded: true, isEjected: false });
});

// Runs on it counted as runs on a live server until its entry lapsed.
test('server health: the answer of another server shows the end of the one that is checked if it is registered there', async (context) => {
  const isKnownToHaveEnded = false;
  const registered = { isKnownToHaveEnded, otherId: 'another' };
  assert.ok((await checkEjectedServer(context, 'another', registered)).hasEnded);
  const unknown = { isKnownToHaveEnded, otherId: 'a third one' };
  assert.ok(!(await checkEjectedServer(context, 'another', unknown)).hasEnded);
  assert.ok(!(await checkEjectedServer(context, undefined, registered)).hasEnded);
  assert.ok(!(await checkEjectedServer(context, 'known', registered)).hasEnded);
});
