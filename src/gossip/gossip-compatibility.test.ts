import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPeerRecord } from '../../tools/peer-record.js';
import { findFreePort } from '../../tools/ports.js';
import { fetchResponse } from '../common/http-client.js';
import { createSilentLogger } from '../telemetry/log.js';
import { Gossip } from './gossip.js';
import { PeerTable } from './peer-table.js';

// A record of another format closed the connection of its sender, and took the other records with it.
test('gossip of another build: what cannot be read of an exchange costs only that', async (context) => {
  const address = { host: '127.0.0.1', port: await findFreePort() };
  const controller = new AbortController();
  const log = createSilentLogger();
  const table = new PeerTable({ instance: 'a', dataCentre: 'z', log });
  const record = createPeerRecord('a');
  const gossip = new Gossip({
    address,
    dataCentre: 'z',
    seeds: [],
    table,
    ownRecord: () => record,
    dataCentreLoads: () => ({}),
    onRecord: () => undefined,
    onRecords: () => undefined,
    relay: { header: 'relayed', serve: (_, response) => response.destroy() },
    documents: {},
    log,
    signal: controller.signal,
  });
  await gossip.listen();
  context.after(() => {
    controller.abort();
    return gossip.run();
  });
  const exchange = async (own: unknown, rest: object): Promise<unknown> => {
    const { body } = await fetchResponse({
      address,
      method: 'POST',
      path: '/records',
      body: JSON.stringify({ own, ...rest }),
      timeoutMilliseconds: 2000,
    });
    const records = JSON.parse(body.toString()) as { instance: string }[];
    return records.map(({ instance }) => instance);
  };
  const other = createPeerRecord('b');
  assert.deepEqual(await exchange({ ...other, format: 2, isReady: 'yes' }, { known: {} }), ['a']);
  assert.equal(table.findAlive('b'), undefined);
  const ejections = { s: [1, 'overheated'] };
  const rest = { format: 2, scope: 'rack', known: { c: 'x' } };
  assert.deepEqual(await exchange({ ...other, ejections, suspects: ['s'] }, rest), ['a']);
  assert.deepEqual(table.findAlive('b')?.suspects, ['s']);
});
