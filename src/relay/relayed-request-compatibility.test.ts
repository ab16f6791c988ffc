import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decodeRelayedRequest, type RelayedRequest } from './relayed-request.js';

const RELAYED: RelayedRequest = {
  from: 'entry-1',
  configurationVersion: 3,
  remainingMilliseconds: 500,
  processKeys: ['server-1/2'],
  lastEventId: 4,
};

function decode(value: unknown): RelayedRequest | undefined {
  return decodeRelayedRequest(encodeURIComponent(JSON.stringify(value)));
}

test('passed-on request of another build: fields that are not known are ignored', () =>
  fc.assert(
    fc.property(fc.dictionary(fc.string(), fc.jsonValue()), (fields) => {
      assert.deepEqual(decode({ ...fields, format: 2, ...RELAYED }), RELAYED);
    }),
    { seed: 36 },
  ));

test('passed-on request of another build: without an event id, no stream resumes', () => {
  const { lastEventId, ...rest } = RELAYED;
  assert.equal(lastEventId, 4);
  assert.deepEqual(decode(rest), rest);
});

// Without a key among `processKeys`, a request that has run could run on that server again.
test('passed-on request of another build: one field of another type costs this request only', () => {
  Object.keys(RELAYED).forEach((name) => {
    assert.equal(decode({ ...RELAYED, [name]: null }), undefined, name);
  });
  assert.equal(decode({ ...RELAYED, processKeys: ['server-1/2', 5] }), undefined);
});
