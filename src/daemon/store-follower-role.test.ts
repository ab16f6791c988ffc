import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPeerRecord } from '../../tools/peer-record.js';
import { isFollowedByPeers } from './store-follower-role.js';

function listFollowers(instances: readonly string[], overrides: Record<string, object> = {}) {
  const records = instances.map((instance) => ({
    ...createPeerRecord(instance),
    ...overrides[instance],
  }));
  return instances.filter(
    (instance) =>
      !isFollowedByPeers(
        instance,
        'z',
        records.filter((record) => record.instance !== instance),
      ),
  );
}

// Each waiting watch is a counted call: with every instance following the store, calls grew with the
// number of instances.
test('store followers: two instances of a data centre, whatever its size', () => {
  assert.deepEqual(listFollowers(['a', 'b', 'c', 'd', 'e']), ['a', 'b']);
});

test('store followers: the next one takes the place of one that is cut off or stopping', () => {
  assert.deepEqual(listFollowers(['a', 'b', 'c', 'd'], { a: { isStoreReachable: false } }), [
    'a',
    'b',
    'c',
  ]);
  assert.deepEqual(listFollowers(['a', 'b', 'c', 'd'], { b: { isStopping: true } }), [
    'a',
    'b',
    'c',
  ]);
});

test('store followers: instances of other data centres do not count', () => {
  const others = { a: { dataCentre: 'y' }, b: { dataCentre: 'y' } };
  assert.deepEqual(listFollowers(['a', 'b', 'c', 'd', 'e'], others).slice(-2), ['c', 'd']);
});
