import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSilentLogger } from '../telemetry/log.js';
import { OutlierEjection } from './outlier-ejection.js';

function make() {
  const clock = { now: 0 };
  const suspicions = new OutlierEjection({ log: createSilentLogger(), now: () => clock.now });
  return { clock, suspicions };
}

test('suspicion: ends after its hold, once the server answers', () => {
  const { clock, suspicions } = make();
  suspicions.eject('a', 'silent');
  suspicions.readmitIfHoldElapsed('a');
  assert.ok(suspicions.isEjected('a'), 'a good health check within the hold proves nothing');
  clock.now = 600;
  assert.deepEqual(suspicions.dueForHealthCheck, ['a']);
  suspicions.readmitIfHoldElapsed('a');
  assert.ok(!suspicions.isEjected('a'));
});

test('suspicion: a server that goes down and up by turns is held longer each time', () => {
  const { clock, suspicions } = make();
  const holds = [1, 2, 3, 4, 5, 6].map(() => {
    const from = clock.now;
    suspicions.eject('a', 'silent');
    while (suspicions.isEjected('a')) {
      clock.now += 100;
      suspicions.readmitIfHoldElapsed('a');
    }
    return clock.now - from;
  });
  assert.ok(holds.every((hold, index) => index === 0 || hold >= (holds[index - 1] ?? 0)));
  assert.ok((holds.at(-1) ?? 0) >= 8000);
});

test('suspicion: a server that fails a part of its requests behind a good health check', () => {
  const { suspicions } = make();
  suspicions.recordFailure('a', 'reset');
  suspicions.recordSuccess('a');
  suspicions.recordFailure('a', 'reset');
  assert.ok(!suspicions.isEjected('a'));
  suspicions.recordFailure('a', 'reset');
  assert.ok(suspicions.isEjected('a'));
});

test('suspicion: a peer’s counts, until the peer takes it back', () => {
  const { suspicions } = make();
  suspicions.replacePeerEjections('peer', ['a']);
  assert.ok(suspicions.isEjected('a'));
  suspicions.replacePeerEjections('peer', []);
  assert.ok(!suspicions.isEjected('a'));
});
