import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decideOnConnectionError, type ConnectionSituation } from './caller-connections.js';

const FRESH: ConnectionSituation = {
  errorCode: 'HPE_INVALID_METHOD',
  openRequests: 0,
  isReadingBody: false,
  hasStartedResponse: false,
  requestCount: 0,
  hasCallerLeft: false,
};

test('caller connections: what is done about an error', () => {
  const cases: readonly [Partial<ConnectionSituation>, object][] = [
    [{}, { kind: 'reject', status: 400 }],
    [
      { errorCode: 'HPE_HEADER_OVERFLOW', requestCount: 3 },
      { kind: 'reject', status: 431 },
    ],
    [
      { errorCode: 'ERR_HTTP_REQUEST_TIMEOUT', requestCount: 3 },
      { kind: 'reject', status: 408 },
    ],
    [{ requestCount: 1 }, { kind: 'close' }],
    [
      { requestCount: 1, isReadingBody: true },
      { kind: 'reject', status: 400 },
    ],
    [{ requestCount: 1, openRequests: 1 }, { kind: 'finishOpenRequests' }],
    [
      { requestCount: 1, openRequests: 1, hasStartedResponse: true },
      { kind: 'finishOpenRequests' },
    ],
    [{ requestCount: 1, openRequests: 1, hasCallerLeft: true }, { kind: 'close' }],
    [{ hasCallerLeft: true, errorCode: 'HPE_INVALID_EOF_STATE' }, { kind: 'close' }],
    [{ errorCode: 'ECONNRESET' }, { kind: 'close' }],
    [{ errorCode: '' }, { kind: 'close' }],
  ];
  cases.forEach(([change, expected]) => {
    assert.deepEqual(
      decideOnConnectionError({ ...FRESH, ...change }),
      expected,
      JSON.stringify(change),
    );
  });
});

test('caller connections: a request that was read is never rejected for what follows it', () => {
  const situations = fc.record({
    errorCode: fc.constantFrom('HPE_INVALID_METHOD', 'HPE_HEADER_OVERFLOW', 'ECONNRESET', 'EPIPE'),
    openRequests: fc.integer({ min: 1, max: 3 }),
    isReadingBody: fc.boolean(),
    hasStartedResponse: fc.boolean(),
    requestCount: fc.nat(9),
    hasCallerLeft: fc.boolean(),
  });
  fc.assert(
    fc.property(situations, (situation) => {
      assert.notEqual(decideOnConnectionError(situation).kind, 'reject');
    }),
    { seed: 24 },
  );
});
