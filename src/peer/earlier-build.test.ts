import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assertEarlierBuildReads, readSample } from '../../tools/earlier-build.js';
import { answerExchange } from './link-task.js';
import { createOwnRecord, Member } from './member.js';
import { decodeMessage, encodeMessage, ExchangeMessage } from './messages.js';
import { RecordTable } from './record-table.js';

test('earlier build: its exchange is read whole, and it can read the answer', () => {
  const message = ExchangeMessage.parse(
    decodeMessage(Buffer.from(readSample<string>('exchange'), 'base64')),
  );
  const table = new RecordTable();
  const unreadable: string[] = [];
  table.onUnreadable((reason) => unreadable.push(reason));
  const context = {
    instance: 'entry-9',
    region: 'region-1',
    tableId: 9,
    table,
    exchangeIntervalMilliseconds: 1,
  };
  const member = Member.parse(
    (
      message.records.find((record) => (record as { kind: string }).kind === 'member') as Member & {
        value: unknown;
      }
    ).value,
  );
  const own: Member = { ...member, instance: 'entry-9' };
  table.put(createOwnRecord(own, 9, 0));
  const answer = answerExchange(context, message);
  assert.deepEqual(unreadable, []);
  assert.equal(table.size, message.records.length + 1);
  assert.equal(table.get('configuration', 'planning')?.counter, 1);
  assert.deepEqual(table.get('backend', 'bookings-1')?.value, { state: 'serving', slots: 64 });
  assert.equal(Member.parse(table.get('member', 'entry-2')?.value).state, 'live');
  assert.equal(answer.confirmed, message.index);
  const received = decodeMessage(encodeMessage(answer)) as ExchangeMessage;
  assertEarlierBuildReads('exchange', received);
  assert.equal(received.records.length, 1);
  assertEarlierBuildReads('member', (received.records[0] as { value: unknown }).value);
});
