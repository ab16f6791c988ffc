import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createPeerRecord } from '../../tools/peer-record.js';
import { PeerRecord } from './peer-record.js';
import { parseTolerantly } from './tolerant-parse.js';

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

// An instance whose record a stricter build refused for one odd window would count as dead there.
test('record of another build: windows may be missing, and an unreadable one costs only itself', () => {
  const sent = createPeerRecord('entry-2', { windows: { a: [3, 4, 120, 1], b: [5, null, 9, 0] } });
  assert.deepEqual(PeerRecord.parse(sent), sent);
  assert.equal(PeerRecord.parse(createPeerRecord('entry-2')).windows, undefined);
  const odd = { ...sent, windows: { ...sent.windows, c: [1, -2, 0, 0], d: [1], e: 'open' } };
  assert.deepEqual(parseTolerantly(PeerRecord, odd).value, sent);
});
