import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { Confirmation, getFollowBounds } from './confirmation.js';

const BOUNDS = getFollowBounds(3000);

function createConfirmation() {
  const clock = { now: 0 };
  return { clock, confirmation: new Confirmation(BOUNDS, () => clock.now) };
}

// A silent watch, a first call over a new connection that is lost, and a second one took 10.7 s.
test('confirmation: a silent watch and two calls over new connections stay within the time of contact', () => {
  fc.assert(
    fc.property(fc.integer({ min: 100, max: 60_000 }), (contactMilliseconds) => {
      const bounds = getFollowBounds(contactMilliseconds);
      const silent = bounds.waitMilliseconds + bounds.allowanceMilliseconds;
      assert.ok(silent + 2 * bounds.newConnectionTimeoutMilliseconds < contactMilliseconds);
    }),
    { seed: 4 },
  );
});

test('confirmation: kept connections are used while answers are younger than a watch may take', () => {
  const { clock, confirmation } = createConfirmation();
  assert.equal(confirmation.ageMilliseconds, Number.POSITIVE_INFINITY);
  confirmation.confirm(5);
  clock.now += BOUNDS.waitMilliseconds + BOUNDS.allowanceMilliseconds;
  assert.ok(!confirmation.planCall().isOnNewConnection);
  assert.equal(confirmation.planCall().listTimeoutMilliseconds, undefined);
  clock.now += 1;
  assert.ok(confirmation.planCall().isOnNewConnection);
});

// Connections that answer, if only with 503 or a reset, aren't silent: each retry would have opened a new one.
test('confirmation: only silence asks for a new connection at once, with a timeout of its own', () => {
  const { confirmation } = createConfirmation();
  confirmation.confirm(5);
  confirmation.fail(false);
  assert.ok(!confirmation.planCall().isOnNewConnection);
  confirmation.fail(true);
  const { newConnectionTimeoutMilliseconds } = BOUNDS;
  const { isOnNewConnection, listTimeoutMilliseconds } = confirmation.planCall();
  assert.ok(isOnNewConnection);
  assert.equal(listTimeoutMilliseconds, newConnectionTimeoutMilliseconds);
  confirmation.fail(true);
  assert.equal(confirmation.planCall().listTimeoutMilliseconds, undefined, 'the store may be slow');
});

// A store that is slow would have been taken for a silent one at each watch, and listed anew each time.
test('confirmation: a slow store is allowed longer, until it is fast again', () => {
  const { confirmation } = createConfirmation();
  const { allowanceMilliseconds, slowAllowanceMilliseconds } = BOUNDS;
  confirmation.fail(true);
  confirmation.confirm(allowanceMilliseconds);
  assert.equal(confirmation.planCall().allowanceMilliseconds, slowAllowanceMilliseconds);
  confirmation.confirm();
  assert.equal(confirmation.planCall().allowanceMilliseconds, slowAllowanceMilliseconds);
  confirmation.confirm(1);
  assert.equal(confirmation.planCall().allowanceMilliseconds, allowanceMilliseconds);
});
