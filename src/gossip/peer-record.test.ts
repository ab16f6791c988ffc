import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createOddValues, listNumbers } from '../../tools/odd-values.js';
import { createPeerRecord } from '../../tools/peer-record.js';
import { createSilentLogger } from '../telemetry/log.js';
import { PeerRecord } from './peer-record.js';
import { PeerRecordDecoder } from './peer-record-decoder.js';

const SOUND = createPeerRecord('one', {
  changeCounter: 1,
  clock: 5000,
  leaving: ['a/1'],
  suspects: ['a'],
  ejections: { a: [4000, 'faulty'] },
  loads: { a: [1, 100] },
  dataCentreLoads: { a: [2, 200] },
  accountLoads: [['drafter', 0, 3, [['account', 2]]]],
  paces: { a: 1.5 },
  holdings: { a: [0, 8] },
  retries: { drafter: [10, 1] },
  limits: { a: [3, 100], b: [null, 200] },
  crashes: { content: ['a/1'] },
  promptParts: { ends: { 'a/1': [4000, [['content', 'part']]] }, written: { part: 1 }, tried: {} },
});

const KNOWN_FIELDS = Object.keys(PeerRecord.shape);

// Parts that are kept whole were walked through as well: a deeply nested one beside one that doesn't match
// exceeded the stack, and an instance that read its own object so ended at each start.
test('odd entries: a record with parts that are odd or deeply nested is read without an error', () => {
  const decoder = new PeerRecordDecoder(createSilentLogger());
  assert.deepEqual(decoder.decode(SOUND), SOUND);
  fc.assert(
    fc.property(createOddValues(SOUND), (value) => {
      const record = decoder.decode(value);
      if (!record) return;
      const known = Object.entries(record).filter(([name]) => KNOWN_FIELDS.includes(name));
      // Unknown parts of these are kept as they are.
      const own = known.filter(([name]) => name !== 'promptParts').map(([, part]) => part);
      listNumbers(own).forEach((number) =>
        assert.ok(Math.abs(number) <= Number.MAX_SAFE_INTEGER, String(number)),
      );
      Object.values(record.holdings).forEach(([from, to]) =>
        assert.ok(from >= 0 && to >= 1 && to <= 1000),
      );
      [record.callers, record.peers].forEach(({ port }) =>
        assert.ok(Number.isInteger(port) && port >= 1 && port <= 65_535),
      );
    }),
    { seed: 37, numRuns: 1000 },
  );
});
