import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ENGINE_PROFILE } from '../../tools/engine-profile.js';
import { BackendFleet } from './backend-fleet.js';
import type { FleetServer } from './fleet-server.js';
import { MAXIMUM_REPORTED_WINDOWS, getOwnPart, type ReportedWindows } from './pace-window.js';
import type { ServerEntry } from './server-entry.js';
import { ServerPace } from './server-pace.js';

const TARGET_MILLISECONDS = 200;
const SEED = Number(process.env.SEED ?? 23);

function createEntry(id: string, overrides: Partial<ServerEntry> = {}): ServerEntry {
  return {
    id,
    service: 'look-up',
    address: { host: id, port: 80 },
    dataCentre: 'z',
    slots: 6,
    isLeaving: false,
    kind: undefined,
    layers: undefined,
    ...overrides,
  };
}

/** One instance, its servers and what it logs and counts. */
class Instance {
  readonly lines: string[] = [];

  readonly events: string[] = [];

  readonly fleet: BackendFleet;

  readonly pace: ServerPace;

  constructor(clock: { now: number }, entries: readonly ServerEntry[], names = ['entry-0']) {
    const now = (): number => clock.now;
    const log = { info: (message: string) => this.lines.push(message) };
    this.fleet = new BackendFleet({
      log: { info: () => undefined } as never,
      now,
      onRegistered: () => this.pace.noteRegistration(),
    });
    this.pace = new ServerPace({
      instance: { name: names[0] ?? '', dataCentre: 'z' },
      listPeers: () => names.slice(1).map((name) => ({ name, dataCentre: 'z' })),
      listServers: () => this.fleet.servers,
      fleetEra: () => 1,
      isEjected: () => false,
      findProfile: (service) => (service === 'look-up' ? undefined : ENGINE_PROFILE),
      log,
      now,
      wallClock: now,
    });
    this.pace.onEvent = (event) => this.events.push(event);
    this.fleet.replaceAll(entries, 1);
    this.pace.observe();
  }

  find(id: string): FleetServer {
    const server = this.fleet.find(id);
    if (!server) throw new Error(`unknown server ${id}`);
    return server;
  }

  /** Sends requests until the server is at its window; returns how many. */
  fill(id: string): number {
    const server = this.find(id);
    let count = 0;
    for (; count < 100 && !this.pace.isAtWindow(server); count += 1) {
      this.pace.begin(server);
      server.ownLoad.requests += 1;
    }
    return count;
  }

  answer(id: string, sentAt: number): void {
    const servers = [this.find(id)];
    this.pace.recordAnswer({ servers, sentAt, targetMilliseconds: TARGET_MILLISECONDS });
  }
}

function createWithReturned(clock: { now: number }, names?: string[]): Instance {
  const instance = new Instance(clock, [createEntry('old')], names);
  instance.fleet.put(createEntry('new'), 2);
  return instance;
}

// An empty server looked the best to every instance at once.
test('slow start: a server that registers later is bounded from the first request on, others are not', () => {
  const instance = createWithReturned({ now: 5000 });
  assert.equal(instance.fill('new'), 2);
  assert.equal(instance.pace.isAtWindow(instance.find('old')), false);
  assert.deepEqual(instance.events, ['server_window_opened']);
});

test('slow start: servers of the first list, and a whole fleet that starts, are at their full rate', () => {
  const clock = { now: 5000 };
  const instance = new Instance(clock, [createEntry('a'), createEntry('b')]);
  assert.equal(instance.fill('a'), 100);
  const early = new Instance(clock, []);
  early.fleet.replaceAll([createEntry('a'), createEntry('b')], 2);
  assert.equal(early.fill('a'), 100);
});

test('slow start: the window doubles with each round in time, ends at the slots, and each step is logged and counted', () => {
  const clock = { now: 5000 };
  const instance = createWithReturned(clock);
  instance.pace.observe();
  const places = [1, 2, 3, 4, 5, 6].map(() => {
    instance.answer('new', clock.now);
    return instance.pace.reported.new?.[1];
  });
  assert.deepEqual(places, [2, 4, 4, 4, 4, null]);
  const steps = ['opened', 'grown', 'ended'];
  assert.deepEqual(
    instance.events,
    steps.map((step) => `server_window_${step}`),
  );
  assert.deepEqual(
    instance.lines,
    steps.map((step) => `Window of the backend server ${step}.`),
  );
});

