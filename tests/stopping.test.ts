/**
 * Tests that backend servers that are leaving get no new requests, and that stopping an instance
 * interrupts no request.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '../src/common/clock.js';
import type { Address } from '../src/common/address.js';
import { sendRequest, createIdempotencyKey, requestStream } from '../tools/caller.js';
import { tryFetchJson, waitForExit, type DaemonProcess } from '../tools/daemon-group.js';
import { startFleet } from '../tools/fleet.js';
import { checkHistory, type Arrival, type Submission } from '../tools/history.js';
import { computeExpectedTokens } from '../tools/stand-ins/token-function.js';

const LOCATIONS = [{ dataCentre: 'dc-a' }, { dataCentre: 'dc-b' }, { dataCentre: 'dc-b' }];
/** Lag of the instance list to be tolerated; the rolling restart runs with a thirtieth of it. */
const PLATFORM_LIST_LAG_MILLISECONDS = 30_000;
const ADDRESSES_KEPT_MILLISECONDS = 400;

test('stopping: a leaving engine and a leaving service replica get no new requests while the instance list still shows them as live', async (context) => {
  const fleet = await startFleet({
    instances: LOCATIONS,
    engines: [{ id: 'leaving-engine' }, { id: 'remaining-engine' }],
    services: [{ service: 'bookings' }, { service: 'bookings' }],
  });
  context.after(() => fleet.stop());
  const [leavingEngine, remainingEngine] = fleet.engines;
  const [leavingReplica] = fleet.services;
  assert.ok(leavingEngine && remainingEngine && leavingReplica);
  const leavingSince = new Map<string, number>();
  const submissions: Submission[] = [];
  const arrivals: Arrival[] = [];
  const endsAt = Date.now() + 8000;
  const sendRequests = async (daemon: DaemonProcess): Promise<void> => {
    for (let count = 0; Date.now() < endsAt; count += 1) {
      const body = { model: 'drafting', prompt: `${daemon.name}/${count}`, max_tokens: 2, seed: 1 };
      const answer = await requestStream(daemon.callerAddress, body);
      const key = createIdempotencyKey(`${daemon.name}-${count}`);
      const path = '/v1/services/bookings/movers';
      const bookingAnswer = await sendRequest(daemon.callerAddress, 'POST', path, '', {
        headers: { 'idempotency-key': key },
      });
      [answer, bookingAnswer].forEach(({ outcome }) => {
        submissions.push({ id: key, sentAt: 0, answeredAt: 0, outcome, received: '' });
      });
    }
  };
  const startLeaving = async (): Promise<void> => {
    await sleep(1500);
    leavingEngine.faults.leaving = true;
    leavingReplica.faults.leaving = true;
    leavingSince.set('leaving-engine', Date.now());
    leavingSince.set('leaving-replica', Date.now());
  };
  await Promise.all([startLeaving(), ...fleet.daemons.map(sendRequests)]);
  leavingEngine.offeredGenerations.forEach(({ at }) =>
    arrivals.push({ server: 'leaving-engine', at }),
  );
  leavingReplica.journal.forEach(({ startedAt }) => {
    arrivals.push({ server: 'leaving-replica', at: startedAt });
  });
  assert.ok(arrivals.some(({ server }) => server === 'leaving-engine'));
  assert.ok(arrivals.some(({ server }) => server === 'leaving-replica'));
  assert.ok(submissions.every(({ outcome }) => outcome === 'completed'));
  assert.deepEqual(checkHistory({ submissions: [], executions: [], arrivals, leavingSince }), []);
});

/**
 * A caller that asks an instance for the addresses to use, and caches them for the time that the
 * answer allows.
 */
class AddressCachingCaller {
  #addresses: Address[] = [];

  #cachedUntil = 0;

  readonly #bootstrapAddresses: readonly Address[];

  constructor(bootstrapAddresses: readonly Address[]) {
    this.#bootstrapAddresses = bootstrapAddresses;
  }

  async getAddress(): Promise<Address> {
    if (Date.now() >= this.#cachedUntil) await this.#refreshAddresses();
    return this.#addresses[0] as Address;
  }

  async #refreshAddresses(): Promise<void> {
    for (const daemon of [...this.#addresses, ...this.#bootstrapAddresses]) {
      const answer = await tryFetchJson<{ addresses: Address[]; keepMilliseconds: number }>(
        daemon,
        `/v1/addresses?account=planner`,
      );
      if (answer && answer.addresses.length > 0) {
        this.#addresses = answer.addresses;
        this.#cachedUntil = Date.now() + answer.keepMilliseconds;
        return;
      }
    }
    throw new Error('No instance answered with an address.');
  }
}

test('stopping: a rolling restart of every instance under load interrupts no request', async (context) => {
  const fleet = await startFleet({
    instances: LOCATIONS,
    engines: [
      { from: 0, to: 4, stepMilliseconds: 20, slots: 32 },
      { from: 4, to: 8, stepMilliseconds: 20, slots: 32 },
    ],
    services: [{ service: 'bookings' }],
    listLagMilliseconds: PLATFORM_LIST_LAG_MILLISECONDS / 30,
    settings: { timeLimits: { addressesKept: ADDRESSES_KEPT_MILLISECONDS } },
  });
  context.after(() => fleet.stop());
  const bootstrapAddresses = fleet.daemons.map((daemon) => daemon.callerAddress);
  const submissions: Submission[] = [];
  let isFinished = false;
  const sendRequests = async (worker: number): Promise<void> => {
    const caller = new AddressCachingCaller(bootstrapAddresses);
    for (let count = 0; !isFinished; count += 1) {
      const prompt = `Worker ${worker}, request ${count}`;
      const tokenCount = 5 + (count % 4) * 10;
      const body = { model: 'drafting', prompt, max_tokens: tokenCount, seed: 1 };
      const answer = await requestStream(await caller.getAddress(), body);
      const key = createIdempotencyKey(`rolling-${worker}-${count}`);
      const path = '/v1/services/bookings/movers';
      const bookingAnswer = await sendRequest(await caller.getAddress(), 'POST', path, '', {
        headers: { 'idempotency-key': key },
      });
      const input = {
        model: 'drafting',
        version: '1',
        adapter: '',
        prompt,
        seed: 1,
        totalLayers: 8,
      };
      const times = { sentAt: 0, answeredAt: 0 };
      submissions.push(
        {
          ...times,
          id: `${key}-stream`,
          outcome: answer.outcome,
          expected: computeExpectedTokens(input, tokenCount).join(''),
          received: answer.tokens.join(''),
        },
        { ...times, id: key, key, outcome: bookingAnswer.outcome, received: '' },
      );
    }
  };
  const restartEveryInstance = async (): Promise<void> => {
    for (const daemon of fleet.daemons) {
      daemon.getProcess().kill('SIGTERM');
      assert.equal(await waitForExit(daemon), 0);
      daemon.launch();
      await fleet.waitUntilReady();
    }
    isFinished = true;
  };
  await Promise.all([
    restartEveryInstance(),
    ...Array.from({ length: 8 }, (_, index) => sendRequests(index)),
  ]);
  const failures = submissions.filter(({ outcome }) => outcome !== 'completed');
  assert.deepEqual(failures, []);
  assert.ok(submissions.length > 50);
  assert.deepEqual(checkHistory({ submissions, executions: fleet.journal }), []);
});
