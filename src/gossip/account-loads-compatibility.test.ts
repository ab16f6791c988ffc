import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPeerRecord } from '../../tools/peer-record.js';
import { createSilentLogger } from '../telemetry/log.js';
import { PeerRecord } from './peer-record.js';
import { PeerRecordDecoder } from './peer-record-decoder.js';

const LOADS: NonNullable<PeerRecord['accountLoads']> = [
  ['model', 0, 12, [['one', 7]]],
  ['model', 2, 3, [['two', 3]]],
];

test('account loads: an older build, which has no such field, passes them on', () => {
  const older = PeerRecord.omit({ accountLoads: true }).loose();
  const sent = createPeerRecord('entry-2', { accountLoads: LOADS });
  assert.deepEqual(PeerRecord.parse(older.parse(sent)), sent);
});

test('account loads: a record of an older build has none', () => {
  const decoder = new PeerRecordDecoder(createSilentLogger());
  const record = decoder.decode(createPeerRecord('entry-2'));
  assert.ok(record);
  assert.equal(record.accountLoads, undefined);
});

// An entry of another form must not cost the record, whose loads and layers others need.
test('account loads: of those of a newer build, what cannot be read is left out', () => {
  const decoder = new PeerRecordDecoder(createSilentLogger());
  const sent = { ...createPeerRecord('entry-2'), loads: { a: [1, 100] } };
  const record = decoder.decode({ ...sent, accountLoads: [...LOADS, ['model', 'urgent', 1, []]] });
  assert.deepEqual(record?.accountLoads, LOADS);
  assert.deepEqual(record.loads, { a: [1, 100] });
  const other = decoder.decode({ ...sent, accountLoads: { model: 1 } });
  assert.deepEqual(other, sent);
});