test('slow start: a server with slow answers keeps a small window', () => {
  const clock = { now: 5000 };
  const instance = createWithReturned(clock);
  instance.pace.observe();
  for (let round = 0; round < 20; round += 1) {
    const sentAt = clock.now;
    clock.now += 2 * TARGET_MILLISECONDS;
    instance.answer('new', sentAt);
    instance.answer('new', sentAt);
  }
  assert.equal(instance.pace.reported.new?.[1], 2);
});

test('slow start: a refusal or a failure halves the window, once for requests of one round', () => {
  (['refused', 'failed'] as const).forEach((reason) => {
    const clock = { now: 5000 };
    const instance = new Instance(clock, [createEntry('old')]);
    instance.fleet.put(createEntry('new', { slots: 20 }), 2);
    instance.pace.observe();
    for (let count = 0; count < 5; count += 1) instance.answer('new', clock.now);
    assert.equal(instance.pace.reported.new?.[1], 10);
    const sentAt = clock.now;
    clock.now += 10;
    instance.pace.recordFailure(instance.find('new'), sentAt, reason);
    instance.pace.recordFailure(instance.find('new'), sentAt, reason);
    assert.equal(instance.pace.reported.new?.[1], 5);
    assert.equal(instance.events.at(-1), 'server_window_shrunk');
  });
});

// Under overload all answers are late; a sound server stayed small just when it was needed.
test('slow start: an answer that is late as all others are does not shrink the window', () => {
  const clock = { now: 5000 };
  const instance = createWithReturned(clock);
  instance.pace.observe();
  for (let count = 0; count < 40; count += 1) instance.answer('old', clock.now - 800);
  const sentAt = clock.now;
  clock.now += 800;
  instance.answer('new', sentAt);
  instance.answer('new', sentAt);
  assert.equal(instance.pace.reported.new?.[1], 4);
});

test('slow start: without answers the window stays as it is', () => {
  const clock = { now: 5000 };
  const instance = createWithReturned(clock);
  assert.equal(instance.fill('new'), 2);
  for (let count = 0; count < 100; count += 1) {
    clock.now += 1000;
    instance.pace.observe();
  }
  assert.equal(instance.pace.reported.new?.[1], 2);
  assert.equal(instance.pace.isAtWindow(instance.find('new')), true);
});

test('slow start: after a round in time it ends when the server carries as many requests as the others', () => {
  const clock = { now: 5000 };
  const instance = new Instance(clock, [createEntry('old', { slots: 20 })]);
  instance.fleet.put(createEntry('new', { slots: 20 }), 2);
  instance.find('old').peerLoad.requests = 3;
  instance.find('new').peerLoad.requests = 3;
  instance.pace.observe();
  assert.equal(instance.pace.reported.new?.[1], 5);
  for (let count = 0; count < 5; count += 1) instance.answer('new', clock.now);
  instance.pace.observe();
  assert.equal(instance.pace.reported.new?.[1], null);
});

test('slow start: a server that comes back from ejection is bounded again', () => {
  const instance = new Instance({ now: 5000 }, [createEntry('old'), createEntry('new')]);
  instance.pace.recordReadmission('new');
  assert.equal(instance.fill('new'), 2);
});

test('slow start: engines are bounded only in a data centre with spare memory', () => {
  [
    { engines: 12, bounded: true },
    { engines: 5, bounded: false },
  ].forEach(({ engines, bounded }) => {
    const layers = { from: 0, to: 20 };
    const create = (index: number): ServerEntry =>
      createEntry(`engine-${index}`, { service: 'generation', kind: 'large', layers, slots: 8 });
    const instance = new Instance(
      { now: 5000 },
      Array.from({ length: engines }, (_, index) => create(index)),
    );
    instance.fleet.put(create(engines), 2);
    assert.equal(instance.fill(`engine-${engines}`) < 100, bounded);
  });
});

