import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  computeClassLimit,
  decideOnAdmission,
  isExpectedInTime,
  type AdmissionInputs,
} from './admission-decision.js';

interface Case {
  readonly index: number;
  readonly count: number;
  readonly pressure: number;
  readonly takenPlaces?: number;
  readonly isOverShare?: boolean;
  readonly timeLeftShare?: number;
}

function decide({
  index,
  count,
  pressure,
  takenPlaces = 1,
  isOverShare = false,
  timeLeftShare = 1,
}: Case) {
  const inputs: AdmissionInputs = {
    priorityClass: { index, count },
    pressure: { value: pressure, resource: 'cache', utilisations: { cache: pressure } },
    takenPlaces: () => takenPlaces,
    isOverShare: () => isOverShare,
    timeLeftShare,
  };
  return decideOnAdmission(inputs);
}

const ANY_CASE = fc.record({
  count: fc.integer({ min: 2, max: 10 }),
  index: fc.nat({ max: 9 }),
  pressure: fc.double({ min: 0, max: 3, noNaN: true }),
  takenPlaces: fc.double({ min: 0, max: 2, noNaN: true }),
  isOverShare: fc.boolean(),
  timeLeftShare: fc.double({ min: -1, max: 2, noNaN: true }),
});

test('admission: limits fall from class to class, below 1 and never below 0.8', () => {
  [2, 3, 10].forEach((count) => {
    const limits = Array.from({ length: count }, (_, index) => computeClassLimit({ index, count }));
    assert.equal(limits[0], Number.POSITIVE_INFINITY);
    limits.slice(1).forEach((limit, index) => {
      assert.ok(limit < 1 && limit >= 0.8 - 1e-9, `${limit}`);
      assert.ok(limit < (limits[index] ?? 0));
    });
  });
});

test('admission: nothing is refused below a pressure of 0.8 or while half of the places are free', () =>
  fc.assert(
    fc.property(ANY_CASE, (any) => {
      const index = any.index % any.count;
      const decision = decide({ ...any, index });
      if (decision.kind === 'refuse')
        assert.ok(any.pressure >= 0.8 - 1e-9 && any.takenPlaces >= 0.5);
    }),
    { seed: 41 },
  ));

// A less urgent route may not be served better than a more urgent one of the same service.
test('admission: where a request is admitted, the same one of the next more urgent class is', () =>
  fc.assert(
    fc.property(ANY_CASE, fc.double({ min: 0, max: 1, noNaN: true }), (any, otherTimeLeft) => {
      const index = any.index % any.count;
      if (index === 0 || decide({ ...any, index }).kind === 'refuse') return;
      const moreUrgent = { ...any, index: index - 1, timeLeftShare: otherTimeLeft };
      assert.equal(decide(moreUrgent).kind, 'admit');
    }),
    { seed: 42 },
  ));

test('admission: the most urgent class is admitted above capacity', () => {
  assert.equal(decide({ index: 0, count: 3, pressure: 3 }).kind, 'admit');
});

test('admission: an account over its share is refused before the others of its class', () => {
  const inputs = { index: 0, count: 3, pressure: 0.95 };
  assert.equal(decide(inputs).kind, 'admit');
  const decision = decide({ ...inputs, isOverShare: true });
  assert.deepEqual(decision, { kind: 'refuse', code: 'account_over_share', limit: 0.9 });
  assert.equal(decide({ ...inputs, pressure: 0.85, isOverShare: true }).kind, 'admit');
});

// Returning requests have waited already; a fresh request of their class took the place.
test('admission: a returning request goes before a fresh one of its class, not before the next class', () => {
  const fresh = decide({ index: 2, count: 3, pressure: 0.84 });
  assert.deepEqual(fresh.kind === 'refuse' && fresh.code, 'reserved_for_priority');
  assert.equal(decide({ index: 2, count: 3, pressure: 0.84, timeLeftShare: 0.1 }).kind, 'admit');
  assert.equal(decide({ index: 2, count: 3, pressure: 0.89, timeLeftShare: 0 }).kind, 'refuse');
  assert.equal(decide({ index: 1, count: 3, pressure: 0.89 }).kind, 'admit');
});

test('admission: only under pressure does a decision look up places and shares', () => {
  const fail = (): never => assert.fail('looked up without pressure');
  const decision = decideOnAdmission({
    priorityClass: { index: 1, count: 2 },
    pressure: { value: 0.5, resource: 'slots', utilisations: {} },
    takenPlaces: fail,
    isOverShare: fail,
    timeLeftShare: 1,
  });
  assert.equal(decision.kind, 'admit');
});

// Calls that could not be completed in time occupied the slots of those that could.
test('admission of calls: one that cannot be completed in time is refused where places are short', () => {
  const late = { expectedMilliseconds: 800, timeLeftMilliseconds: 300 };
  const several = { index: 0, count: 2 };
  const one = { index: 0, count: 1 };
  const isAdmitted = (priorityClass: typeof one, takenPlaces: number, areAllFull: boolean) =>
    isExpectedInTime({ ...late, priorityClass, takenPlaces, areAllFull });
  assert.equal(isAdmitted(several, 0.6, false), false);
  assert.equal(isAdmitted(several, 0.4, false), true);
  assert.equal(isAdmitted(one, 0.9, false), true);
  assert.equal(isAdmitted(one, 1, true), false);
  const enough = { expectedMilliseconds: 200, timeLeftMilliseconds: 300 };
  assert.ok(isExpectedInTime({ ...enough, priorityClass: one, takenPlaces: 1, areAllFull: true }));
});
