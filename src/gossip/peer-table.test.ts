import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPeerRecord } from '../../tools/peer-record.js';
import { createSilentLogger } from '../telemetry/log.js';
import { PeerTable } from './peer-table.js';

const LOCAL_PEERS = ['a', 'b', 'c', 'd'];
const FAR_PEERS = ['e', 'f', 'g', 'h'];
const HEARTBEAT_MILLISECONDS = 300;
/** Twice the silence after which a peer is dead for an instance that is never late. */
const MAXIMUM_MILLISECONDS = 3000;

function createTable() {
  const clock = { now: 0 };
  const table = new PeerTable({
    instance: 'self',
    dataCentre: 'here',
    log: createSilentLogger(),
    now: () => clock.now,
  });
  const counters = new Map<string, number>();
  const renew = (names: readonly string[]): void =>
    names.forEach((name) => {
      const counter = (counters.get(name) ?? 0) + 1;
      counters.set(name, counter);
      const dataCentre = LOCAL_PEERS.includes(name) ? 'here' : 'there';
      table.accept(createPeerRecord(name, { dataCentre, counter }));
    });
  return { clock, table, renew };
}

// Each late check took its whole delay for this process's own, and a dead peer stayed alive for good.
test('peers: a peer that is gone is dead also for an instance whose checks are always late', () => {
  for (const gone of ['a', 'e']) {
    const { clock, table, renew } = createTable();
    const all = [...LOCAL_PEERS, ...FAR_PEERS];
    renew(all);
    table.expireSilentPeers();
    while (clock.now < 2 * MAXIMUM_MILLISECONDS && table.findAlive(gone)) {
      clock.now += HEARTBEAT_MILLISECONDS;
      renew(all.filter((name) => name !== gone));
      clock.now += 2 * HEARTBEAT_MILLISECONDS;
      renew(all.filter((name) => name !== gone));
      table.expireSilentPeers();
    }
    assert.ok(clock.now <= MAXIMUM_MILLISECONDS, `${gone} dead after ${clock.now} ms`);
    assert.equal(table.aliveCount, all.length - 1);
  }
});

test('peers: none is dead after this process stood still, in whatever order their records are read then', () => {
  const { clock, table, renew } = createTable();
  renew([...LOCAL_PEERS, ...FAR_PEERS]);
  table.expireSilentPeers();
  clock.now += 20_000;
  table.expireSilentPeers();
  clock.now += HEARTBEAT_MILLISECONDS;
  renew(['a', 'b', 'c', 'e', 'f', 'g']);
  table.expireSilentPeers();
  renew(['a', 'b', 'c', 'e', 'f', 'g']);
  table.expireSilentPeers();
  assert.ok(table.findAlive('d') && table.findAlive('h'));
});

test('peers: none is dead that renews its record as rarely as the others', () => {
  const { clock, table, renew } = createTable();
  for (let round = 0; round < 20; round += 1) {
    renew([...LOCAL_PEERS, ...FAR_PEERS]);
    clock.now += 3 * HEARTBEAT_MILLISECONDS;
    table.expireSilentPeers();
  }
  assert.equal(table.aliveCount, LOCAL_PEERS.length + FAR_PEERS.length);
});
