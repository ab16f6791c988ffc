import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPeerRecord } from '../../tools/peer-record.js';
import { listCallerAddresses } from './caller-addresses.js';

const OWN = { host: '10.0.0.1', port: 1 };

function createPeers(count: number, overrides = {}) {
  return Array.from({ length: count }, (_, index) =>
    createPeerRecord(`peer-${index}`, {
      callers: { host: '10.0.1.1', port: index + 1 },
      ...overrides,
    }),
  );
}

test('caller addresses: stopping instances and those that are not ready are left out', () => {
  const peers = [...createPeers(1, { isStopping: true }), ...createPeers(1, { isReady: false })];
  assert.deepEqual(listCallerAddresses(OWN, peers), [OWN]);
  assert.deepEqual(listCallerAddresses(undefined, peers), []);
});

// Regression: with more than 64 instances the last ones, and always the one that answered, were in no
// answer.
test('caller addresses: in a large fleet every instance is in some answer', () => {
  const peers = createPeers(76);
  const seen = new Set<number>();
  for (let step = 0; step < 10; step += 1) {
    const addresses = listCallerAddresses(OWN, peers, () => step / 10);
    assert.equal(addresses.length, 64);
    addresses.forEach(({ host, port }) => seen.add(host === OWN.host ? 0 : port));
  }
  assert.equal(seen.size, 77);
});
