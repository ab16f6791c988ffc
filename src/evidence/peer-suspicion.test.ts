import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decideOnPeer } from './peer-suspicion.js';

const State = fc.record({
  hasPeerEnded: fc.boolean(),
  areRecordsLate: fc.boolean(),
  silenceMilliseconds: fc.integer({ min: 0, max: 5000 }),
  mayRunAgain: fc.boolean(),
  hasPeer: fc.boolean(),
  hasRetry: fc.boolean(),
});

// Late records alone ended what a peer went on with.
test('peer suspicion: only the end of the peer ends an exchange, and only silence of both kinds brings another attempt', () => {
  fc.assert(
    fc.property(State, ({ hasPeer, hasRetry, ...state }) => {
      let retries = 0;
      const decision = decideOnPeer({
        ...state,
        hasOtherPeer: () => hasPeer,
        acquireRetry: () => {
          retries += 1;
          return hasRetry;
        },
      });
      const isSilent = state.areRecordsLate && state.silenceMilliseconds >= 500;
      const mayTry = isSilent && state.mayRunAgain && hasPeer;
      assert.equal(decision.kind === 'end', state.hasPeerEnded);
      assert.equal(
        decision.kind === 'tryBeside',
        !state.hasPeerEnded && mayTry && hasRetry,
        'another attempt',
      );
      assert.equal(retries, !state.hasPeerEnded && mayTry ? 1 : 0, 'retries asked for');
    }),
    { seed: 5 },
  );
});
