import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createEmptyBranch, type Branch } from './branch.js';
import { mergeChange, type Change } from './change.js';

let count = 0;

function change(baseRevision: number, account: string, rate: unknown): Change {
  count += 1;
  const path = ['accounts', account, 'requestsPerSecond'];
  return {
    id: `change-${count}`,
    author: 'x',
    baseRevision,
    edits: [{ path, value: rate as number }],
  };
}

function merge(branch: Branch, wanted: Change): Branch {
  return mergeChange(branch, wanted, 0).unsafeCoerce();
}

test('change: edits of different fields from the same base revision merge in either order', () => {
  fc.assert(
    fc.property(
      fc.uniqueArray(fc.stringMatching(/^[a-z]{1,8}$/), { minLength: 2, maxLength: 6 }),
      (names) => {
        const changes = names.map((name, index) => change(0, name, index + 1));
        const forwards = changes.reduce(merge, createEmptyBranch('t'));
        const backwards = [...changes].reverse().reduce(merge, createEmptyBranch('t'));
        assert.deepEqual(forwards.settings, backwards.settings);
        assert.equal(forwards.revision, names.length);
      },
    ),
    { seed: 1 },
  );
});

test('change: an edit of a field set since the base revision, or of its parent fields, is a conflict', () => {
  const branch = merge(createEmptyBranch('t'), change(0, 'planner', 1));
  const paths = [
    ['accounts'],
    ['accounts', 'planner'],
    ['accounts', 'planner', 'requestsPerSecond'],
  ];
  paths.forEach((path) => {
    const late: Change = {
      id: 'late-change',
      author: 'x',
      baseRevision: 0,
      edits: [{ path, value: {} }],
    };
    const issues = mergeChange(branch, late, 0).swap().unsafeCoerce();
    assert.equal(issues[0]?.code, 'conflict');
  });
  assert.equal(merge(branch, change(0, 'planner', 1)).revision, 2, 'the same value is no conflict');
});

test('change: bad values, reserved names and revisions that do not exist are refused', () => {
  const refused = [change(0, 'planner', -1), change(0, 'planner', 'x'), change(1, 'planner', 1)];
  refused.forEach((one) => assert.ok(mergeChange(createEmptyBranch('t'), one, 0).isLeft()));
});
