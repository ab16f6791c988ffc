import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSilentLogger } from '../telemetry/log.js';
import { BackendFleet } from './backend-fleet.js';
import type { ServerEntry } from './server-entry.js';
import { ServerLimits } from './server-limits.js';
import { StatementRecorder, type ServerStatements } from './server-statements.js';

const ENTRY: ServerEntry = {
  id: 'server',
  service: 'service',
  address: { host: '127.0.0.1', port: 1 },
  dataCentre: 'dc',
  slots: 1,
  isLeaving: false,
  kind: undefined,
  layers: undefined,
};

const NOTHING: ServerStatements = {
  serverId: undefined,
  requestsPerSecond: undefined,
  isLeaving: false,
  pauseMilliseconds: undefined,
  malformed: {},
};

function createRecorder() {
  const log = createSilentLogger();
  const fleet = new BackendFleet({ log });
  fleet.put(ENTRY, 1);
  const serverLimits = new ServerLimits({ instance: 'instance', listPeers: () => [], log });
  return { fleet, serverLimits, recorder: new StatementRecorder({ fleet, serverLimits, log }) };
}

test('statements: what another server says at the address is not taken for the word of this one', () => {
  const { fleet, recorder } = createRecorder();
  const statements = { ...NOTHING, isLeaving: true, pauseMilliseconds: 1000 };
  recorder.record({ entry: ENTRY, status: 421, statements });
  recorder.record({ entry: ENTRY, status: 503, statements: { ...statements, serverId: 'other' } });
  assert.equal(fleet.listForService('service').length, 1);
  assert.equal(fleet.find('server')?.ownWord.pausedUntil, 0);
  recorder.record({ entry: ENTRY, status: 503, statements: { ...statements, serverId: 'server' } });
  assert.equal(fleet.listForService('service').length, 0);
  assert.ok((fleet.find('server')?.ownWord.pausedUntil ?? 0) > performance.now());
});

test('statements: a pause needs a refusal', () => {
  const { fleet, recorder } = createRecorder();
  recorder.record({
    entry: ENTRY,
    status: 429,
    statements: { ...NOTHING, pauseMilliseconds: 1000 },
  });
  assert.equal(fleet.find('server')?.ownWord.pausedUntil, 0);
});

test('statements: an answer to a health check that names no limit does not end one', () => {
  const { serverLimits, recorder } = createRecorder();
  const limited = { ...NOTHING, requestsPerSecond: 0.5 };
  recorder.record({ entry: ENTRY, status: 200, statements: limited, requestId: 'request' });
  for (let sent = 0; sent < 10; sent += 1) serverLimits.recordSend('server');
  recorder.record({ entry: ENTRY, status: 200, statements: NOTHING });
  assert.ok(!serverLimits.hasRoom('server'));
  recorder.record({ entry: ENTRY, status: 200, statements: NOTHING, requestId: 'request' });
  assert.ok(serverLimits.hasRoom('server'));
});
