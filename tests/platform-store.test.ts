/** Tests what instances take from the platform's object store, in order and while it fails. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '../src/common/clock.js';
import {
  PLATFORM_CONFIGURATION,
  PlatformGroup,
  waitUntil,
  type ReceivedResponse,
} from '../tools/platform-group.js';
import { getFirstInstance, sendCallerRequest, startGroup } from '../tools/serving-group.js';

test('platform: unknown routes, unknown keys, and a key that a newer configuration revokes', async (context) => {
  const group = await startGroup(context, { instances: 2 });
  const [firstInstance, secondInstance] = group.instances;
  assert.ok(firstInstance && secondInstance);
  assert.equal((await sendCallerRequest(firstInstance, '/nowhere/1')).status, 404);
  assert.equal(
    (await sendCallerRequest(firstInstance, '/bookings/1', { key: 'no-key' })).status,
    401,
  );
  const [planner, dealer] = PLATFORM_CONFIGURATION.tenants;
  const revoked = {
    ...PLATFORM_CONFIGURATION,
    version: 7,
    tenants: [{ ...planner, 'api-keys': ['key-2'] }, dealer],
  };
  group.store.put('config', 'main', revoked);
  await waitUntil(
    async () => (await sendCallerRequest(secondInstance, '/bookings/1')).status === 401,
    'the key is revoked',
  );
  // An older version of the configuration must not replace a newer one.
  group.store.put('config', 'main', { ...PLATFORM_CONFIGURATION, version: 5 });
  await sleep(300);
  assert.equal((await sendCallerRequest(secondInstance, '/bookings/1')).status, 401);
});

test('platform: a key that is revoked while the store drops its history is refused within 2 s', async (context) => {
  const group = await startGroup(context);
  group.store.faults.keepsExpiredWatchesOpen = true;
  group.store.put('config', 'main', { ...PLATFORM_CONFIGURATION, version: 9, tenants: [] });
  group.store.dropHistory();
  const changedAt = Date.now();
  await waitUntil(
    async () => (await sendCallerRequest(getFirstInstance(group), '/bookings/1')).status === 401,
    'the revoked key is refused',
  );
  assert.ok(Date.now() - changedAt < 2000);
});

test('platform: callers are served during an outage of the store', async (context) => {
  const group = await startGroup(context);
  group.store.faults.status = 503;
  await sleep(600);
  assert.equal((await sendCallerRequest(getFirstInstance(group), '/drafts/1')).status, 200);
  assert.equal((await sendCallerRequest(getFirstInstance(group), '/bookings/1')).status, 200);
});

test('platform: an instance without a configuration answers 503 instead of rejecting the key or the route', async (context) => {
  const group = new PlatformGroup();
  context.after(() => group.stop());
  await group.start();
  group.store.faults.status = 503;
  const instance = await group.addInstance('entry-0');
  let answer: ReceivedResponse = { status: 0, headers: {}, body: '' };
  await waitUntil(async () => {
    answer = await sendCallerRequest(instance, '/bookings/1');
    return answer.status !== 0;
  }, 'the instance accepts connections');
  assert.equal(answer.status, 503);
});

test('platform: invalid server entries are ignored', async (context) => {
  const group = await startGroup(context);
  const forged: unknown[] = [
    null,
    'text',
    [],
    { service: 'casebook' },
    { service: 'casebook', address: 7 },
  ];
  forged.forEach((value, index) => group.store.put('servers', `forged-${index}`, value));
  await sleep(300);
  for (let count = 0; count < 6; count += 1) {
    assert.equal((await sendCallerRequest(getFirstInstance(group), '/bookings/1')).status, 200);
  }
});
