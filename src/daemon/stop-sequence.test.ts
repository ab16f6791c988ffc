import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { finishRequests, planStop } from './stop-sequence.js';

// What is still open when the process is killed has no answer.
test('stop sequence: requests are ended, and connections closed, before the platform kills the process', () => {
  const times = fc.record({
    startedAt: fc.double({ min: 0, max: 1e9, noNaN: true }),
    timeoutMilliseconds: fc.integer({ min: 1, max: 60_000 }),
    addressLifetimeMilliseconds: fc.integer({ min: 0, max: 5000 }),
  });
  fc.assert(
    fc.property(times, (options) => {
      const { mustFinishBy, closeAt } = planStop(options);
      assert.ok(mustFinishBy < closeAt);
      assert.ok(closeAt < options.startedAt + options.timeoutMilliseconds);
    }),
  );
});

/** A server with one request that ends only when it is ended, or never. */
function createServer(isAnswered: boolean) {
  const calls: string[] = [];
  let open = 1;
  return {
    calls,
    openRequests: () => open,
    closeIdleConnections: () => calls.push('closeIdle'),
    endRequests: () => {
      calls.push('end');
      if (isAnswered) open = 0;
    },
  };
}

// A caller that doesn't read its answer must not hold the process until it is killed.
test('stop sequence: what is unfinished is ended once, and waited for a limited time', async () => {
  for (const isAnswered of [true, false]) {
    const server = createServer(isAnswered);
    const startedAt = performance.now();
    const times = { cachedUntil: startedAt, mustFinishBy: startedAt + 60, closeAt: startedAt + 90 };
    const result = await finishRequests(server, times);
    assert.deepEqual(result, { ended: 1, unanswered: isAnswered ? 0 : 1 });
    assert.equal(server.calls.filter((call) => call === 'end').length, 1);
    assert.ok(server.calls.includes('closeIdle'));
  }
});
