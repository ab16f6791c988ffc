import assert from 'node:assert/strict';
import { setImmediate } from 'node:timers/promises';
import { test } from 'node:test';
import fc from 'fast-check';
import type { CallerStream } from './caller-stream.js';
import type { ChainSelector, EngineChain } from './chain-selector.js';
import type { EntryContext } from '../entry/entry-context.js';
import type { EntryRequest } from '../entry/entry-request.js';
import { decideOnSuspicion } from '../evidence/exchange-suspicion.js';
import { StreamAttempt } from './stream-attempt.js';
import type { StreamExchange } from './stream-exchange.js';
import type { BegunPeerStream } from './stream-replacement.js';

const BEGUN = {
  kind: 'peer',
  answer: { message: { destroy: () => undefined } },
} as unknown as BegunPeerStream;

/** Runs an attempt at one engine whose exchange, replacements and evidence the test controls. */
class AttemptUnderTest {
  hasServerEnded = false;

  isAllowed = true;

  isOpen = true;

  /** Whether the attempt was ended by the instance while its exchange was open. */
  wasEnded = false;

  /** Whether a replacement has begun to answer, with no event of the attempt before. */
  hasReplacementBegun = false;

  readonly #attempt: StreamAttempt;

  #settle: { resolve: () => void; reject: (error: Error) => void } | undefined;

  #replacement: { begin: () => void; fail: () => void } | undefined;

  constructor() {
    const engine = { id: 'a', server: { entry: { id: 'a' } } };
    const log = { info: () => undefined };
    this.#attempt = new StreamAttempt({
      context: {
        logs: () => log,
        metrics: { countEvent: () => undefined },
        stallDetector: { add: () => undefined, remove: () => undefined },
        fleet: { find: () => undefined },
        serverPace: { recordAnswer: () => undefined, recordFailure: () => undefined },
      } as unknown as EntryContext,
      request: {
        signal: new AbortController().signal,
        metadata: { requestId: 'request' },
        route: { targetMilliseconds: 500 },
      } as unknown as EntryRequest,
      release: () => undefined,
      chainSelector: {
        avoidedEngineIds: new Set(),
        reserve: () => () => undefined,
      } as unknown as ChainSelector,
      exchange: this.#createExchange(),
      caller: { hasStarted: true, lastEventId: 1 } as unknown as CallerStream,
      chain: { stages: [{ engine }] } as unknown as EngineChain,
      firstEngine: engine.server as never,
      decide: () =>
        decideOnSuspicion({
          hasServerEnded: this.hasServerEnded,
          mayRunAgain: this.isAllowed,
          hasAlternative: () => true,
          acquireRetry: () => true,
        }),
      startReplacement: () => this.#startReplacement(),
      tryTakeLateRetry: () => true,
    });
    void this.#attempt.run();
  }

  /** What may happen to an attempt, by name. */
  readonly happenings: Readonly<Record<string, () => void>> = {
    event: () => {
      if (this.isOpen) this.#attempt.recordProgress();
    },
    silence: () => this.#attempt.routeAround(['a']),
    lateFirstEvent: () => this.#attempt.retryElsewhere(),
    serverEnds: () => {
      this.hasServerEnded = true;
    },
    retriesRunOut: () => {
      this.isAllowed = false;
    },
    retriesReturn: () => {
      this.isAllowed = true;
    },
    replacementBegins: () => this.#replacement?.begin(),
    replacementFails: () => this.#replacement?.fail(),
    streamCompletes: () => this.#end(() => this.#settle?.resolve()),
    streamBreaksOff: () => this.#end(() => this.#settle?.reject(new Error('reset'))),
  };

  #end(settle: () => void): void {
    this.isOpen = false;
    settle();
  }

  #createExchange(): StreamExchange {
    let signal: AbortSignal;
    const exchange = {
      open: (_chain: unknown, _engine: unknown, attemptSignal: AbortSignal) => {
        signal = attemptSignal;
        return Promise.resolve({ kind: 'accepted' });
      },
      relay: () =>
        new Promise((resolve, reject) => {
          this.#settle = { resolve: () => resolve({ kind: 'completed' }), reject };
          signal.addEventListener('abort', () => {
            if (!this.isOpen) return;
            this.wasEnded = true;
            this.#end(() => reject(new Error('cancelled')));
          });
        }),
      recordStall: () => undefined,
      classifyError: () => ({ kind: 'broken', engineIdsToAvoid: [], message: '' }),
    };
    return exchange as unknown as StreamExchange;
  }

  #startReplacement() {
    let isCancelled = false;
    let resolve: (begun: BegunPeerStream | undefined) => void = () => undefined;
    const begun = new Promise<BegunPeerStream | undefined>((done) => {
      resolve = done;
    });
    this.#replacement = {
      begin: () => {
        if (!isCancelled && this.isOpen) this.hasReplacementBegun = true;
        resolve(isCancelled ? undefined : BEGUN);
      },
      fail: () => resolve(undefined),
    };
    const cancel = (): void => {
      isCancelled = true;
    };
    return { begun, cancel };
  }
}

const NAMES = Object.keys(new AttemptUnderTest().happenings);

test('stream attempt: a running stream is ended only after its server, or once another attempt has begun to answer', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.constantFrom(...NAMES), { minLength: 2, maxLength: 12 }),
      async (names) => {
        const attempt = new AttemptUnderTest();
        await setImmediate();
        for (const name of names) {
          attempt.happenings[name]?.();
          await setImmediate();
          if (attempt.wasEnded) assert.ok(attempt.hasServerEnded || attempt.hasReplacementBegun);
        }
      },
    ),
    { numRuns: 500 },
  );
});

test('stream attempt: an event cancels the attempt beside it', async () => {
  const attempt = new AttemptUnderTest();
  await setImmediate();
  for (const name of ['silence', 'event', 'replacementBegins']) {
    attempt.happenings[name]?.();
    await setImmediate();
  }
  assert.equal(attempt.wasEnded, false);
});

test('stream attempt: it is ended once another attempt has begun to answer', async () => {
  const attempt = new AttemptUnderTest();
  await setImmediate();
  for (const name of ['silence', 'replacementBegins']) {
    attempt.happenings[name]?.();
    await setImmediate();
  }
  assert.equal(attempt.wasEnded, true);
});
