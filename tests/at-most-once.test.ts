/**
 * Tests that a request which is not idempotent runs at most once when instances are killed or
 * suspended, answers are lost, or the object store is unavailable.
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import { sendRequest, createIdempotencyKey, type CallerResponse } from '../tools/caller.js';
import type { DaemonProcess } from '../tools/daemon-group.js';
import { startFleet, type Fleet } from '../tools/fleet.js';
import { checkHistory, type Submission } from '../tools/history.js';
import { createRandom } from '../tools/random.js';

const LOCATIONS = [{ dataCentre: 'dc-a' }, { dataCentre: 'dc-a' }, { dataCentre: 'dc-b' }];
const REQUEST_BODY = '{"day":"Monday"}';
/** Time limit for an answer that must not wait for the object store. */
const IMMEDIATE_ANSWER_MILLISECONDS = 1000;

async function startBookingsFleet(context: TestContext): Promise<Fleet> {
  const fleet = await startFleet({
    instances: LOCATIONS,
    services: [{ service: 'bookings' }, { service: 'bookings', dataCentre: 'dc-b' }],
  });
  context.after(() => fleet.stop());
  return fleet;
}

/** Sends bookings to instances and records the outcome that each of them answered. */
class BookingCaller {
  readonly submissions: Submission[] = [];

