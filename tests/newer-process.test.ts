/** Tests a server that is back at its address under a new id while its old entry is still in the store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '../src/common/clock.js';
import { waitUntil } from '../tools/platform-group.js';
import {
  createRequestId,
  getFirstInstance,
  sendCallerRequest,
  startGroup,
} from '../tools/serving-group.js';
import { PlatformServer } from '../tools/stand-ins/platform-server.js';

/** Of the route of streams. */
const MAXIMUM_ATTEMPTS = 2;
const ROUNDS = 4;
const STREAMS = 6;
const RECOVERY_MILLISECONDS = 1500;

// An instance that started then read the old entry after the new one and took the live engine for ended: runs on
// it weren't counted, and streams ran on three engines.
test('newer process: streams run on no more engines than max-attempts after an engine is back under a new id', async (context) => {
  const group = await startGroup(context, { engines: 6, plainServers: 0 });
  const crashing = group.servers.find(({ layers }) => layers?.from === 0);
  assert.ok(crashing);
  // While requests are served the others keep their layers, so that the engine that is back gets the first ones again.
  await sendCallerRequest(getFirstInstance(group), '/drafts/1');
  await crashing.close();
  const { store } = group;
  const options = { service: 'drafter', kind: 'card', zone: 'zone-a', port: crashing.port, store };
  const returned = new PlatformServer({ ...options, id: 'another' });
  await returned.start();
  group.servers.push(returned);
  const instance = await group.addReadyInstance('entry-1');
  await waitUntil(() => returned.layers !== null, 'the engine that is back holds layers');
  const isServed = async (): Promise<boolean> =>
    (await sendCallerRequest(instance, '/drafts/1')).status === 200;
  const enginesByRequest: string[][] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    group.servers.forEach(({ faults }) => Object.assign(faults, { closesWithoutAnswer: true }));
    const ids = Array.from({ length: STREAMS }, createRequestId);
    await Promise.all(
      ids.map((id) => sendCallerRequest(instance, '/drafts/1', { headers: { 'request-id': id } })),
    );
    ids.forEach((id) =>
      enginesByRequest.push(
        group.servers
          .filter(({ runs }) => runs.some(({ requestId }) => requestId === id))
          .map((server) => server.id),
      ),
    );
    group.servers.forEach(({ faults }) => Object.assign(faults, { closesWithoutAnswer: false }));
    await sleep(RECOVERY_MILLISECONDS);
    await waitUntil(isServed, 'streams are served again');
  }
  assert.ok(enginesByRequest.some((engines) => engines.includes(returned.id)));
  // Otherwise no stream could have run on too many.
  const used = new Set(enginesByRequest.flat());
  assert.ok(used.size > MAXIMUM_ATTEMPTS, [...used].join());
  const over = enginesByRequest.filter(({ length }) => length > MAXIMUM_ATTEMPTS);
  assert.deepEqual(over, []);
  const wrote = instance.log.join('').match(/.*Backend server has ended.*/g) ?? [];
  assert.deepEqual(
    wrote.filter((line) => line.includes(`"id":"${returned.id}"`)),
    [],
  );
});
