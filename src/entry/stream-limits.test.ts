import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ServerEntry } from '../fleet/server-entry.js';
import type { EntryRequest } from './entry-request.js';
import { StreamLimits } from './stream-limits.js';
import { StreamRuns } from './stream-runs.js';

function createLimits({ maximumServers = 4, isBlocked = false, isResumable = true } = {}) {
  const runs = new StreamRuns({ maximumServers, hasEnded: () => false });
  const request = {
    content: { hash: 'content', sharedParts: [] },
    route: { kind: 'streaming', isResumable, maximumAttempts: maximumServers },
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
  assert.deepEqual([limits.proof, limits.isRefusedTooOften], [undefined, false]);
});

test('stream limits: an attempt beside an open one counts against the servers of the route', () => {
  const { limits } = createLimits({ maximumServers: 2 });
  assert.equal(limits.allowsBeside('a'), true);
  limits.recordCancelledBeside({ id: 'b' } as ServerEntry);
  assert.equal(limits.allowsBeside('a'), false);
});

test('stream limits: blocked content runs only as a trial, and never beside an open attempt', () => {
  const { limits } = createLimits({ isBlocked: true });
  assert.equal(limits.proof, 'blockedContent');
  limits.isTrial = true;
  assert.equal(limits.proof, undefined);
  assert.equal(limits.allowsBeside('a'), false);
});

test('stream limits: two engines that end as they begin the request are the last ones', () => {
  const { limits } = createLimits();
  limits.recordEndAtBegin();
  assert.deepEqual([limits.proof, limits.allowsBeside('a')], [undefined, true]);
  limits.recordEndAtBegin();
  assert.deepEqual([limits.proof, limits.allowsBeside('a')], ['endsServers', false]);
});

test('stream limits: one retry is taken for a late first event', () => {
  const { limits } = createLimits();
  assert.deepEqual([limits.tryTakeLateRetry(), limits.tryTakeLateRetry()], [true, false]);
});

test('stream limits: a stream that may not run twice, or that has run as often as it may, is not sent again', () => {
  const { runs, limits } = createLimits({ maximumServers: 1 });
  assert.equal(limits.proof, undefined);
  runs.record('a', true);
  assert.equal(limits.proof, 'runLimit');
  const once = createLimits({ isResumable: false });
  once.runs.record('a', true);
  assert.equal(once.limits.proof, 'notRepeatable');
});

test('stream limits: the fifth refusal is one too many', () => {
  const { limits } = createLimits();
  for (let count = 0; count < 4; count += 1) limits.recordRefusal();
  assert.equal(limits.isRefusedTooOften, false);
  limits.recordRefusal();
  assert.equal(limits.isRefusedTooOften, true);
});
