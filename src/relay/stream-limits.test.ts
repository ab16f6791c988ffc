import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ServerEntry } from '../fleet/server-entry.js';
import { EndsAtBegin } from './ends-at-begin.js';
import type { EntryRequest } from '../entry/entry-request.js';
import { StreamLimits } from './stream-limits.js';
import { StreamRuns } from './stream-runs.js';

function createLimits({ maximumServers = 4, isBlocked = false, isResumable = true } = {}) {
  const runs = new StreamRuns({ maximumServers, hasEnded: () => false });
  const request = {
    content: { hash: 'content', sharedParts: [] },
    route: { kind: 'streaming', isResumable, maximumAttempts: maximumServers },
  } as unknown as EntryRequest;
  const crashBlame = { isBlocked: () => isBlocked };
  const endsAtBegin = new EndsAtBegin({ hasEnded: () => true, isEndUnconfirmed: () => false });
  const limits = new StreamLimits({ request, runs, crashBlame, endsAtBegin });
  return { runs, limits, endsAtBegin };
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
  const { limits, endsAtBegin } = createLimits();
  endsAtBegin.record('a');
  assert.deepEqual([limits.proof, limits.allowsBeside('a')], [undefined, true]);
  endsAtBegin.record('b');
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

// The end of an engine may be confirmed only a while after a stream broke off there.
test('stream limits: runs at engines that may have ended do not use up the limit of the route for good', () => {
  const request = {
    content: { hash: 'content', sharedParts: [] },
    route: { kind: 'streaming', isResumable: true },
  } as unknown as EntryRequest;
  const inDoubt = new Set(['a']);
  const runs = new StreamRuns({
    maximumServers: 1,
    hasEnded: () => false,
    mayHaveEnded: (processKey) => inDoubt.has(processKey),
  });
  const limits = new StreamLimits({
    request,
    runs,
    crashBlame: { isBlocked: () => false },
    endsAtBegin: new EndsAtBegin({ hasEnded: () => false, isEndUnconfirmed: () => false }),
  });
  limits.recordRun('a');
  assert.equal(limits.proof, undefined);
  assert.equal(runs.allows('b'), false);
  inDoubt.clear();
  assert.equal(limits.proof, 'runLimit');
});

// A refusal that says nothing of room was followed by the next attempt without a pause.
test('stream limits: each refusal doubles the pause until an attempt may have run', () => {
  const { limits } = createLimits();
  const pauses = [0, 1, 2, 3, 4, 5, 6].map(() => {
    const pause = limits.refusalPauseMilliseconds;
    limits.recordRefusal();
    return pause;
  });
  assert.deepEqual(pauses, [0, 100, 200, 400, 800, 1600, 1600]);
  limits.recordRun('a');
  assert.equal(limits.refusalPauseMilliseconds, 0);
});

test('stream limits: the fifth refusal is one too many', () => {
  const { limits } = createLimits();
  for (let count = 0; count < 4; count += 1) limits.recordRefusal();
  assert.equal(limits.isRefusedTooOften, false);
  limits.recordRefusal();
  assert.equal(limits.isRefusedTooOften, true);
});
