import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPeerRecord } from '../../tools/peer-record.js';
import { createRandom } from '../../tools/random.js';
import { CrashBlame } from '../evidence/crash-blame.js';
import { CrashRecords } from '../evidence/crash-records.js';
import { EvidenceChanges } from '../evidence/evidence-changes.js';
import { PromptPartRecords } from '../evidence/prompt-part-records.js';
import { createSilentLogger } from '../telemetry/log.js';
import { EvidenceExchange } from './evidence-exchange.js';
import { toTarget } from './exchange-targets.js';
import type { PeerRecord } from './peer-record.js';
import { PeerTable } from './peer-table.js';
import { RecordExchange } from './record-exchange.js';

const log = createSilentLogger();
const ADDRESS = { host: '127.0.0.1', port: 1 };

/** One instance without a network: its evidence, its table of peers and its side of exchanges. */
class TestInstance {
  record: PeerRecord;

  readonly blame: CrashBlame;

  readonly table: PeerTable;

  readonly exchange: RecordExchange;

  constructor(name: string, { incarnation = 1, isOlderBuild = false, seed = 1 } = {}) {
    this.record = createPeerRecord(name, { incarnation, clock: 0 });
    const promptParts = new PromptPartRecords({ countInstances: () => 1, log });
    this.blame = new CrashBlame({ contents: new CrashRecords({ log }), promptParts });
    this.table = new PeerTable({ instance: name, dataCentre: 'z', log });
    const changes = new EvidenceChanges(this.blame);
    const random = createRandom(seed);
    this.exchange = new RecordExchange({
      address: ADDRESS,
      dataCentre: 'z',
      seeds: [],
      table: this.table,
      ownRecord: () => this.record,
      dataCentreLoads: () => ({}),
      ...(isOlderBuild ? {} : { evidence: new EvidenceExchange(changes) }),
      onRecord: (record) => {
        if (isOlderBuild || !record.evidencePosition) changes.merge(record);
      },
      onRecords: () => undefined,
      log,
      random: () => random.next(),
    });
  }

  /** Makes a new record, as at a heartbeat. */
  refresh(): void {
    const { crashes, crashesWhileWritten } = this.blame.contents.reported;
    const { counter } = this.record;
    this.record = { ...this.record, counter: counter + 1, crashes, crashesWhileWritten };
  }

  /** Asks a peer; returns the bytes of the request and its answer. */
  ask(
    peer: TestInstance,
    { isAnswerLost = false, knownIncarnation = peer.record.incarnation } = {},
  ): number {
    const target = toTarget({ ...peer.record, incarnation: knownIncarnation });
    const planned = { target, scope: 'all' as const };
    const request = this.exchange.createRequest(planned);
    const sent = JSON.stringify(request);
    const answer = JSON.stringify(peer.exchange.answer(JSON.parse(sent)));
    if (!isAnswerLost) this.exchange.acceptAnswer(planned, request, JSON.parse(answer));
    return sent.length + answer.length;
  }

  endServers(contents: number, server: string): void {
    for (let index = 0; index < contents; index += 1)
      this.blame.contents.recordCrash(`content-${index}`, server);
  }

  knows(content: string): boolean {
    return this.blame.contents.countEnds(content).beginning > 0;
  }
}

function exchangeAll(instances: readonly TestInstance[]): number {
  let bytes = 0;
  instances.forEach((each) => each.refresh());
  instances.forEach((each) =>
    each.exchange.planRound(false).forEach(({ target }) => {
      const peer = instances.find(({ record }) => record.instance === target.instance);
      if (peer) bytes += each.ask(peer);
    }),
  );
  return bytes;
}

function createFleet(size: number, isOlderBuild = false): TestInstance[] {
  const fleet = Array.from(
    { length: size },
    (_, index) => new TestInstance(`i${index}`, { isOlderBuild, seed: index + 1 }),
  );
  fleet.forEach((each) => fleet.forEach((other) => each.table.accept(other.record)));
  return fleet;
}

