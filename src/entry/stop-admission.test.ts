import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { isRefusedByStop } from './stop-admission.js';

const TIME = fc.double({ min: 0, max: 1e9, noNaN: true });

// A request that outlasts the stop would be broken off.
test('stop admission: a request that is taken is over when the stop ends, however much of its time it takes', () => {
  fc.assert(
    fc.property(TIME, TIME, TIME, (deadline, mustFinishBy, end) => {
      if (!isRefusedByStop({ deadline, mustFinishBy }) && end <= deadline)
        assert.ok(end <= mustFinishBy);
    }),
  );
});

test('stop admission: what has time enough is taken, also late in the stop', () => {
  fc.assert(
    fc.property(TIME, TIME, (deadline, slack) => {
      assert.equal(isRefusedByStop({ deadline, mustFinishBy: deadline + slack }), false);
    }),
  );
});

test('stop admission: nothing is refused while no stop has begun', () => {
  assert.equal(isRefusedByStop({ deadline: 1e9, mustFinishBy: undefined }), false);
});
