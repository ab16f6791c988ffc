import assert from 'node:assert/strict';
import { test } from 'node:test';
import { maySend } from './send-permission.js';

const NOT_LATE = { longestSince: () => 0 };
const LATE = { longestSince: () => 900 };

// The timer of its deadline was late, and the request was sent to a third server half a second after it.
test('send permission: nothing is sent once its time is over, late or not', async () => {
  const request = { isOver: () => true };
  assert.equal(await maySend(request, NOT_LATE), false);
  assert.equal(await maySend(request, LATE), false);
});

test('send permission: a late process reads its sockets before it decides', async () => {
  let hasLeft = false;
  const request = { isOver: () => hasLeft };
  const permission = maySend(request, LATE);
  setImmediate(() => {
    hasLeft = true;
  });
  assert.equal(await permission, false);
});

test('send permission: a process that is not late decides at once', async () => {
  let hasLeft = false;
  const permission = maySend({ isOver: () => hasLeft }, NOT_LATE);
  setImmediate(() => {
    hasLeft = true;
  });
  assert.equal(await permission, true);
});
