import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { answerExchange, formatSourceId, type LinkContext } from './link-task.js';
import type { ExchangeMessage } from './messages.js';
import { chooseNeighbours } from './overlay.js';
import type { PeerRecord } from './record.js';
import { RecordTable } from './record-table.js';

function record(key: string, epoch: number, counter: number): PeerRecord {
  return { kind: 'configuration', key, epoch, counter, value: `${epoch}.${counter}` };
}

function context(index: number): LinkContext {
  const instance = `entry-${index}`;
  return {
    instance,
    region: 'r',
    tableId: index + 1,
    table: new RecordTable(),
    exchangeIntervalMilliseconds: 1,
  };
}

/** Performs one exchange; `progress` holds the last answer of each link, as a link task does. */
function exchange(
  from: LinkContext,
  to: LinkContext,
  progress: Map<string, ExchangeMessage>,
): void {
  const name = `${from.instance}>${to.instance}`;
  const last = progress.get(name);
  const batch = from.table.collectUnconfirmed(
    last?.confirmed ?? 0,
    formatSourceId(to.instance, last?.table),
    () => true,
  );
  const answer = answerExchange(to, {
    instance: from.instance,
    region: from.region,
    table: from.tableId,
    confirmedTable: last?.table ?? 0,
    confirmed: last?.index ?? 0,
    index: batch.index,
    records: batch.records,
  });
  from.table.putReceived(answer.records, formatSourceId(to.instance, answer.table));
  progress.set(name, answer);
}

test('record table: after updates and exchanges in any order, four full rounds of exchanges make all tables equal', () => {
  const update = fc.record({
    node: fc.nat(3),
    key: fc.constantFrom('a', 'b', 'c'),
    epoch: fc.nat(2),
    counter: fc.nat(5),
    to: fc.nat(3),
  });
  fc.assert(
    fc.property(fc.array(update, { maxLength: 40 }), (updates) => {
      const nodes = [0, 1, 2, 3].map(context);
      const progress = new Map<string, ExchangeMessage>();
      const at = (index: number): LinkContext => nodes[index] as LinkContext;
      updates.forEach(({ node, key, epoch, counter, to }) => {
        at(node).table.put(record(key, epoch, counter));
        if (node !== to) exchange(at(node), at(to), progress);
      });
      [1, 2, 3, 4].forEach(() => {
        nodes.forEach((node, index) => exchange(node, at((index + 1) % 4), progress));
      });
      ['a', 'b', 'c'].forEach((key) => {
        const seen = new Set(nodes.map((node) => node.table.get('configuration', key)?.value));
        assert.equal(seen.size, 1, key);
      });
    }),
    { seed: 4 },
  );
});

// Guards against records being withheld from a restarted instance. Peers marked them as coming
// from that instance and did not send them back, so it did not know what an engine holds until the
// report of that engine changed.
test('record table: a restarted peer is sent the records that came from its earlier process', () => {
  const node = context(0);
  const ask = (table: number, records: PeerRecord[]): ExchangeMessage => {
    const last = { confirmedTable: 0, confirmed: 0, index: records.length };
    return answerExchange(node, { instance: 'entry-2', region: 'r', table, ...last, records });
  };
  assert.deepEqual(ask(7, [record('a', 1, 1)]).records, []);
  assert.equal(ask(8, []).records.length, 1);
});

test('record table: an older record is not stored, and confirmed records are not sent again', () => {
  const table = new RecordTable();
  assert.equal(table.put(record('a', 1, 2)), true);
  assert.equal(table.put(record('a', 1, 1)), false);
  assert.equal(table.put(record('a', 0, 9)), false);
  const batch = table.collectUnconfirmed(0, 'peer', () => true);
  assert.equal(batch.records.length, 1);
  assert.equal(table.collectUnconfirmed(batch.index, 'peer', () => true).records.length, 0);
});

test('overlay: every instance reaches every other, with at most six peers, at any size', () => {
  const sizes = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 11 });
  fc.assert(
    fc.property(sizes, (dataCentres) => {
      const members = dataCentres.flatMap((size, dataCentre) =>
        Array.from({ length: size }, (_, index) => ({
          instance: `entry-${dataCentre}-${index}`,
          dataCentre: `dc-${dataCentre}`,
        })),
      );
      const peers = new Map(members.map((one) => [one.instance, chooseNeighbours(one, members)]));
      peers.forEach((chosen) => assert.ok(chosen.length <= 6));
      const reached = new Set<string>();
      const queue = [members[0]?.instance ?? ''];
      while (queue.length > 0) {
        const instance = queue.pop() ?? '';
        if (!reached.has(instance)) queue.push(...(peers.get(instance) ?? []));
        reached.add(instance);
      }
      assert.equal(reached.size, members.length);
    }),
    { seed: 5, numRuns: 60 },
  );
});
