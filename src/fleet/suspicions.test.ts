import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSilentLogger } from '../telemetry/log.js';
import { Suspicions } from './suspicions.js';

function make() {
  const clock = { now: 0 };
  const suspicions = new Suspicions({ log: createSilentLogger(), now: () => clock.now });
  return { clock, suspicions };
}

test('suspicion: ends after its hold, once the server answers', () => {
  const { clock, suspicions } = make();
  suspicions.raise('a', 'silent');
  suspicions.clear('a');
  assert.ok(suspicions.isSuspect('a'), 'a good health check within the hold proves nothing');
  clock.now = 600;
  assert.deepEqual(suspicions.due, ['a']);
  suspicions.clear('a');
  assert.ok(!suspicions.isSuspect('a'));
});

test('suspicion: a server that goes down and up by turns is held longer each time', () => {
  const { clock, suspicions } = make();
  const holds = [1, 2, 3, 4, 5, 6].map(() => {
    const from = clock.now;
    suspicions.raise('a', 'silent');
    while (suspicions.isSuspect('a')) {
      clock.now += 100;
      suspicions.clear('a');
    }
    return clock.now - from;
  });
  assert.ok(holds.every((hold, index) => index === 0 || hold >= (holds[index - 1] ?? 0)));
  assert.ok((holds.at(-1) ?? 0) >= 8000);
});

test('suspicion: a server that fails a part of its requests behind a good health check', () => {
  const { suspicions } = make();
  suspicions.noteFailure('a', 'reset');
  suspicions.noteSuccess('a');
  suspicions.noteFailure('a', 'reset');
  assert.ok(!suspicions.isSuspect('a'));
  suspicions.noteFailure('a', 'reset');
  assert.ok(suspicions.isSuspect('a'));
});

test('suspicion: a peer’s counts, until the peer takes it back', () => {
  const { suspicions } = make();
  suspicions.acceptFrom('peer', ['a']);
  assert.ok(suspicions.isSuspect('a'));
  suspicions.acceptFrom('peer', []);
  assert.ok(!suspicions.isSuspect('a'));
});
