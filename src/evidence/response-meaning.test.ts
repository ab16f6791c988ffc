import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { ResponseMetadata } from '../entry/protocol-adapter.js';
import { interpretResponse } from './response-meaning.js';

const SENT = { requestId: 'own', serverId: 'server', addresses: ['10.0.0.1:1', '10.0.0.2:1'] };

const NOTHING_STATED: ResponseMetadata = {
  requestId: undefined,
  isSigned: false,
  statesNotRun: false,
  faultAddress: undefined,
  load: undefined,
  isEncoded: false,
  serverId: undefined,
  requestsPerSecond: undefined,
  isLeaving: false,
  pauseMilliseconds: undefined,
  malformed: {},
};

function findKind(status: number, stated: Partial<ResponseMetadata> = {}): string {
  return interpretResponse(SENT, { status, metadata: { ...NOTHING_STATED, ...stated } }).kind;
}

const anyMetadata = fc
  .record({
    requestId: fc.constantFrom(undefined, 'own', 'another', ''),
    isSigned: fc.boolean(),
    statesNotRun: fc.boolean(),
    faultAddress: fc.constantFrom(undefined, '10.0.0.2:1', '10.0.0.9:1', ''),
    isEncoded: fc.boolean(),
    serverId: fc.constantFrom(undefined, 'server', 'another'),
  })
  .map((stated): ResponseMetadata => ({ ...NOTHING_STATED, ...stated }));

const anyStatus = fc.oneof(
  fc.constantFrom(200, 400, 404, 408, 421, 429, 500, 502, 503, 504),
  fc.integer({ min: 100, max: 599 }),
);

// A status alone ran a booking a second time.
test('response meaning: nothing counts as not run without a statement, or a 421 that shows who gave it', () => {
  fc.assert(
    fc.property(anyStatus, anyMetadata, (status, metadata) => {
      if (interpretResponse(SENT, { status, metadata }).kind !== 'notRun') return;
      const { requestId, statesNotRun, serverId, faultAddress } = metadata;
      assert.ok(requestId === undefined || requestId === 'own');
      const isShown =
        requestId === 'own' || serverId === 'another' || faultAddress === '10.0.0.2:1';
      assert.ok(
        (statesNotRun && [400, 421, 429, 503].includes(status)) || (status === 421 && isShown),
      );
    }),
    { numRuns: 2000 },
  );
});

test('response meaning: no answer is passed on that is not own and signed, or promises what it does not prove', () => {
  fc.assert(
    fc.property(anyStatus, anyMetadata, (status, metadata) => {
      if (interpretResponse(SENT, { status, metadata }).kind !== 'ownAnswer') return;
      const { requestId, isSigned, isEncoded, statesNotRun } = metadata;
      assert.deepEqual(
        { requestId, isSigned, isEncoded, statesNotRun },
        { requestId: 'own', isSigned: true, isEncoded: false, statesNotRun: false },
      );
      assert.ok(![408, 421, 429, 503].includes(status));
    }),
    { numRuns: 2000 },
  );
});

test('response meaning: refusals with a proof, also without an id, cost no run', () => {
  [400, 421, 429, 503].forEach((status) => {
    assert.equal(findKind(status, { statesNotRun: true }), 'notRun');
    assert.equal(findKind(status, { statesNotRun: true, requestId: 'own' }), 'notRun');
    assert.equal(findKind(status, { statesNotRun: true, requestId: 'another' }), 'unproved');
    assert.equal(findKind(status), 'unproved');
  });
  assert.equal(findKind(421, { requestId: 'own' }), 'notRun');
  assert.equal(findKind(421, { serverId: 'another' }), 'notRun');
  assert.equal(findKind(421, { faultAddress: '10.0.0.1:1' }), 'notRun');
  assert.equal(findKind(421, { serverId: 'server' }), 'unproved');
  assert.equal(findKind(421, { faultAddress: '10.0.0.9:1' }), 'unproved');
});

test("response meaning: the server's own answers are passed on, also its failures", () => {
  [200, 204, 302, 400, 404, 500, 504].forEach((status) =>
    assert.equal(findKind(status, { requestId: 'own', isSigned: true }), 'ownAnswer'),
  );
});
