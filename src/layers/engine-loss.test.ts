import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isEngineLost } from './engine-loss.js';

const HEALTHY = { refusingMilliseconds: 0, ejectedMilliseconds: 0, runningRequests: 0 };

// Guards against moving the layers of full engines: after losses, engines that refused requests for
// lack of KV cache were considered lost, and their layers were moved to the others.
test('engine loss: an engine that refuses requests because it is full is not lost', () => {
  assert.equal(
    isEngineLost({ ...HEALTHY, refusingMilliseconds: 5000, runningRequests: 12 }),
    false,
  );
});

test('engine loss: an engine that refuses requests while none runs on it is lost', () => {
  assert.equal(isEngineLost({ ...HEALTHY, refusingMilliseconds: 5000 }), true);
  assert.equal(isEngineLost({ ...HEALTHY, refusingMilliseconds: 300 }), false);
});

test('engine loss: an engine that stays ejected is lost even if requests run on it', () => {
  assert.equal(isEngineLost({ ...HEALTHY, ejectedMilliseconds: 800, runningRequests: 12 }), true);
  assert.equal(isEngineLost({ ...HEALTHY, ejectedMilliseconds: 600 }), false);
});
