import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ServerEntry } from '../fleet/server-entry.js';
import type { EntryRequest } from './entry-request.js';
import { StreamLimits } from './stream-limits.js';
import { StreamRuns } from './stream-runs.js';

function createLimits({ maximumServers = 4, isBlocked = false } = {}) {
  const runs = new StreamRuns({ maximumServers, hasEnded: () => false });
  const request = {
    content: { hash: 'content', sharedParts: [] },
    route: { kind: 'streaming', isResumable: true, maximumAttempts: maximumServers },
  } as unknown as EntryRequest;
  const crashBlame = { isBlocked: () => isBlocked };
  return { runs, limits: new StreamLimits({ request, runs, crashBlame }) };
}

// Pauses of sound engines used up the attempts that a failure needed later.
test('stream limits: what was cancelled or refused beside an open attempt leaves the retries after a failure', () => {
  const { runs, limits } = createLimits();
  for (let count = 0; count < 5; count += 1) {
    limits.recordRefusalBeside();
    limits.recordCancelledBeside({ id: 'b' } as ServerEntry);
  }
  runs.record('a', true);
  assert.equal(limits.allowsRetry, true);
});

test('stream limits: an attempt beside an open one counts against the servers of the route', () => {
  const { limits } = createLimits({ maximumServers: 2 });
  assert.equal(limits.allowsBeside('a'), true);
  limits.recordCancelledBeside({ id: 'b' } as ServerEntry);
  assert.equal(limits.allowsBeside('a'), false);
});

test('stream limits: blocked content runs only as a trial, and never beside an open attempt', () => {
  const { limits } = createLimits({ isBlocked: true });
  assert.equal(limits.allowsRetry, false);
  limits.isTrial = true;
  assert.equal(limits.allowsRetry, true);
  assert.equal(limits.allowsBeside('a'), false);
});

test('stream limits: two engines that end as they begin the request are the last ones', () => {
  const { limits } = createLimits();
  limits.recordEndAtBegin();
  assert.equal(limits.allowsRetry && limits.allowsBeside('a'), true);
  limits.recordEndAtBegin();
  assert.equal(limits.allowsRetry || limits.allowsBeside('a'), false);
});

test('stream limits: one retry is taken for a late first event', () => {
  const { limits } = createLimits();
  assert.deepEqual([limits.tryTakeLateRetry(), limits.tryTakeLateRetry()], [true, false]);
});
