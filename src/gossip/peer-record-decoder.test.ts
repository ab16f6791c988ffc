import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createPeerRecord } from '../../tools/peer-record.js';
import { createSilentLogger, type Logger } from '../telemetry/log.js';
import { PeerRecord } from './peer-record.js';
import { PeerRecordDecoder } from './peer-record-decoder.js';

const RECORD = createPeerRecord('entry-2', {
  suspects: ['server-1'],
  ejections: { 'server-1': [5, 'faulty'] },
  leaving: ['server-2/1'],
  loads: { good: [1, 2] },
  limits: { good: [3, 4] },
  crashes: { good: ['server-3'] },
  promptParts: { ends: { good: [1, [['a']]] }, written: { good: 1 }, tried: { good: 2 } },
  clock: 9,
});

function createDecoder() {
  const lines: string[] = [];
  const warn: Logger['warn'] = (message, fields) => lines.push(JSON.stringify([message, fields]));
  return { decoder: new PeerRecordDecoder({ ...createSilentLogger(), warn }), lines };
}

// One record that did not match took all others of the answer with it, so that their senders seemed dead.
test('decoder: a record that cannot be read costs no other one, with one log line', () => {
  const { decoder, lines } = createDecoder();
  const other = { ...RECORD, instance: 'entry-3' };
  const bad = { ...RECORD, instance: 'entry-4', counter: 'many' };
  for (let turn = 0; turn < 3; turn += 1)
    assert.deepEqual(decoder.decodeAll([RECORD, bad, null, other]), [RECORD, other]);
  assert.equal(lines.length, 2);
  assert.match(lines[0] ?? '', /entry-4.*counter/);
});

test('decoder: an entry of another type or cause costs only itself', () => {
  const { decoder, lines } = createDecoder();
  const sent = {
    ...RECORD,
    suspects: ['server-1', 7],
    ejections: { ...RECORD.ejections, bad: [5, 'overheated'] },
    loads: { good: [1, 2], bad: 'much' },
    limits: { ...RECORD.limits, bad: [3] },
    crashes: { ...RECORD.crashes, bad: ['server-4', 5] },
    promptParts: {
      ends: { ...RECORD.promptParts?.ends, bad: [1, [[2]]] },
      written: { good: 1, bad: null },
      tried: { good: 2, bad: 'x' },
    },
  };
  assert.deepEqual(decoder.decode(sent), RECORD);
  assert.equal(lines.length, 1);
});

test('decoder: an optional field of another type counts as absent', () => {
  const { decoder } = createDecoder();
  const { limits, clock, ...rest } = RECORD;
  assert.ok(limits && clock);
  assert.deepEqual(decoder.decode({ ...RECORD, limits: 4, clock: 'late' }), rest);
});

test('decoder: whatever one field holds, reading does not throw and no other field changes', () => {
  const names = Object.keys(PeerRecord.shape);
  fc.assert(
    fc.property(fc.constantFrom(...names), fc.jsonValue(), (name, value) => {
      const read = createDecoder().decoder.decode({ ...RECORD, format: 2, [name]: value });
      if (!read) return;
      const expected = { ...RECORD, format: 2, [name]: undefined };
      assert.deepEqual({ ...read, [name]: undefined }, expected);
    }),
    { seed: 36, numRuns: 1000 },
  );
});
