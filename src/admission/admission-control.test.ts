import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import { test } from 'node:test';
import type { EntryRequest } from '../entry/entry-request.js';
import { RefusalPacing } from '../entry/refusal-pacing.js';
import type { FleetServer } from '../fleet/fleet-server.js';
import { AccountShares } from './account-shares.js';
import { AdmissionControl } from './admission-control.js';

type Line = Readonly<Record<string, unknown>>;

const SLOTS = 6;

function createServer(id: string, requests: number): FleetServer {
  return {
    entry: { id, slots: SLOTS },
    ownLoad: { requests, reservedTokenLayers: 0 },
    peerLoad: { requests: 0, reservedTokenLayers: 0 },
  } as unknown as FleetServer;
}

/** An admission control for calls to servers with some load. */
class CallsUnderTest {
  readonly lines: Line[] = [];

  readonly events: string[] = [];

  readonly shares = new AccountShares(() => 0);

  classes = { index: 0, count: 3 };

  expectedMilliseconds = 50;

  readonly #control = new AdmissionControl({
    classes: { find: () => this.classes },
    accountShares: this.shares,
    fleet: { listForService: () => [] },
    outlierEjection: { isEjected: () => false },
    callTimes: { expectedMilliseconds: () => this.expectedMilliseconds, reportedLoad: () => 0 },
    linkLoad: { estimateUtilisation: () => 0 },
    refusalPacing: new RefusalPacing({ now: () => 0, random: () => 0.5 }),
    metrics: { countEvent: (event) => this.events.push(event) },
    logs: () =>
      ({
        info: (message: string, fields: Line) => this.lines.push({ message, ...fields }),
      }) as never,
    now: () => 0,
    random: () => 0.5,
  });

  admit(loads: readonly number[], overrides: Partial<EntryRequest> = {}) {
    const servers = loads.map((requests, index) => createServer(`server-${index}`, requests));
    const [server] = servers;
    assert.ok(server);
    const request = {
      account: { name: 'account', priority: undefined },
      route: { priority: this.classes.index, timeoutMilliseconds: 1000 },
      service: { name: 'lookup' },
      metadata: { requestId: 'r-1' },
      deadline: 1000,
      response: new EventEmitter(),
      ...overrides,
    } as unknown as EntryRequest;
    return { request, refusal: this.#control.admitCall({ request, server, servers }) };
  }
}

test('admission control: of six slots, less urgent calls leave some to more urgent ones', () => {
  const calls = new CallsUnderTest();
  const listAdmitted = (index: number): number[] => {
    calls.classes = { index, count: 3 };
    return [0, 1, 2, 3, 4, 5, 6].filter((load) => !calls.admit([load]).refusal);
  };
  assert.deepEqual(listAdmitted(0), [0, 1, 2, 3, 4, 5, 6]);
  assert.deepEqual(listAdmitted(1), [0, 1, 2, 3, 4]);
  assert.deepEqual(listAdmitted(2), [0, 1, 2, 3]);
});

test('admission control: a full server beside free ones refuses nobody', () => {
  const calls = new CallsUnderTest();
  calls.classes = { index: 2, count: 3 };
  assert.equal(calls.admit([6, 1, 1]).refusal, undefined);
});

test('admission control: a decision is logged and counted with its inputs', () => {
  const calls = new CallsUnderTest();
  calls.classes = { index: 2, count: 3 };
  calls.shares.merge('peer', undefined);
  const { refusal } = calls.admit([5]);
  assert.deepEqual(refusal, { code: 'reserved_for_priority', retryAfterSeconds: 0.6 });
  assert.deepEqual(calls.lines, [
    {
      message: 'Admission decided.',
      requestId: 'r-1',
      class: 2,
      classes: 3,
      account: 'account',
      pressure: 1,
      resource: 'slots',
      utilisations: { slots: 1 },
      takenPlaces: 0.833,
      limit: 0.8,
      timeLeftMilliseconds: 1000,
      accountLoad: undefined,
      meanLoadOfOthers: undefined,
      oldestAccountRecordMilliseconds: undefined,
      newestRecordMilliseconds: 0,
      outcome: 'reserved_for_priority',
    },
  ]);
  assert.deepEqual(calls.events, [
    'admission_reserved_for_priority_class_2',
    'admission_short_of_slots',
  ]);
});

// A peer has decided already, and a resumed stream has begun.
test('admission control: requests that a peer passes on or that resume are not refused', () => {
  const calls = new CallsUnderTest();
  calls.classes = { index: 2, count: 3 };
  calls.expectedMilliseconds = 5000;
  const relayed = { processKeys: [] } as unknown as EntryRequest['relayed'];
  assert.equal(calls.admit([9], { relayed }).refusal, undefined);
  const metadata = { requestId: 'r-2', lastEventId: 3 } as EntryRequest['metadata'];
  assert.equal(calls.admit([9], { metadata }).refusal, undefined);
});

test('admission control: an admitted call counts for its account until its response ends', () => {
  const calls = new CallsUnderTest();
  const { request } = calls.admit([1]);
  assert.deepEqual(calls.shares.reported, [['lookup', 0, 1, [['account', 1]]]]);
  request.response.emit('close');
  assert.equal(calls.shares.reported, undefined);
  calls.classes = { index: 2, count: 3 };
  assert.ok(calls.admit([6]).refusal);
  assert.equal(calls.shares.reported, undefined);
});

test('admission control: a service with one class neither decides, nor logs, nor counts', () => {
  const calls = new CallsUnderTest();
  calls.classes = { index: 0, count: 1 };
  calls.expectedMilliseconds = 5000;
  assert.equal(calls.admit([9, 5]).refusal, undefined);
  assert.deepEqual(calls.lines, []);
  assert.deepEqual(calls.events, []);
  assert.equal(calls.shares.reported, undefined);
});

// Calls that were late already occupied all slots of a plain service, and made the others late.
test('admission control: where all servers are full, a call that would be late is refused at once', () => {
  const calls = new CallsUnderTest();
  calls.classes = { index: 0, count: 1 };
  calls.expectedMilliseconds = 1500;
  const { refusal } = calls.admit([6, 7]);
  assert.deepEqual(refusal, { code: 'not_in_time', retryAfterSeconds: 0.3 });
  assert.deepEqual(calls.events, ['admission_not_in_time_class_0']);
  assert.equal(calls.admit([6, 7], { deadline: 1600 }).refusal, undefined);
});