// An instance that started again took the server for one at its full rate, and flooded it.
test('slow start: an instance that restarts takes over the windows of its peers', () => {
  const clock = { now: 5000 };
  const peer = createWithReturned(clock);
  peer.pace.observe();
  const restarted = new Instance(clock, [createEntry('old'), createEntry('new')]);
  assert.equal(restarted.pace.isAtWindow(restarted.find('new')), false);
  restarted.pace.merge(
    'entry-1',
    JSON.parse(JSON.stringify(peer.pace.reported)) as ReportedWindows,
  );
  assert.equal(restarted.fill('new'), 2);
  assert.deepEqual(restarted.events, ['server_window_taken_over']);
});

test('slow start: answers at two instances make one round, whoever counts them', () => {
  const clock = { now: 5000 };
  const [one, other] = [0, 1].map((index) =>
    createWithReturned(clock, index === 0 ? ['entry-0', 'entry-1'] : ['entry-1', 'entry-0']),
  ) as [Instance, Instance];
  [one, other].forEach((instance) => {
    instance.pace.observe();
    instance.answer('new', clock.now);
  });
  one.pace.merge('entry-1', other.pace.reported);
  assert.equal(one.pace.reported.new?.[1], 4);
  other.pace.merge('entry-0', one.pace.reported);
  assert.deepEqual(other.pace.reported.new?.slice(0, 2), one.pace.reported.new?.slice(0, 2));
});

test('slow start: of one round the smaller window holds, and an end that peers have forgotten yields to a new window', () => {
  const clock = { now: 50_000 };
  const instance = createWithReturned(clock);
  instance.pace.observe();
  instance.pace.merge('entry-1', { new: [7, 4, 0, 0] });
  instance.pace.merge('entry-1', { new: [7, 3, 0, 0] });
  assert.equal(instance.pace.reported.new?.[1], 3);
  instance.pace.merge('entry-1', { new: [7, 4, 0, 0], unknown: [9, 2, 0, 0] });
  assert.equal(instance.pace.reported.new?.[1], 3);
  instance.pace.merge('entry-1', { new: [8, null, 0, 0] });
  assert.equal(instance.fill('new'), 100);
  instance.pace.merge('entry-1', { new: [1, 2, 0, 0] });
  assert.equal(instance.pace.reported.new?.[1], null);
  clock.now += 20_000;
  instance.pace.merge('entry-1', { new: [1, 2, 0, 0] });
  assert.equal(instance.pace.reported.new?.[1], 2);
});

test('slow start: a record has a bounded number of windows', () => {
  const instance = new Instance({ now: 5000 }, [createEntry('old')]);
  const entries = Array.from({ length: 100 }, (_, index) => createEntry(`new-${index}`));
  instance.fleet.replaceAll([createEntry('old'), ...entries], 2);
  instance.pace.observe();
  assert.equal(Object.keys(instance.pace.reported).length, MAXIMUM_REPORTED_WINDOWS);
});

test('own part: the parts of all instances add up to the free places, and over time each instance gets one', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 380 }),
      fc.integer({ min: 1, max: 100 }),
      fc.nat(2 ** 32 - 1),
      fc.nat(2_000_000_000),
      fc.nat(100),
      (instances, places, offset, turn, used) => {
        const freePlaces = Math.max(0, places - used);
        const getPart = (rank: number, inTurn: number, free: number): number =>
          getOwnPart({ freePlaces: free, rank, instances, places, turn: inTurn, offset });
        const ranks = Array.from({ length: instances }, (_, rank) => rank);
        const total = ranks.reduce((sum, rank) => sum + getPart(rank, turn, freePlaces), 0);
        assert.equal(total, freePlaces);
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
});

// With a step that divides the number of instances, every second instance was never first.
test('own part: one free place goes to each of 380 instances in turn', () => {
  [1, 2, 4, 19, 20].forEach((places) => {
    const options = { freePlaces: 1, instances: 380, places, offset: 17 };
    const served = new Set<number>();
    for (let turn = 0; turn < 380 * places; turn += 1)
      for (let rank = 0; rank < 380; rank += 1)
        if (getOwnPart({ ...options, rank, turn }) === 1) served.add(rank);
    assert.equal(served.size, 380, `${places} places`);
  });
});
