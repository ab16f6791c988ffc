import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isLater } from './store-position.js';

// Lists of a store that had come back from an older copy were ignored for good, as their revision was lower.
test('store position: a newer era is later whatever its revision, and never earlier', () => {
  assert.ok(isLater({ era: 2, revision: 3 }, { era: 1, revision: 12 }));
  assert.ok(!isLater({ era: 1, revision: 12 }, { era: 2, revision: 3 }));
  assert.ok(isLater({ era: 2, revision: 4 }, { era: 2, revision: 3 }));
  assert.ok(!isLater({ era: 2, revision: 3 }, { era: 2, revision: 3 }));
});

// An instance that older builds follow the store for would have ignored all of their lists.
test('store position: what an older build tells is compared by its revision alone', () => {
  assert.ok(isLater({ era: undefined, revision: 13 }, { era: 2, revision: 12 }));
  assert.ok(!isLater({ era: undefined, revision: 12 }, { era: 2, revision: 12 }));
});
