import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { findFreePort } from '../../tools/ports.js';
import { createSilentLogger, type Logger } from '../telemetry/log.js';
import { answerExchange, runLink, type LinkContext } from './link-task.js';
import { Membership } from './membership.js';
import { PeerClient } from './peer-client.js';
import { startPeerServer } from './peer-server.js';
import type { ProcedureHandlers } from './protocol.js';
import { RecordTable } from './record-table.js';

const KNOWN = { kind: 'cordon', key: 'server-1', epoch: 1, counter: 1, value: true };
const UNREADABLE: unknown[] = [{ ...KNOWN, kind: 'quota' }, { ...KNOWN, epoch: 'first' }, null, 7];

function createInstance() {
  const address = { host: '127.0.0.1', port: 1 };
  const lines: string[] = [];
  const warn: Logger['warn'] = (message, fields) => lines.push(JSON.stringify([message, fields]));
  const table = new RecordTable();
  const self = {
    instance: 'entry-1',
    dataCentre: 'dc',
    region: 'r',
    callerAddress: address,
    operatorAddress: address,
    peerAddress: address,
  };
  const log = { ...createSilentLogger(), warn };
  new Membership({ self, incarnation: 1, table, log }).markLive();
  const link: LinkContext = {
    instance: 'entry-1',
    region: 'r',
    tableId: 1,
    table,
    exchangeIntervalMilliseconds: 1,
  };
  return { link, lines };
}

async function startServer(context: TestContext, exchange: ProcedureHandlers['exchange']) {
  const address = { host: '127.0.0.1', port: await findFreePort() };
  const server = await startPeerServer(address, { exchange } as ProcedureHandlers);
  context.after(() => server.close());
  return address;
}

async function startInstance(context: TestContext) {
  const { link, lines } = createInstance();
  const address = await startServer(context, (message) => answerExchange(link, message));
  const client = new PeerClient(address);
  context.after(() => client.close());
  const send = (records: unknown[], index: number) =>
    client.call(
      'exchange',
      {
        instance: 'entry-2',
        region: 'r',
        table: 2,
        confirmedTable: 0,
        confirmed: 0,
        index,
        records,
      },
      2000,
    );
  return { send, link, lines };
}

// A record of a kind that a newer build has added made each exchange with that instance fail.
test('exchange with another build: a record that cannot be read costs only itself', async (context) => {
  const { send, link, lines } = await startInstance(context);
  const answer = await send([...UNREADABLE, KNOWN], 5);
  assert.equal(answer.confirmed, 5);
  assert.deepEqual(link.table.get('cordon', 'server-1'), KNOWN);
  assert.equal(link.table.size, 2);
  await send([{ ...KNOWN, kind: 'quota', counter: 2 }], 6);
  assert.equal(lines.length, 1);
  assert.match(lines[0] ?? '', /does not match the schema.*entry-2/);
});

// The instance that asked could not read the answer, and took the peer for one that does not answer.
test('exchange with another build: an answer with a record that cannot be read is no failure', async (context) => {
  const { link, lines } = createInstance();
  const address = await startServer(context, (message) => ({
    instance: 'entry-2',
    region: 'r',
    table: 2,
    confirmedTable: message.table,
    confirmed: message.index,
    index: 5,
    records: [...UNREADABLE, KNOWN],
  }));
  const stop = new AbortController();
  const failures: number[] = [];
  await runLink({
    context: link,
    peer: 'entry-2',
    peerRegion: 'r',
    address,
    progress: { peerTableId: 0, receivedIndex: 0, confirmedIndex: 0 },
    onFailure: (count) => {
      failures.push(count);
      stop.abort();
    },
    onAnswer: () => stop.abort(),
    signal: stop.signal,
  });
  assert.deepEqual(failures, []);
  assert.deepEqual(link.table.get('cordon', 'server-1'), KNOWN);
  assert.equal(lines.length, 1);
});
