import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { isExpired, safeParseKey, buildShardKey, type TimedKey } from './idempotency-key.js';
import { TicketStore, TICKET_LIFETIME_MILLISECONDS } from './ticket-store.js';

const NOW = 1_800_000_000_000;

test('idempotency key: the timestamp is parsed, the shard is stable, and the key expires after 24 hours', () => {
  const key = safeParseKey(`${NOW}-flat-12`, NOW).unsafeCoerce() as TimedKey;
  assert.equal(key.createdAt, NOW);
  assert.equal(buildShardKey(key, 'a/k'), buildShardKey(key, 'a/k'));
  assert.equal(isExpired(key, NOW + 24 * 3_600_000), false);
  assert.equal(isExpired(key, NOW + 24 * 3_600_000 + 1), true);
});

test('idempotency key: arbitrary text is parsed or refused without an exception', () => {
  fc.assert(
    fc.property(fc.string({ maxLength: 200 }), (text) => {
      const parsed = safeParseKey(text, NOW);
      if (parsed.isRight()) assert.equal(parsed.unsafeCoerce().text, text);
    }),
    { seed: 3 },
  );
});

test('ticket store: a ticket is spent once, by its own account, and never after it has expired', async () => {
  let now = NOW;
  const options = { instance: 'entry-1', incarnation: NOW, wallMilliseconds: () => now };
  const ticketStore = new TicketStore(options);
  const [ticket = '', unused = ''] = ticketStore.issue('planner', 2).tickets;
  assert.equal(safeParseKey(ticket, now).unsafeCoerce().kind, 'ticket');
  assert.equal(ticketStore.lookUp(ticket, 'dealer').kind, 'forgotten');
  const outcome = { kind: 'unknown', code: 'answer_lost', message: '' } as const;
  await ticketStore.spend(ticket, 'content', () => Promise.resolve(outcome));
  assert.equal(ticketStore.lookUp(ticket, 'planner').kind, 'spent');
  assert.throws(() => ticketStore.spend(ticket, 'content', () => Promise.resolve(outcome)));
  now += TICKET_LIFETIME_MILLISECONDS;
  assert.equal(ticketStore.lookUp(unused, 'planner').kind, 'expired');
});
