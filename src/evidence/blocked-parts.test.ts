import assert from 'node:assert/strict';
import { test } from 'node:test';
import { chooseBlockedParts, isBlockedBy, type EndedProcess } from './blocked-parts.js';

/** Ends one second apart, each with requests of the given parts. */
function createEnds(...requestsByEnd: string[][][]): EndedProcess[] {
  return requestsByEnd.map((requests, index) => ({
    processKey: `process-${index}`,
    endedAt: 10_000 + 1000 * index,
    beginning: requests.map((sharedParts, request) => ({
      hash: `${index}-${request}`,
      sharedParts,
    })),
  }));
}

function choose(ends: readonly EndedProcess[], written: Record<string, number> = {}, now = 20_000) {
  return chooseBlockedParts({ ends, writtenAt: (part) => written[part], now });
}

test('blocked part: what requests at all ends have in common is blocked, and only together', () => {
  const [blocked, ...others] = choose(createEnds([['a', 'b']], [['a', 'b']], [['a', 'b', 'c']]));
  assert.ok(blocked);
  assert.deepEqual(others, []);
  assert.ok(isBlockedBy(blocked, { hash: 'x', sharedParts: ['a', 'b', 'd'] }));
  assert.ok(!isBlockedBy(blocked, { hash: 'x', sharedParts: ['a', 'd'] }));
});

test('blocked part: a part that was written on after an end is not at fault for it', () => {
  const ends = createEnds([['a', 'b']], [['a', 'b']], [['a', 'b']]);
  const [blocked] = choose(ends, { a: 12_500 });
  assert.equal(blocked?.part, 'b');
  assert.deepEqual(blocked.commonParts, ['b']);
  assert.deepEqual(choose(ends, { a: 12_500, b: 12_500 }), []);
});

test('blocked part: ends that one part explains count against no other', () => {
  const ends = createEnds([['bad'], ['a']], [['bad'], ['a']], [['bad'], ['a']], [['bad']]);
  assert.deepEqual(
    choose(ends).map(({ part }) => part),
    ['bad'],
  );
});

// A part that most requests have was at more ends than the one at fault, as an engine ended for another reason.
test('blocked part: one that was never written on is the likelier cause', () => {
  const ends = createEnds([['bad'], ['a']], [['bad'], ['a']], [['bad'], ['a']], [['a']]);
  assert.deepEqual(
    choose(ends, { a: 9000 }).map(({ part }) => part),
    ['bad'],
  );
});

// All engines of a data centre failed at once, each with requests that have one part in common.
test('blocked part: a part that was written on a moment ago is not blocked yet', () => {
  const ends = createEnds([['a']], [['a']], [['a']]);
  assert.deepEqual(choose(ends, { a: 9900 }, 10_800), []);
  assert.equal(choose(ends, { a: 9900 }, 11_000).length, 1);
});

// All engines of a data centre failed at once, and most requests were the first with their parts.
test('blocked part: ends of one moment count once', () => {
  const ends = createEnds([['a']], [['a']], [['a']], [['a']]);
  const together = ends.map((end, index) => ({ ...end, endedAt: 10_000 + 10 * index }));
  assert.deepEqual(choose(together), []);
  assert.equal(choose([...together, ...ends.slice(2)]).length, 1);
});

test('blocked part: none is blocked where one content was at all ends', () => {
  const ends = createEnds([['a']], [['a']], [['a']]).map((end) => ({
    ...end,
    beginning: [{ hash: 'same', sharedParts: ['a'] }],
  }));
  assert.deepEqual(choose(ends), []);
});
