import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSilentLogger } from '../telemetry/log.js';
import { OutlierEjection } from './outlier-ejection.js';

function createEjection() {
  const clock = { now: 0 };
  const ejection = new OutlierEjection({ log: createSilentLogger(), now: () => clock.now });
  return { clock, ejection };
}

test('ejection: ends when the hold time has elapsed and the server passes a health check', () => {
  const { clock, ejection } = createEjection();
  ejection.eject('a', 'no answer');
  ejection.readmitIfHoldElapsed('a');
  assert.ok(
    ejection.isEjected('a'),
    'a health check passed within the hold time must not readmit the server',
  );
  clock.now = 600;
  assert.deepEqual(ejection.dueForHealthCheck, ['a']);
  ejection.readmitIfHoldElapsed('a');
  assert.ok(!ejection.isEjected('a'));
});

test('ejection: a server that alternately fails and recovers is held longer each time', () => {
  const { clock, ejection } = createEjection();
  const holds = [1, 2, 3, 4, 5, 6].map(() => {
    const from = clock.now;
    ejection.eject('a', 'no answer');
    while (ejection.isEjected('a')) {
      clock.now += 100;
      ejection.readmitIfHoldElapsed('a');
    }
    return clock.now - from;
  });
  assert.ok(holds.every((hold, index) => index === 0 || hold >= (holds[index - 1] ?? 0)));
  assert.ok((holds.at(-1) ?? 0) >= 8000);
});

test('ejection: a server that passes health checks but fails some requests is ejected', () => {
  const { ejection } = createEjection();
  ejection.recordFailure('a', 'connection reset');
  ejection.recordSuccess('a');
  ejection.recordFailure('a', 'connection reset');
  assert.ok(!ejection.isEjected('a'));
  ejection.recordFailure('a', 'connection reset');
  assert.ok(ejection.isEjected('a'));
});

test('ejection: an ejection by a peer counts until the peer withdraws it', () => {
  const { ejection } = createEjection();
  ejection.replacePeerEjections('peer', [{ id: 'a', cause: 'unreachable', at: 0 }]);
  assert.ok(ejection.isEjected('a'));
  ejection.replacePeerEjections('peer', []);
  assert.ok(!ejection.isEjected('a'));
});

// Instances that were cut from all servers ejected them for all others.
test('ejection: a peer that cannot reach a server is not believed where the server was heard from since', () => {
  const { clock, ejection } = createEjection();
  const unreachable = [{ id: 'a', cause: 'unreachable', at: 100 }] as const;
  ejection.recordLife('a');
  ejection.replacePeerEjections('peer', unreachable);
  assert.ok(ejection.isEjected('a'));
  clock.now = 200;
  ejection.recordLife('a');
  assert.ok(!ejection.isEjected('a'));
  ejection.replacePeerEjections('peer', [{ id: 'a', cause: 'unreachable', at: 300 }]);
  assert.ok(ejection.isEjected('a'));
});

test('ejection: a peer is believed that a server is at fault, also where it was heard from since', () => {
  const { clock, ejection } = createEjection();
  ejection.replacePeerEjections('peer', [{ id: 'a', cause: 'faulty', at: 0 }]);
  clock.now = 200;
  ejection.recordLife('a');
  assert.ok(ejection.isEjected('a'));
});
