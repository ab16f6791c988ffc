import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createPeerRecord } from '../../tools/peer-record.js';
import { PeerRecord } from './peer-record.js';

const RECORD = createPeerRecord('entry-2', {
  promptParts: { ends: {}, written: {}, tried: {} },
});
const KNOWN_FIELDS = new Set([...Object.keys(PeerRecord.shape), '__proto__']);

function withoutKnown(fields: Readonly<Record<string, unknown>>): Record<string, unknown> {
  return Object.fromEntries(Object.entries(fields).filter(([name]) => !KNOWN_FIELDS.has(name)));
}

// A newer instance that got a newer one's record through an older one lacked these fields.
test('record of another build: fields that are not known are passed on', () =>
  fc.assert(
    fc.property(fc.dictionary(fc.string(), fc.jsonValue()), (fields) => {
      const unknown = withoutKnown(fields);
      const promptParts = { ...unknown, ...RECORD.promptParts };
      const sent = { ...unknown, format: 2, ...RECORD, promptParts };
      assert.deepEqual(PeerRecord.parse(sent), sent);
    }),
    { seed: 36 },
  ));

test('record of another build: only what is required must be there', () => {
  const required = Object.entries(PeerRecord.shape).filter(
    ([, field]) => !field.safeParse(undefined).success,
  );
  const names = new Set(required.map(([name]) => name));
  const sent = Object.fromEntries(Object.entries(RECORD).filter(([name]) => names.has(name)));
  assert.deepEqual(PeerRecord.parse(sent), sent);
  assert.equal(names.size, 18);
});
