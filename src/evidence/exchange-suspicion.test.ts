import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decideOnSuspicion } from './exchange-suspicion.js';

test('exchange suspicion: an exchange is ended only if its server has ended', () => {
  fc.assert(
    fc.property(
      fc.record({
        hasServerEnded: fc.boolean(),
        mayRunAgain: fc.boolean(),
        hasAlternative: fc.boolean(),
        hasRetry: fc.boolean(),
      }),
      ({ hasServerEnded, mayRunAgain, hasAlternative, hasRetry }) => {
        let acquired = 0;
        const { kind } = decideOnSuspicion({
          hasServerEnded,
          mayRunAgain,
          hasAlternative: () => hasAlternative,
          acquireRetry: () => {
            acquired += hasRetry ? 1 : 0;
            return hasRetry;
          },
        });
        assert.equal(kind === 'end', hasServerEnded);
        const mayTry = !hasServerEnded && mayRunAgain && hasAlternative && hasRetry;
        assert.equal(kind === 'tryBeside', mayTry);
        assert.equal(acquired, mayTry ? 1 : 0);
      },
    ),
  );
});
