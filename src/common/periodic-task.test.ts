import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSilentLogger } from '../telemetry/log.js';
import { runPeriodically } from './periodic-task.js';

// An unexpected error in one of an instance's tasks ended its process.
test('periodic task: goes on after an error, also one that is thrown before the work waits', async () => {
  const controller = new AbortController();
  let count = 0;
  await runPeriodically({
    name: 'failing',
    interval: () => 1,
    work: () => {
      count += 1;
      if (count === 1) throw new Error('The first time fails.');
      if (count === 3) controller.abort();
      return Promise.reject(new Error('Each further time fails as well.'));
    },
    signal: controller.signal,
    log: createSilentLogger(),
  });
  assert.equal(count, 3);
});
