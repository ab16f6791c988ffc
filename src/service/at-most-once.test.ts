import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '../common/clock.js';
import type { ClaimResult } from '../claims/claim-client.js';
import type { TimedKey } from '../claims/idempotency-key.js';
import { TicketStore } from '../claims/ticket-store.js';
import type { Outcome } from '../routing/outcome.js';
import { AtMostOnceRunner } from './at-most-once.js';
import { RunRegistry } from './run-registry.js';

const KEY: TimedKey = { kind: 'timed', text: 'key', createdAt: Date.now() };
const COMPLETED: Outcome = {
  kind: 'completed',
  status: 200,
  contentType: 'text/plain',
  body: 'done',
  isReplay: false,
};
const GRANT_DELAY_MILLISECONDS = 30;

class TestInstance {
  readonly registry = new RunRegistry();

  readonly atMostOnce: AtMostOnceRunner;

  constructor(claim: () => Promise<ClaimResult>, peer?: TestInstance) {
    this.atMostOnce = new AtMostOnceRunner({
      instance: 'any',
      incarnation: 1,
      claims: { claim },
      tickets: new TicketStore({ instance: 'any', incarnation: 1 }),
      registry: this.registry,
      fetchOutcome: async (_holder, account, key) =>
        (await peer?.registry.findAfterPendingClaims(`${account}/${key}`))?.outcome,
    });
  }

  run(): Promise<Outcome> {
    return this.atMostOnce.run({
      account: 'planner',
      key: KEY,
      contentHash: 'same',
      run: async () => COMPLETED,
      forwardToIssuer: async () => COMPLETED,
    });
  }
}

// Another instance learned of the claim before the answer to it reached the instance that holds it.
// It asked the holder for the outcome, and the holder did not know of the run yet.
test('a repeated submission gets the outcome even if its instance learns of the claim before the holder', async () => {
  const holder = new TestInstance(async () => {
    await sleep(GRANT_DELAY_MILLISECONDS);
    return {
      kind: 'granted',
      claim: { record: async () => undefined, release: async () => true },
    };
  });
  const other = new TestInstance(async () => ({ kind: 'held', instance: 'holder' }), holder);
  const [first, repeat] = await Promise.all([holder.run(), other.run()]);
  assert.equal(first.kind, 'completed');
  assert.equal(repeat.kind, 'completed');
});
