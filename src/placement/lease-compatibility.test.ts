import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assertEarlierBuildReads, readSample } from '../../tools/earlier-build.js';
import { startObjectApi } from '../../tools/stand-ins/object-api.js';
import { writeObject } from '../platform/commands/write-objects.js';
import { createPlatformConnection } from '../platform/connection.js';
import { ABSENT_VERSION } from '../platform/object.js';
import { Lease } from './lease.js';
import { LeaseManager } from './lease-manager.js';

const LEASE = {
  holder: 'old',
  fencingNumber: 7,
  durationMilliseconds: 1000,
  renewals: 3,
  token: 'token',
};

// A newer holder's fields were gone after an older build had taken the lease over.
test('lease of another build: takeover, renewal and release keep the fields that are not known', async (context) => {
  const objectApi = await startObjectApi();
  context.after(() => objectApi.close());
  const address = { host: '127.0.0.1', port: objectApi.port };
  const connection = createPlatformConnection({ address });
  const unknown = { format: 2, region: { name: 'r' } };
  await writeObject(connection, 'leases/x', { ...LEASE, ...unknown }, ABSENT_VERSION);
  let now = 0;
  const leaseManager = new LeaseManager({
    connection,
    name: 'x',
    holder: 'new',
    durationMilliseconds: 1000,
    orderTimeoutMilliseconds: 100,
    monotonicMilliseconds: () => now,
  });
  const readKept = (): unknown => {
    const { format, region } = objectApi.peek('leases/x') as Record<string, unknown>;
    return { format, region };
  };
  await leaseManager.acquireOrRenew();
  now = 1200;
  await leaseManager.acquireOrRenew();
  assert.equal(leaseManager.held?.fencingNumber, 8);
  assert.deepEqual(readKept(), unknown);
  await leaseManager.acquireOrRenew();
  assert.equal((objectApi.peek('leases/x') as Record<string, unknown>).renewals, 1);
  assert.deepEqual(readKept(), unknown);
  await leaseManager.release();
  assert.equal((objectApi.peek('leases/x') as Record<string, unknown>).holder, '');
  assert.deepEqual(readKept(), unknown);
});

test('lease of an earlier build: its holder keeps it until it expires, and it can read the takeover', async (context) => {
  const objectApi = await startObjectApi();
  context.after(() => objectApi.close());
  const address = { host: '127.0.0.1', port: objectApi.port };
  const connection = createPlatformConnection({ address });
  const sample = Lease.parse(readSample('lease'));
  await writeObject(connection, 'leases/x', sample, ABSENT_VERSION);
  let now = 0;
  const leaseManager = new LeaseManager({
    connection,
    name: 'x',
    holder: 'new',
    durationMilliseconds: 1000,
    orderTimeoutMilliseconds: 100,
    monotonicMilliseconds: () => now,
  });
  await leaseManager.acquireOrRenew();
  now = sample.durationMilliseconds;
  await leaseManager.acquireOrRenew();
  assert.deepEqual(objectApi.peek('leases/x'), readSample('lease'));
  now = sample.durationMilliseconds * 1.2;
  await leaseManager.acquireOrRenew();
  assert.equal(leaseManager.held?.fencingNumber, 2);
  assertEarlierBuildReads('lease', objectApi.peek('leases/x'));
});