// Each record repeated all that any instance knew, in each exchange, for two minutes after engines had ended.
test('evidence: after many requests ended with engines, it is sent once and not in each exchange', () => {
  const [fleet, older] = [createFleet(19), createFleet(19, true)];
  [fleet, older].forEach(([first]) => first?.endServers(150, 'server-1'));
  const sumRounds = (instances: readonly TestInstance[]): number =>
    Array.from({ length: 30 }, () => exchangeAll(instances)).reduce((sum, bytes) => sum + bytes, 0);
  const [bytes, olderBytes] = [sumRounds(fleet), sumRounds(older)];
  assert.ok(fleet.every((each) => each.knows('content-149')));
  assert.ok(bytes < olderBytes / 5, `${bytes} of ${olderBytes}`);
});

test('evidence: all instances of a fleet know an end within as many rounds as before', () => {
  const countRounds = (fleet: readonly TestInstance[]): number => {
    fleet[0]?.endServers(1, 'server-1');
    let rounds = 0;
    while (rounds < 20 && !fleet.every((each) => each.knows('content-0'))) {
      exchangeAll(fleet);
      rounds += 1;
    }
    return rounds;
  };
  assert.ok(countRounds(createFleet(80)) <= countRounds(createFleet(80, true)));
});

// The receiver may have read a request whose answer is lost, or not: it is sent again.
test('evidence: what came with a request is sent again until it is answered', () => {
  const [one, other] = [new TestInstance('one'), new TestInstance('other')];
  one.endServers(1, 'server-1');
  const lost = one.ask(other, { isAnswerLost: true });
  assert.ok(one.ask(other) >= lost);
  assert.ok(one.ask(other) < lost);
});

test('evidence: a peer that has started anew is sent all of it, by requests and by answers', () => {
  const one = new TestInstance('one');
  const before = new TestInstance('other');
  one.endServers(2, 'server-1');
  one.ask(before);
  const asked = new TestInstance('other', { incarnation: 2 });
  one.table.accept(asked.record);
  one.ask(asked);
  assert.ok(asked.knows('content-1'));
  const asking = new TestInstance('other', { incarnation: 3 });
  asking.ask(one);
  assert.ok(asking.knows('content-1'));
});

test('evidence: an instance that has started anew reads all that peers had sent to its earlier run', () => {
  const peer = new TestInstance('peer');
  const before = new TestInstance('one');
  peer.endServers(1, 'server-1');
  before.ask(peer);
  const after = new TestInstance('one', { incarnation: 2 });
  after.ask(peer);
  assert.ok(after.knows('content-0'));
});

// The peer sent what followed its last exchange with the earlier run, and the new run took that for all.
test('evidence: a peer that does not know of the new run yet leaves no gap in its evidence', () => {
  const peer = new TestInstance('peer');
  peer.endServers(1, 'server-1');
  const before = new TestInstance('one');
  peer.ask(before);
  peer.blame.contents.recordCrash('later', 'server-2');
  const after = new TestInstance('one', { incarnation: 2 });
  peer.ask(after, { knownIncarnation: 1 });
  assert.ok(after.knows('later'));
  after.ask(peer);
  assert.ok(after.knows('content-0'));
});

// A digest can show a record that came through another instance, without evidence.
test('evidence: a record that another instance passed on does not count as its evidence', () => {
  const [source, middle, last] = ['source', 'middle', 'last'].map((name) => new TestInstance(name));
  assert.ok(source && middle && last);
  source.endServers(1, 'server-1');
  source.refresh();
  middle.table.accept(source.record);
  middle.blame.contents.recordCompletion('content-0');
  last.ask(middle);
  assert.ok(!last.knows('content-0'));
  last.ask(source);
  assert.ok(last.knows('content-0'));
});

test('evidence of another build: each side learns what the other knows', () => {
  const current = new TestInstance('current');
  const older = new TestInstance('older', { isOlderBuild: true });
  current.endServers(1, 'server-1');
  older.blame.contents.recordCrash('known-to-older', 'server-2');
  [current, older].forEach((each) => each.refresh());
  current.ask(older);
  assert.ok(current.knows('known-to-older'));
  assert.ok(older.knows('content-0'));
  const asking = new TestInstance('asking', { isOlderBuild: true });
  asking.ask(current);
  assert.ok(asking.knows('content-0'));
});

test('evidence: more changes than one report holds follow in the next ones', () => {
  const [one, other] = [new TestInstance('one'), new TestInstance('other')];
  one.endServers(450, 'server-1');
  one.ask(other);
  assert.ok(!other.knows('content-449'));
  one.ask(other);
  one.ask(other);
  assert.ok(other.knows('content-0') && other.knows('content-449'));
});
