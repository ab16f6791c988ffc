/** Tests which crashes count against the content that was running. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecordTable } from '../peer/record-table.js';
import { CrashGuard, MAXIMUM_CRASHES, MAXIMUM_CRASHES_WITH_PASSED } from './crash-guard.js';

const CONTENT = 'content';

function createGuard(): { guard: CrashGuard; table: RecordTable } {
  const table = new RecordTable();
  return { guard: new CrashGuard({ table, wallMilliseconds: () => 1_000_000 }), table };
}

function recordCrashes(guard: CrashGuard, first: number, count: number): void {
  Array.from({ length: count }, (_, index) => first + index).forEach((incarnation) =>
    guard.recordCrash(CONTENT, 'engine-1', incarnation),
  );
}

test('crash guard: content that servers crash under is blocked', () => {
  const { guard } = createGuard();
  recordCrashes(guard, 1, MAXIMUM_CRASHES - 1);
  assert.equal(guard.classify(CONTENT), 'suspect');
  recordCrashes(guard, MAXIMUM_CRASHES, 1);
  assert.equal(guard.classify(CONTENT), 'blocked');
});

// A generation that met three crashes at different tokens was rejected though it had gone on each time.
test('crash guard: crashes that the content has been run past do not block it', () => {
  const { guard } = createGuard();
  for (let incarnation = 1; incarnation <= MAXIMUM_CRASHES; incarnation += 1) {
    recordCrashes(guard, incarnation, 1);
    guard.recordPassed(CONTENT, 'engine-1', incarnation);
  }
  assert.equal(guard.classify(CONTENT), 'suspect');
});

test('crash guard: content that servers crash under some time after its begin is blocked', () => {
  const { guard } = createGuard();
  for (let incarnation = 1; incarnation <= MAXIMUM_CRASHES_WITH_PASSED; incarnation += 1) {
    assert.equal(guard.classify(CONTENT), incarnation === 1 ? 'clear' : 'suspect');
    recordCrashes(guard, incarnation, 1);
    guard.recordPassed(CONTENT, 'engine-1', incarnation);
  }
  assert.equal(guard.classify(CONTENT), 'blocked');
});

test('crash guard: peers learn that a crash has been passed, and it stays passed when another instance records it', () => {
  const one = createGuard();
  const other = createGuard();
  const exchange = (from: RecordTable, to: RecordTable): void =>
    to.putReceived(from.collectUnconfirmed(0, 'none', () => true).records, 'peer');
  recordCrashes(one.guard, 1, MAXIMUM_CRASHES);
  exchange(one.table, other.table);
  assert.equal(other.guard.classify(CONTENT), 'blocked');
  one.guard.recordPassed(CONTENT, 'engine-1', 1);
  exchange(one.table, other.table);
  assert.equal(other.guard.classify(CONTENT), 'suspect');
  recordCrashes(other.guard, 1, 1);
  exchange(other.table, one.table);
  assert.equal(one.guard.classify(CONTENT), 'suspect');
});

test('crash guard: a crash stays passed when an instance that does not know it records it later', () => {
  const { guard, table } = createGuard();
  recordCrashes(guard, 1, MAXIMUM_CRASHES);
  guard.recordPassed(CONTENT, 'engine-1', 1);
  const key = `${CONTENT}/engine-1/1`;
  table.putReceived(
    [{ kind: 'suspicion', key, epoch: 0, counter: 1_000_100, value: null }],
    'peer',
  );
  assert.equal(guard.classify(CONTENT), 'suspect');
});

test('crash guard: a record with a value of another build counts as a crash', () => {
  const { guard, table } = createGuard();
  const records = [1, 2, 3].map((incarnation) => ({
    kind: 'suspicion',
    key: `${CONTENT}/engine-1/${incarnation}`,
    epoch: 0,
    counter: 1_000_000,
    value: { phase: 'other' },
  }));
  table.putReceived(records, 'peer');
  assert.equal(guard.classify(CONTENT), 'blocked');
});
