import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '../common/clock.js';
import { createSilentLogger } from '../telemetry/log.js';
import type { ServerEntry } from './server-entry.js';
import { ServerReach } from './server-reach.js';

function createEntry(index: number): ServerEntry {
  return {
    id: `server-${index}`,
    service: 'service',
    address: { host: '127.0.0.1', port: index + 1 },
    dataCentre: `dc-${index % 3}`,
    slots: 1,
    isLeaving: false,
    kind: undefined,
    layers: undefined,
  };
}

function createReach(count: number) {
  const clock = { now: 10_000 };
  const entries = Array.from({ length: count }, (_, index) => createEntry(index));
  const unreachable = new Set<string>();
  const probed: string[] = [];
  const changes: boolean[] = [];
  const controller = new AbortController();
  const reach = new ServerReach({
    listServers: () => entries,
    probe: async ({ id }) => {
      probed.push(id);
      return unreachable.has(id) ? 'unknown' : 'held';
    },
    onChange: (isCut) => {
      changes.push(isCut);
      // The probes of a cut go on in real time.
      if (isCut) controller.abort();
    },
    log: createSilentLogger(),
    signal: controller.signal,
    now: () => clock.now,
  });
  const fail = async (...indexes: number[]): Promise<void> => {
    indexes.forEach((index) => reach.recordUnreachable(entries[index] as ServerEntry));
    await sleep(5);
  };
  return { clock, reach, entries, unreachable, probed, changes, fail };
}

test('server reach: one failed connection leads to a cut if no other server can be reached', async () => {
  const { reach, entries, unreachable, changes, fail } = createReach(9);
  entries.forEach(({ id }) => unreachable.add(id));
  await fail(0);
  assert.ok(reach.isCut);
  assert.deepEqual(changes, [true]);
});

test('server reach: a server that fails alone is not a cut, and few others are tried', async () => {
  const { clock, reach, unreachable, probed, fail } = createReach(9);
  unreachable.add('server-0');
  await fail(0);
  assert.ok(!reach.isCut);
  assert.equal(probed.length, 4);
  clock.now += 100;
  await fail(0);
  assert.equal(probed.length, 4, 'others were reached a moment ago');
});

// Servers that fail together with one that is probed successfully must not add up to a cut.
test('server reach: servers of several data centres that fail together are not a cut while one is reached', async () => {
  const { reach, unreachable, fail, entries } = createReach(9);
  entries.slice(0, 8).forEach(({ id }) => unreachable.add(id));
  for (let turn = 0; turn < 50; turn += 1) {
    reach.recordConnected(entries[8] as ServerEntry);
    await fail(0, 1, 2, 3);
  }
  assert.ok(!reach.isCut);
});

test('server reach: the server that accepted the last connection is tried before a cut is concluded', async () => {
  const { clock, reach, unreachable, fail, entries } = createReach(9);
  entries.slice(0, 8).forEach(({ id }) => unreachable.add(id));
  for (let turn = 0; turn < 50; turn += 1) {
    reach.recordConnected(entries[8] as ServerEntry);
    clock.now += 10;
    await fail(0, 1, 2, 3);
    assert.ok(!reach.isCut);
  }
});

// All failures came within the time for which the last connection counts, and nothing was tried after them.
test('server reach: links that are lost right after a connection are a cut', async () => {
  const { reach, entries, unreachable, fail } = createReach(9);
  reach.recordConnected(entries[0] as ServerEntry);
  entries.forEach(({ id }) => unreachable.add(id));
  await fail(0, 1, 2);
  assert.ok(reach.isCut);
});

test('server reach: a single failure right after a connection is looked at later', async () => {
  const { clock, reach, entries, unreachable, fail } = createReach(9);
  reach.recordConnected(entries[0] as ServerEntry);
  entries.forEach(({ id }) => unreachable.add(id));
  await fail(0);
  assert.ok(!reach.isCut);
  clock.now += 300;
  await sleep(320);
  assert.ok(reach.isCut);
});

test('server reach: a data centre whose servers all fail is not a cut', async () => {
  const { reach, unreachable, fail, entries } = createReach(9);
  entries
    .filter(({ dataCentre }) => dataCentre === 'dc-0')
    .forEach(({ id }) => unreachable.add(id));
  await fail(0, 3, 6);
  assert.ok(!reach.isCut);
});

test('server reach: a cut ends when two servers accept connections in quick succession', async () => {
  const { clock, reach, entries, unreachable, changes, fail } = createReach(9);
  entries.forEach(({ id }) => unreachable.add(id));
  await fail(0);
  const [first, second, third] = entries as [ServerEntry, ServerEntry, ServerEntry];
  reach.recordConnected(first);
  reach.recordConnected(first);
  assert.ok(reach.isCut);
  clock.now += 5000;
  reach.recordConnected(second);
  assert.ok(reach.isCut);
  reach.recordConnected(third);
  assert.ok(!reach.isCut);
  assert.deepEqual(changes, [true, false]);
});

test('server reach: with one server it cannot be told from a cut', async () => {
  const { reach, unreachable, fail } = createReach(1);
  unreachable.add('server-0');
  await fail(0);
  assert.ok(!reach.isCut);
});
