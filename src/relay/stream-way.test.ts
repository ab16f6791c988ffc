import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AdmissionRefusal } from '../admission/admission-control.js';
import type { EntryContext } from '../entry/entry-context.js';
import type { EntryRequest } from '../entry/entry-request.js';
import { ENGINE_PROFILE } from '../../tools/engine-profile.js';
import type { CallerStream } from './caller-stream.js';
import type { ChainSelector } from './chain-selector.js';
import type { StreamLimits } from './stream-limits.js';
import { StreamWayFinder } from './stream-way.js';

const REFUSAL: AdmissionRefusal = { code: 'reserved_for_priority', retryAfterSeconds: 1 };

/** Finds ways for one stream whose chain always exists. */
class WaysUnderTest {
  reservations = 0;

  sends = 0;

  decisions = 0;

  refusal: AdmissionRefusal | undefined;

  isCut = false;

  readonly finder = new StreamWayFinder({
    context: {
      admission: {
        admitStream: () => {
          this.decisions += 1;
          return this.refusal;
        },
      },
      serverReach: this.#createReach(),
      waitingStreams: { offerRoom: () => undefined },
      serverLimits: {
        recordSend: () => {
          this.sends += 1;
        },
      },
    } as unknown as EntryContext,
    request: {
      service: { name: 'model', engine: ENGINE_PROFILE },
      metadata: {},
    } as unknown as EntryRequest,
    caller: { hasStarted: false } as CallerStream,
    chainSelector: {
      choose: () => ({ stages: [{ engine: { id: 'a' } }] }),
      reserve: () => {
        this.reservations += 1;
        return () => undefined;
      },
    } as unknown as ChainSelector,
    limits: {} as StreamLimits,
  });

  #createReach() {
    const getIsCut = (): boolean => this.isCut;
    return {
      get isCut() {
        return getIsCut();
      },
    };
  }
}

// A refused request that left a reservation or a recorded send would take room from those that are admitted.
test('stream way: a request that is not admitted leaves no reservation and no recorded send', async () => {
  const ways = new WaysUnderTest();
  ways.refusal = REFUSAL;
  assert.deepEqual(await ways.finder.find(), { kind: 'notAdmitted', refusal: REFUSAL });
  assert.deepEqual([ways.reservations, ways.sends], [0, 0]);
});

// A request whose first attempt may have run can't be refused as not run.
test('stream way: admission is decided once, before the first attempt', async () => {
  const ways = new WaysUnderTest();
  assert.equal((await ways.finder.find()).kind, 'chain');
  ways.refusal = REFUSAL;
  assert.equal((await ways.finder.find()).kind, 'chain');
  assert.deepEqual([ways.decisions, ways.reservations, ways.sends], [1, 2, 2]);
});

test('stream way: a request that a peer may have run is not refused when it comes back', async () => {
  const ways = new WaysUnderTest();
  ways.refusal = REFUSAL;
  ways.isCut = true;
  assert.equal((await ways.finder.find()).kind, 'peers');
  ways.isCut = false;
  assert.equal((await ways.finder.find()).kind, 'chain');
  assert.equal(ways.decisions, 0);
});
