import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decideOnEndedRun, type EndedRunProof } from './ended-run.js';

const PROOFS: readonly EndedRunProof[] = [
  'notRepeatable',
  'blockedContent',
  'endsServers',
  'runLimit',
];

function decide(options: {
  readonly hasStarted: boolean;
  readonly proof: EndedRunProof | undefined;
  readonly isRefusedTooOften: boolean;
  readonly hasBudget: boolean;
}) {
  let taken = 0;
  const decision = decideOnEndedRun({
    ...options,
    acquireRetry: () => {
      if (options.hasBudget) taken += 1;
      return options.hasBudget;
    },
  });
  return { decision, taken };
}

const ENDED_RUN = fc.record({
  hasStarted: fc.boolean(),
  proof: fc.option(fc.constantFrom(...PROOFS), { nil: undefined }),
  isRefusedTooOften: fc.boolean(),
  hasBudget: fc.boolean(),
});

// A refusal or an empty budget cut streams off that could have been finished.
test('ended run: a stream that has begun ends only with a proof', () => {
  fc.assert(
    fc.property(ENDED_RUN, (endedRun) => {
      const { decision } = decide({ ...endedRun, hasStarted: true });
      assert.equal(decision.kind, endedRun.proof ? 'end' : 'wait');
    }),
  );
});

test('ended run: what has not begun is tried again at once or ends, and never waits', () => {
  fc.assert(
    fc.property(ENDED_RUN, (endedRun) => {
      const { proof, isRefusedTooOften, hasBudget } = endedRun;
      const { decision } = decide({ ...endedRun, hasStarted: false });
      const isRetried = !proof && !isRefusedTooOften && hasBudget;
      assert.equal(decision.kind, isRetried ? 'retry' : 'end');
    }),
  );
});

test('ended run: a retry of the budget is taken only for a request that is sent again at once', () => {
  fc.assert(
    fc.property(ENDED_RUN, (endedRun) => {
      const { decision, taken } = decide(endedRun);
      assert.equal(taken, decision.kind === 'retry' ? 1 : 0);
    }),
  );
});
