import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { createPeerRecord } from '../../tools/peer-record.js';
import { findFreePort } from '../../tools/ports.js';
import { createSilentLogger } from '../telemetry/log.js';
import { Gossip } from './gossip.js';
import type { PeerRecord } from './peer-record.js';
import { PeerTable } from './peer-table.js';

const OWN_LOADS: PeerRecord['loads'] = { engine: [2, 100] };

/** Starts an instance that reports load on one engine. */
async function startInstance(context: TestContext, instance: string, dataCentre: string) {
  const address = { host: '127.0.0.1', port: await findFreePort() };
  const controller = new AbortController();
  const table = new PeerTable({ instance, dataCentre, log: createSilentLogger() });
  const record = createPeerRecord(instance, {
    dataCentre,
    changeCounter: 1,
    callers: address,
    peers: address,
    loads: OWN_LOADS,
  });
  const gossip = new Gossip({
    address,
    dataCentre,
    seeds: [],
    table,
    ownRecord: () => record,
    dataCentreLoads: () => ({ engine: [7, 300] }),
    onRecord: () => undefined,
    onRecords: () => undefined,
    relay: { header: 'relayed', serve: (_, response) => response.destroy() },
    documents: {},
    log: createSilentLogger(),
    signal: controller.signal,
  });
  await gossip.listen();
  context.after(() => {
    controller.abort();
    return gossip.run();
  });
  return { table, gossip, record };
}

test('gossip: a record carries its own loads in its data centre, the sum of these to others', async (context) => {
  const here = await startInstance(context, 'a', 'here');
  const neighbour = await startInstance(context, 'b', 'here');
  const far = await startInstance(context, 'c', 'there');
  here.table.accept(neighbour.record);
  here.table.accept({ ...far.record, loads: {} });
  await here.gossip.runRound();
  assert.deepEqual(neighbour.table.findAlive('a')?.loads, OWN_LOADS);
  const received = far.table.findAlive('a');
  assert.deepEqual(received?.loads, {});
  assert.deepEqual(received?.dataCentreLoads, { engine: [7, 300] });
});

test('gossip: a relayed record of another data centre has no loads, so that none counts twice', async (context) => {
  const here = await startInstance(context, 'a', 'here');
  const far = await startInstance(context, 'c', 'there');
  const farNeighbour = await startInstance(context, 'd', 'there');
  far.table.accept(here.record);
  farNeighbour.table.accept(far.record);
  await farNeighbour.gossip.runRound();
  assert.deepEqual(farNeighbour.table.findAlive('c')?.loads, OWN_LOADS);
  const relayed = farNeighbour.table.findAlive('a');
  assert.deepEqual(relayed?.loads, {});
  assert.equal(relayed?.dataCentreLoads, undefined);
});
