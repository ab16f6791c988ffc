import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { ClaimMessage } from '../peer/messages.js';
import { applyClaims, type ClaimShard } from './claim-shard.js';

const EMPTY_SHARD: ClaimShard = { entries: {} };

function createClaim(key: string, token: string, content = 'c'): ClaimMessage {
  return { operation: 'claim', shard: 's', key, token, instance: 'entry-1', content };
}

test('claim shard: one token per key is granted, in any order, grouping and repetition of claims', () => {
  const message = fc
    .tuple(fc.constantFrom('k1', 'k2', '__proto__'), fc.constantFrom('t1', 't2', 't3'))
    .map(([key, token]) => createClaim(key, token));
  fc.assert(
    fc.property(fc.array(fc.array(message, { maxLength: 5 }), { maxLength: 8 }), (groups) => {
      const granted = new Map<string, Set<string>>();
      let shard = EMPTY_SHARD;
      groups.forEach((group) => {
        const applied = applyClaims(shard, group);
        shard = JSON.parse(JSON.stringify(applied.shard)) as ClaimShard;
        applied.answers.forEach((answer, index) => {
          const { key = '', token = '' } = group[index] ?? {};
          if (answer.kind !== 'granted') return;
          granted.set(key, (granted.get(key) ?? new Set()).add(token));
        });
      });
      granted.forEach((tokens, key) => assert.equal(tokens.size, 1, key));
    }),
    { seed: 2 },
  );
});

test('claim shard: a repeat gets the recorded outcome, another request with the same key does not', () => {
  const outcome = { status: 200, contentType: 'text/plain', body: 'booked' };
  const record: ClaimMessage = { ...createClaim('k', 't1'), operation: 'record', outcome };
  const { shard } = applyClaims(EMPTY_SHARD, [createClaim('k', 't1'), record]);
  const { answers, isChanged } = applyClaims(shard, [
    createClaim('k', 't2'),
    createClaim('k', 't3', 'other'),
  ]);
  assert.deepEqual(answers, [
    { kind: 'held', instance: 'entry-1', outcome },
    { kind: 'other_content' },
  ]);
  assert.equal(isChanged, false);
});

test('claim shard: only the holder can release a claim, and then the key is free', () => {
  const held = applyClaims(EMPTY_SHARD, [createClaim('k', 't1')]).shard;
  const release = (token: string): ClaimMessage => ({
    ...createClaim('k', token),
    operation: 'release',
  });
  assert.equal(applyClaims(held, [release('t2')]).isChanged, false);
  const { answers } = applyClaims(held, [release('t1'), createClaim('k', 't2')]);
  assert.deepEqual(answers.at(-1), { kind: 'granted' });
});
