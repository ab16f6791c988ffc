/** Tests what instances know and write after the store has come back from a copy some seconds old. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import {
  PLATFORM_CONFIGURATION,
  PlatformGroup,
  sendRequest,
  waitUntil,
} from '../tools/platform-group.js';
import { sendCallerRequest } from '../tools/serving-group.js';
import type { PlatformServer } from '../tools/stand-ins/platform-server.js';
import type { StoreCopy } from '../tools/stand-ins/platform-store.js';

const DRAIN_MILLISECONDS = 2000;
/** From when an instance counts as undisturbed again. */
const CONTACT_MILLISECONDS = 3000;
const AWAY_MILLISECONDS = 1000;
const CHANGES = 4;
const INSTANCES = 3;

interface Drill {
  readonly group: PlatformGroup;
  readonly server: PlatformServer;
  readonly copy: StoreCopy;
}

/** Starts instances, of which the third is followed for by the others; the copy is older than all of them. */
async function startDrill(context: TestContext): Promise<Drill> {
  const group = new PlatformGroup();
  context.after(() => group.stop());
  await group.start();
  const server = await group.addServer({ id: 'case-0', service: 'casebook' });
  const copy = group.store.copy();
  for (let index = 0; index < INSTANCES; index += 1) await group.addReadyInstance(`entry-${index}`);
  for (let change = 0; change < CHANGES; change += 1)
    group.store.put('servers', 'joining', { change });
  await sleep(CONTACT_MILLISECONDS);
  return { group, server, copy };
}

async function comeBack({ group, server, copy }: Drill): Promise<void> {
  group.store.faults.status = 503;
  await sleep(AWAY_MILLISECONDS);
  group.store.comeBackFrom(copy);
  group.store.faults.status = 0;
  server.register('ready');
}

async function countLeaving({ group }: Drill): Promise<number> {
  const states = await Promise.all(
    group.instances.map(async ({ ports }) => {
      const { body } = await sendRequest({ port: ports.control, path: '/v1/backends' });
      return (JSON.parse(body) as { backends: { state: string }[] }).backends[0]?.state;
    }),
  );
  return states.filter((state) => state === 'leaving').length;
}

// Lists and changes of a lower revision than before were ignored for good.
test('older store: a server that leaves after the store came back is known to leave within drain-ms', async (context) => {
  const drill = await startDrill(context);
  await comeBack(drill);
  await sleep(CONTACT_MILLISECONDS);
  assert.equal(await countLeaving(drill), 0);
  drill.server.register('draining');
  await sleep(DRAIN_MILLISECONDS);
  assert.equal(await countLeaving(drill), INSTANCES);
});

// An older copy says ready of a server whose leaving had been acknowledged.
test('older store: a server that was leaving still is when the copy says that it is ready', async (context) => {
  const drill = await startDrill(context);
  drill.server.register('draining');
  await waitUntil(async () => (await countLeaving(drill)) === INSTANCES, 'its leaving is known');
  drill.group.store.comeBackFrom(drill.copy);
  const until = performance.now() + CONTACT_MILLISECONDS;
  while (performance.now() < until) assert.equal(await countLeaving(drill), INSTANCES);
});

// Instances that had registered after the copy was made stayed unknown to those that started later.
test('older store: instances register again', async (context) => {
  const drill = await startDrill(context);
  assert.ok(drill.group.store.read('instances', 'entry-0'));
  await comeBack(drill);
  await sleep(CONTACT_MILLISECONDS);
  drill.group.instances.forEach(({ name }) =>
    assert.ok(drill.group.store.read('instances', name), name),
  );
});

async function listStatuses({ group }: Drill, key: string): Promise<number[]> {
  const answers = await Promise.all(
    group.instances.map((instance) =>
      sendCallerRequest(instance, '/lookups/1', { method: 'GET', key }),
    ),
  );
  return answers.map(({ status }) => status);
}

test('older store: a key that was revoked after the copy was made stays revoked', async (context) => {
  const drill = await startDrill(context);
  const isRevoked = async (): Promise<boolean> =>
    (await listStatuses(drill, 'key-3')).every((status) => status === 401 || status === 403);
  assert.ok(!(await isRevoked()));
  const [planner, dealer] = PLATFORM_CONFIGURATION.tenants;
  const tenants = [planner, { ...dealer, 'api-keys': ['key-9'] }];
  drill.group.store.put('config', 'main', { ...PLATFORM_CONFIGURATION, version: 2, tenants });
  await waitUntil(isRevoked, 'the key is revoked');
  await comeBack(drill);
  const until = performance.now() + CONTACT_MILLISECONDS;
  while (performance.now() < until) assert.ok(await isRevoked());
});

test('older store: two returns within a second leave what was leaving and find what comes', async (context) => {
  const drill = await startDrill(context);
  drill.server.register('draining');
  await waitUntil(async () => (await countLeaving(drill)) === INSTANCES, 'its leaving is known');
  drill.group.store.comeBackFrom(drill.copy);
  await sleep(AWAY_MILLISECONDS / 2);
  drill.group.store.comeBackFrom(drill.copy);
  await sleep(CONTACT_MILLISECONDS);
  assert.equal(await countLeaving(drill), INSTANCES);
  await drill.group.addServer({ id: 'case-1', service: 'casebook' });
  await sleep(DRAIN_MILLISECONDS);
  const states = await Promise.all(
    drill.group.instances.map(async ({ ports }) => {
      const { body } = await sendRequest({ port: ports.control, path: '/v1/backends' });
      return (JSON.parse(body) as { backends: unknown[] }).backends.length;
    }),
  );
  assert.deepEqual(
    states,
    Array.from({ length: INSTANCES }, () => 2),
  );
});
