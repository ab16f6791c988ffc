import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ObjectStore, StoredObject } from '../store/object-store.js';
import { createSilentLogger } from '../telemetry/log.js';
import { PlannerLease } from './planner-lease.js';

const HOLDER = 'entry-1/1';

/** A store of one object, whose era and content a test sets. */
function createDrill({ era = 1 } = {}) {
  const state: { era: number; object: StoredObject | undefined } = { era, object: undefined };
  const unexpected = () => Promise.reject(new Error('unexpected call'));
  const write = (revision: number, value: unknown): StoredObject => {
    state.object = { name: 'planner', revision, era: state.era, value };
    return state.object;
  };
  const store: ObjectStore = {
    list: unexpected,
    watch: unexpected,
    remove: unexpected,
    callCount: () => 0,
    read: () =>
      Promise.resolve(
        state.object
          ? { kind: 'found', object: { ...state.object, era: state.era } }
          : { kind: 'absent', era: state.era },
      ),
    create: (_kind, _name, value) =>
      Promise.resolve(
        state.object
          ? { kind: 'conflict', current: state.object }
          : { kind: 'written', object: write(1, value) },
      ),
    replace: (_kind, _name, { value, revision }) =>
      Promise.resolve(
        state.object?.revision === revision
          ? { kind: 'written', object: write(revision + 1, value) }
          : { kind: 'conflict', current: state.object },
      ),
  };
  const lease = new PlannerLease({ store, holder: HOLDER, log: createSilentLogger() });
  const backWith = (value: unknown, revision: number, newEra = state.era + 1): void => {
    state.era = newEra;
    state.object = value === undefined ? undefined : { name: 'planner', revision, value };
  };
  return { store, lease, backWith };
}

const never = (): boolean => false;

// Engines reject orders with a lower number than one that they have seen.
test('planner lease: it is written again after the store has lost it, with a term that is not lower', async () => {
  const { lease, backWith } = createDrill();
  assert.equal(await lease.acquireOrRenew(never), 'held');
  backWith({ holder: 'entry-2/1', token: 'a', term: 7 }, 5);
  lease.forget();
  assert.equal(await lease.acquireOrRenew(() => true), 'held');
  // The era that was lost may have given 8 to another holder.
  assert.ok(lease.term > 8, `${lease.term}`);
  const { term } = lease;
  backWith(undefined, 0);
  lease.forget();
  assert.ok(!lease.isHolder);
  assert.equal(await lease.acquireOrRenew(never), 'held');
  assert.ok(lease.term > term, `${lease.term}`);
});

// Revisions are given out again: the holder's own revision may be that of another holder's lease.
test('planner lease: a renewal that hits a revision given out again does not count as held', async () => {
  const { lease, backWith } = createDrill();
  await lease.acquireOrRenew(never);
  await lease.acquireOrRenew(never);
  backWith({ holder: 'entry-2/1', token: 'a', term: 1 }, 2);
  assert.equal(await lease.acquireOrRenew(never), 'lost');
  assert.ok(!lease.isValid);
});

// The instance that takes the lease over knows no number that was given since the copy.
test('planner lease: no fencing number is given to two holders when the store has lost the first one', async () => {
  for (const copied of [undefined, { holder: 'entry-9/1', token: 'a', term: 1 }]) {
    const { store, lease, backWith } = createDrill();
    if (copied) backWith(copied, 1);
    const other = new PlannerLease({ store, holder: 'entry-2/1', log: createSilentLogger() });
    assert.equal(await lease.acquireOrRenew(() => true), 'held');
    backWith(copied, 1);
    assert.equal(await other.acquireOrRenew(() => true), 'held');
    assert.notEqual(other.term, lease.term);
  }
});

test('planner lease: a store that tells no era gives terms one by one, as before it had eras', async () => {
  const { store, lease, backWith } = createDrill({ era: 0 });
  assert.equal(await lease.acquireOrRenew(never), 'held');
  assert.equal(lease.term, 1);
  backWith({ holder: 'entry-2/1', token: 'a', term: 7 }, 5, 0);
  lease.forget();
  assert.equal(await lease.acquireOrRenew(() => true), 'held');
  assert.equal(lease.term, 8);
  assert.equal(await lease.acquireOrRenew(never), 'held');
  assert.equal(lease.term, 8);
  const other = new PlannerLease({ store, holder: 'entry-3/1', log: createSilentLogger() });
  assert.equal(await other.acquireOrRenew(() => true), 'held');
  assert.equal(other.term, 9);
});

// The store came back between the question and the write, and another instance may have asked since.
test('planner lease: a lease created in a newer era than the one that lacked it gets a term of that era', async () => {
  const { store, backWith } = createDrill();
  const read: typeof store.read = async (kind, name) => {
    const result = await store.read(kind, name);
    if (result.kind === 'absent') backWith(undefined, 0);
    return result;
  };
  const lease = new PlannerLease({
    store: { ...store, read },
    holder: HOLDER,
    log: createSilentLogger(),
  });
  assert.equal(await lease.acquireOrRenew(never), 'lost');
  const { term: first } = lease;
  assert.equal(await lease.acquireOrRenew(never), 'held');
  assert.ok(lease.term > first);
});
