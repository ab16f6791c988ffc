import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPeerRecord } from '../../tools/peer-record.js';
import { createPeerInquiry } from './peer-inquiry.js';

function ask(answer: unknown): Promise<unknown> {
  const { isCutFromServers, ...record } = createPeerRecord('entry-2');
  assert.equal(isCutFromServers, undefined);
  const options = { listPeers: () => [record], fetch: () => Promise.resolve(answer) };
  return createPeerInquiry(options)('server-1');
}

test('inquiry of another build: unknown fields are ignored, unknown results are no finding', async () => {
  assert.equal(await ask({ result: 'refused', format: 2, reason: 'newer' }), 'refused');
  for (const answer of [{ result: 'throttled' }, { format: 2 }, { result: 1 }, [], null, undefined])
    assert.equal(await ask(answer), undefined, JSON.stringify(answer));
});