  readonly #fleet: Fleet;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  async sendBooking(daemon: DaemonProcess, key: string): Promise<CallerResponse> {
    const id = `submission-${this.submissions.length}-${Math.floor(performance.now() * 1000)}`;
    const sentAt = Date.now();
    const headers = { 'idempotency-key': key, 'x-request-id': id };
    const path = '/v1/services/bookings/movers';
    const answer = await sendRequest(daemon.callerAddress, 'POST', path, REQUEST_BODY, {
      headers,
      timeoutMilliseconds: 8000,
    });
    const received = answer.outcome === 'completed' ? JSON.parse(answer.body).echo : '';
    this.submissions.push({
      id,
      key,
      sentAt,
      answeredAt: Date.now(),
      outcome: answer.outcome,
      expected: REQUEST_BODY,
      received,
    });
    return answer;
  }

  sendBookingToAllInstances(key: string): Promise<CallerResponse[]> {
    return Promise.all(this.#fleet.daemons.map((daemon) => this.sendBooking(daemon, key)));
  }

  assertHistoryIsValid(): void {
    const { submissions } = this;
    assert.deepEqual(checkHistory({ submissions, executions: this.#fleet.journal }), []);
  }
}

function countExecutions(fleet: Fleet, key: string): number {
  return fleet.journal.filter((execution) => execution.key === key).length;
}

test('at most once: one idempotency key sent to all instances at the same moment', async (context) => {
  const fleet = await startBookingsFleet(context);
  const bookingCaller = new BookingCaller(fleet);
  const keys = Array.from({ length: 30 }, (_, index) => createIdempotencyKey(`moment-${index}`));
  const answers = await Promise.all(
    keys.map((key) => bookingCaller.sendBookingToAllInstances(key)),
  );
  keys.forEach((key) => assert.equal(countExecutions(fleet, key), 1));
  answers.flat().forEach((answer) => assert.equal(answer.outcome, 'completed'));
  bookingCaller.assertHistoryIsValid();
});

test('at most once: the answers to claim writes are lost', async (context) => {
  const fleet = await startBookingsFleet(context);
  const bookingCaller = new BookingCaller(fleet);
  fleet.objectApi.faults.loseWriteAnswers = 10;
  const keys = Array.from({ length: 10 }, (_, index) => createIdempotencyKey(`lost-${index}`));
  await Promise.all(keys.map((key) => bookingCaller.sendBookingToAllInstances(key)));
  keys.forEach((key) => assert.equal(countExecutions(fleet, key), 1));
  bookingCaller.assertHistoryIsValid();
});

test("at most once: the service's answer is lost", async (context) => {
  const fleet = await startBookingsFleet(context);
  const bookingCaller = new BookingCaller(fleet);
  fleet.services.forEach((service) => Object.assign(service.faults, { loseAnswers: 1 }));
  const key = createIdempotencyKey('answer-lost');
  const [first] = fleet.daemons as [DaemonProcess];
  const answer = await bookingCaller.sendBooking(first, key);
  assert.equal(answer.outcome, 'unknown');
  const repeats = await bookingCaller.sendBookingToAllInstances(key);
  repeats.forEach((repeat) => assert.equal(repeat.outcome, 'unknown'));
  assert.equal(countExecutions(fleet, key), 1);
  bookingCaller.assertHistoryIsValid();
});

test('at most once: an instance is killed while a call runs, and the caller retries on the others', async (context) => {
  const fleet = await startBookingsFleet(context);
  const bookingCaller = new BookingCaller(fleet);
  const [first, second, third] = fleet.daemons as [DaemonProcess, DaemonProcess, DaemonProcess];
  fleet.services.forEach((service) => Object.assign(service.faults, { delayMilliseconds: 400 }));
  const key = createIdempotencyKey('killed');
  const pendingBooking = bookingCaller.sendBooking(first, key);
  await sleep(200);
  first.getProcess().kill('SIGKILL');
  assert.equal((await pendingBooking).outcome, 'broken');
  const repeats = await Promise.all([
    bookingCaller.sendBooking(second, key),
    bookingCaller.sendBooking(third, key),
  ]);
  repeats.forEach((repeat) => assert.equal(repeat.outcome, 'alreadyClaimed'));
  assert.equal(countExecutions(fleet, key), 1);
  bookingCaller.assertHistoryIsValid();
});

test('at most once: an instance is suspended for longer than every timeout and then resumes', async (context) => {
  const fleet = await startBookingsFleet(context);
  const bookingCaller = new BookingCaller(fleet);
  const [first, second] = fleet.daemons as [DaemonProcess, DaemonProcess];
  const keys = Array.from({ length: 20 }, (_, index) => createIdempotencyKey(`frozen-${index}`));
  const pendingBookings = keys.map(async (key, index) => {
    await sleep(index);
    return bookingCaller.sendBooking(first, key);
  });
  await sleep(15);
  first.getProcess().kill('SIGSTOP');
  await sleep(4000);
  const repeats = keys.map((key) => bookingCaller.sendBooking(second, key));
  await sleep(2500);
  first.getProcess().kill('SIGCONT');
  await Promise.all([...pendingBookings, ...repeats]);
  keys.forEach((key) => assert.ok(countExecutions(fleet, key) <= 1));
  bookingCaller.assertHistoryIsValid();
});

test('at most once: while the object store is unavailable, tickets can be redeemed, and new keys are answered at once and run later', async (context) => {
  const fleet = await startBookingsFleet(context);
  const bookingCaller = new BookingCaller(fleet);
  const [first, second] = fleet.daemons as [DaemonProcess, DaemonProcess];
  const ticketResponse = await sendRequest(
    first.callerAddress,
    'POST',
    '/v1/tickets',
    '{"count":3}',
  );
  const [ticket = '', unusedTicket = ''] = JSON.parse(ticketResponse.body).tickets as string[];
  fleet.objectApi.faults.outage = true;
  const writesBefore = fleet.objectApi.calls.write;
  const redemptions = await Promise.all([
    bookingCaller.sendBooking(first, ticket),
    bookingCaller.sendBooking(second, ticket),
  ]);
  redemptions.forEach((answer) => assert.equal(answer.outcome, 'completed'));
  assert.equal(countExecutions(fleet, ticket), 1);
  const key = createIdempotencyKey('outage');
  await bookingCaller.sendBooking(first, key);
  const startedAt = performance.now();
  const unavailableAnswer = await bookingCaller.sendBooking(first, key);
  assert.equal(unavailableAnswer.outcome, 'unknown');
  assert.equal(JSON.parse(unavailableAnswer.body).code, 'claim_unavailable');
  assert.ok(Number(unavailableAnswer.headers['retry-after']) > 0);
  assert.ok(performance.now() - startedAt < IMMEDIATE_ANSWER_MILLISECONDS);
  assert.equal(countExecutions(fleet, key), 0);
  fleet.objectApi.faults.outage = false;
  await sleep(1500);
  assert.equal((await bookingCaller.sendBooking(second, key)).outcome, 'completed');
  first.getProcess().kill('SIGKILL');
  await sleep(100);
  assert.equal((await bookingCaller.sendBooking(second, unusedTicket)).outcome, 'unknown');
  assert.equal(fleet.objectApi.calls.write > writesBefore, true);
  bookingCaller.assertHistoryIsValid();
});

test('at most once: random combinations of these faults, from a seed', async (context) => {
  const fleet = await startBookingsFleet(context);
  const bookingCaller = new BookingCaller(fleet);
  const random = createRandom(Number(process.env.SEED ?? 4));
  const faultInjections: (() => Promise<void>)[] = [
    async () => {
      fleet.objectApi.faults.loseWriteAnswers = 3;
    },
    async () => {
      fleet.objectApi.faults.outage = true;
      await sleep(1200);
      fleet.objectApi.faults.outage = false;
    },
    async () => {
      const daemon = random.pick(fleet.daemons);
      daemon.getProcess().kill('SIGSTOP');
      await sleep(800);
      daemon.getProcess().kill('SIGCONT');
    },
    async () => {
      const daemon = random.pick(fleet.daemons);
      daemon.getProcess().kill('SIGKILL');
      await sleep(300);
      daemon.launch();
    },
    async () => {
      const service = random.pick(fleet.services);
      Object.assign(service.faults, { loseAnswers: 2, refuse: 2 });
    },
  ];
  const endsAt = Date.now() + 9000;
  const injectFaults = async (): Promise<void> => {
    while (Date.now() < endsAt) {
      await random.pick(faultInjections)();
      await sleep(300);
    }
  };
  const sendBookings = async (worker: number): Promise<void> => {
    for (let count = 0; Date.now() < endsAt; count += 1) {
      const key = createIdempotencyKey(`all-${worker}-${count}`);
      const repeats = 1 + Math.floor(random.next() * 4);
      const targets = Array.from({ length: repeats }, () => random.pick(fleet.daemons));
      await Promise.all(
        targets.map(async (daemon) => {
          await sleep(random.next() * 300);
          await bookingCaller.sendBooking(daemon, key);
        }),
      );
    }
  };
  await Promise.all([
    injectFaults(),
    ...Array.from({ length: 12 }, (_, index) => sendBookings(index)),
  ]);
  assert.ok(bookingCaller.submissions.some((submission) => submission.outcome === 'completed'));
  bookingCaller.assertHistoryIsValid();
});
