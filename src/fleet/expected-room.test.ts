import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createSilentLogger } from '../telemetry/log.js';
import { BackendFleet } from './backend-fleet.js';
import type { FleetServer } from './fleet-server.js';
import { findExpectedRoom, type ExpectedRoom } from './expected-room.js';
import { getAvailability, recordAcceptance } from './server-availability.js';
import { ServerLimits } from './server-limits.js';

const NOW = 100_000;

function createServers(
  count: number,
  clock = { now: NOW },
): { fleet: BackendFleet; servers: FleetServer[] } {
  const fleet = new BackendFleet({ log: createSilentLogger(), now: () => clock.now });
  for (let index = 0; index < count; index += 1)
    fleet.put(
      {
        id: `server-${index}`,
        service: 'service',
        address: { host: '127.0.0.1', port: index + 1 },
        dataCentre: 'dc',
        slots: 1,
        isLeaving: false,
        kind: undefined,
        layers: undefined,
      },
      index + 1,
    );
  return { fleet, servers: fleet.listForService('service') };
}

function createLimits(): ServerLimits {
  return new ServerLimits({
    instance: 'instance',
    listPeers: () => [],
    log: createSilentLogger(),
    now: () => NOW,
  });
}

function findRoom(
  servers: readonly FleetServer[],
  serverLimits: ServerLimits,
  random = 0,
): ExpectedRoom | undefined {
  return findExpectedRoom({ servers, serverLimits, now: NOW, random: () => random });
}

test('expected room: the first server that has room again decides, within two seconds', () => {
  const { fleet, servers } = createServers(2);
  const [, second] = servers as [FleetServer, FleetServer];
  const limits = createLimits();
  for (let count = 0; count < 20; count += 1) limits.recordSend('server-0');
  limits.recordAnswer('server-0', 3);
  assert.equal(findRoom(servers, limits), undefined, 'the other one has room');
  fleet.recordPause(second.entry, 3_600_000);
  assert.deepEqual(findRoom(servers, limits), { code: 'servers_limited', seconds: 2 });
  second.ownWord.pausedUntil = NOW + 700;
  assert.deepEqual(findRoom(servers, limits), { code: 'servers_paused', seconds: 0.7 });
  assert.deepEqual(findRoom(servers, limits, 1), { code: 'servers_paused', seconds: 1.05 });
  assert.equal(findRoom([], limits), undefined);
});

// An answer to an earlier request must not end a pause, nor a shorter word a longer one.
test('availability: a server that asks for a pause is closed until its end, whatever else it answers', () => {
  const event = fc.record({
    after: fc.integer({ min: 0, max: 2000 }),
    pause: fc.option(fc.integer({ min: 0, max: 5000 })),
  });
  fc.assert(
    fc.property(fc.array(event, { maxLength: 20 }), (events) => {
      const clock = { now: NOW };
      const { fleet, servers } = createServers(1, clock);
      const [server] = servers as [FleetServer];
      let end = 0;
      events.forEach(({ after, pause }) => {
        clock.now += after;
        if (pause === null) recordAcceptance(server);
        else {
          end = Math.max(end, clock.now + pause);
          fleet.recordPause(server.entry, pause);
        }
        assert.equal(getAvailability(server, clock.now) === 'closed', end > clock.now);
      });
    }),
    { seed: 41, numRuns: 500 },
  );
});

test('leaving: the word of a process outlasts its entry, and not its restart', () => {
  const { fleet, servers } = createServers(2);
  const [first] = servers as [FleetServer];
  const entry = { ...first.entry, incarnation: '1' };
  const listIds = (): string[] => fleet.listForService('service').map((server) => server.entry.id);
  fleet.put(entry, 10);
  fleet.recordLeaving(entry);
  assert.deepEqual(listIds(), ['server-1']);
  fleet.remove('server-0', 11);
  fleet.put(entry, 12);
  assert.deepEqual(listIds(), ['server-1']);
  assert.deepEqual(fleet.leavingProcessKeys, ['server-0/1']);
  fleet.put({ ...entry, incarnation: '2' }, 13);
  assert.deepEqual(listIds().sort(), ['server-0', 'server-1']);
  assert.deepEqual(fleet.leavingProcessKeys, []);
});
