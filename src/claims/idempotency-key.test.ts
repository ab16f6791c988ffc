import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { isExpired, safeParseKey, buildShardKey, type TimedKey } from './idempotency-key.js';
import { TicketStore, TICKET_LIFETIME_MILLISECONDS } from './ticket-store.js';

const NOW = 1_800_000_000_000;

test('idempotency key: a timed key keeps its time, and its shard depends on it alone and on the account', () => {
  const key = safeParseKey(`${NOW}-flat-12`, NOW).unsafeCoerce() as TimedKey;
  assert.equal(key.createdAt, NOW);
  assert.equal(buildShardKey(key, 'a/k'), buildShardKey(key, 'a/k'));
  assert.equal(isExpired(key, NOW + 24 * 3_600_000), false);
  assert.equal(isExpired(key, NOW + 24 * 3_600_000 + 1), true);
});

test('idempotency key: arbitrary text is refused or read, never thrown at', () => {
  fc.assert(
    fc.property(fc.string({ maxLength: 200 }), (text) => {
      const parsed = safeParseKey(text, NOW);
      if (parsed.isRight()) assert.equal(parsed.unsafeCoerce().text, text);
    }),
    { seed: 3 },
  );
});

test('ticket book: a ticket is spent once, by its own account, and never after it expired', async () => {
  let now = NOW;
  const options = { instance: 'entry-1', incarnation: NOW, wallMilliseconds: () => now };
  const book = new TicketStore(options);
  const [ticket = '', unused = ''] = book.issue('planner', 2).tickets;
  assert.equal(safeParseKey(ticket, now).unsafeCoerce().kind, 'ticket');
  assert.equal(book.lookUp(ticket, 'dealer').kind, 'forgotten');
  const done = { kind: 'unknown', code: 'answer_lost', message: '' } as const;
  await book.spend(ticket, 'content', () => Promise.resolve(done));
  assert.equal(book.lookUp(ticket, 'planner').kind, 'spent');
  assert.throws(() => book.spend(ticket, 'content', () => Promise.resolve(done)));
  now += TICKET_LIFETIME_MILLISECONDS;
  assert.equal(book.lookUp(unused, 'planner').kind, 'expired');
});
