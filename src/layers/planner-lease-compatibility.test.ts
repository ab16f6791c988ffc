import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createJsonStore, createMemoryObjectStore } from '../../tools/memory-object-store.js';
import { createNested } from '../../tools/odd-values.js';
import { createSilentLogger } from '../telemetry/log.js';
import { LEASE_NAME, PlannerLease } from './planner-lease.js';

const HELD = { holder: 'entry-9/5', token: 'token', term: 7 };
const KNOWN_FIELDS = new Set(['holder', 'token', 'term', '__proto__']);

function createLease(value: unknown) {
  const memory = createMemoryObjectStore();
  memory.put(LEASE_NAME, value);
  const { store } = memory;
  const lease = new PlannerLease({ store, holder: 'entry-1/1', log: createSilentLogger() });
  return { lease, read: () => memory.get(LEASE_NAME) as Record<string, unknown> };
}

// A newer planner's fields would be gone after the first takeover by an older one.
test('lease of another build: takeover and renewal keep fields that are not known', () =>
  fc.assert(
    fc.asyncProperty(fc.dictionary(fc.string(), fc.jsonValue()), async (fields) => {
      const unknown = Object.fromEntries(
        Object.entries(fields).filter(([name]) => !KNOWN_FIELDS.has(name)),
      );
      const { lease, read } = createLease({ ...unknown, ...HELD });
      assert.equal(await lease.acquireOrRenew(() => true), 'held');
      assert.equal(await lease.acquireOrRenew(() => true), 'held');
      const { holder, token, term, ...kept } = read();
      assert.deepEqual([holder, typeof token, term], ['entry-1/1', 'string', 8]);
      assert.deepEqual(kept, unknown);
    }),
    { seed: 36, numRuns: 50 },
  ));

// A lease that did not match the schema counted as free, while its holder was sending orders.
test('lease of another build: a live holder keeps it, whichever other fields differ', async () => {
  const others: unknown[] = [
    { ...HELD, format: 2 },
    { holder: HELD.holder, term: HELD.term },
    { ...HELD, token: 1 },
    { ...HELD, term: 'seven' },
    { holder: HELD.holder },
  ];
  for (const value of others) {
    const { lease, read } = createLease(value);
    const isGone = (holder: string): boolean => holder !== HELD.holder;
    assert.equal(await lease.acquireOrRenew(isGone), 'lost', JSON.stringify(value));
    assert.deepEqual(read(), value);
  }
});

test('lease of another build: a missing token does not turn the term back', async () => {
  const { lease, read } = createLease({ holder: HELD.holder, term: HELD.term });
  assert.equal(await lease.acquireOrRenew(() => true), 'held');
  assert.equal(read().term, 8);
});

test('lease of another build: one without a readable holder does not stop planning', async () => {
  for (const value of [null, 'nonsense', { holder: 3 }, {}]) {
    const { lease, read } = createLease(value);
    assert.equal(await lease.acquireOrRenew((holder) => holder === ''), 'held');
    assert.equal(read().term, 1);
  }
});

// Each write of the lease failed, since it kept a field that can't be written; no instance could plan.
test('odd entries: a lease with a field that is nested too deeply can be taken over', async () => {
  const memory = createMemoryObjectStore();
  memory.put(LEASE_NAME, { ...HELD, nested: createNested(), format: 2 });
  const store = createJsonStore(memory.store);
  const lease = new PlannerLease({ store, holder: 'entry-1/1', log: createSilentLogger() });
  assert.equal(await lease.acquireOrRenew(() => true), 'held');
  assert.equal(await lease.acquireOrRenew(() => true), 'held');
  const { holder, format } = memory.get(LEASE_NAME) as Record<string, unknown>;
  assert.deepEqual([holder, format], ['entry-1/1', 2]);
});
