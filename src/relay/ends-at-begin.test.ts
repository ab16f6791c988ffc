import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EndsAtBegin } from './ends-at-begin.js';

function createEnds() {
  const ended = new Set<string>();
  const unconfirmed = new Set<string>();
  const ends = new EndsAtBegin({
    hasEnded: (processKey) => ended.has(processKey),
    isEndUnconfirmed: (processKey) => unconfirmed.has(processKey),
  });
  return { ends, ended, unconfirmed };
}

// Only ends that were shown at once counted, and a third engine ended.
test('ends at begin: an end that is shown only while the next engine runs the request counts', async () => {
  const { ends, ended } = createEnds();
  ends.record('a');
  await ends.settle(Promise.resolve());
  assert.equal(ends.shown, 0);
  ends.record('b');
  ended.add('a').add('b');
  assert.deepEqual([ends.shown, ends.isShown, ends.isLikely], [2, true, true]);
});

test('ends at begin: an end that is still to be confirmed keeps the request from a third engine, and proves nothing', () => {
  const { ends, ended, unconfirmed } = createEnds();
  ends.record('a');
  ends.record('b');
  ended.add('a');
  assert.deepEqual([ends.isShown, ends.isLikely], [false, false]);
  unconfirmed.add('b');
  assert.deepEqual([ends.isShown, ends.isLikely], [false, true]);
  unconfirmed.delete('b');
  assert.deepEqual([ends.isShown, ends.isLikely], [false, false]);
});

// The end of an engine that was asked beside a silent one was looked at only after the decision.
test('ends at begin: the checks that are under way are waited for', async () => {
  const { ends, ended } = createEnds();
  ends.record('beside');
  const beside = new Promise<void>((resolve) => {
    setTimeout(() => {
      ended.add('beside');
      resolve();
    }, 20);
  });
  void ends.settle(beside);
  ends.record('first');
  ended.add('first');
  await ends.settle(Promise.resolve());
  assert.equal(ends.isShown, true);
});

test('ends at begin: breaks at one process count once', () => {
  const { ends, ended } = createEnds();
  ends.record('a');
  ends.record('a');
  ended.add('a');
  assert.equal(ends.isLikely, false);
});
