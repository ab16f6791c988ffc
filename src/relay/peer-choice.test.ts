import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createPeerRecord } from '../../tools/peer-record.js';
import { createRandom } from '../../tools/random.js';
import { choosePeer } from './peer-choice.js';
import { decodeRelayedRequest, encodeRelayedRequest } from './relayed-request.js';

const ABLE = { acceptsRequests: true, configurationVersion: 7 };

test('peer choice: no peer that can not serve, and no older build, is chosen', () => {
  const unable = [
    createPeerRecord('older build', { configurationVersion: 7 }),
    createPeerRecord('cut', { ...ABLE, isCutFromServers: true }),
    createPeerRecord('stopping', { ...ABLE, isStopping: true }),
    createPeerRecord('starting', { ...ABLE, isReady: false }),
    createPeerRecord('behind', { ...ABLE, configurationVersion: 6 }),
    createPeerRecord('declined', ABLE),
  ];
  const options = {
    excluded: new Set(['declined']),
    configurationVersion: 7,
    countOpen: () => 0,
  };
  assert.equal(choosePeer({ ...options, peers: unable }), undefined);
  const able = createPeerRecord('able', ABLE);
  assert.equal(choosePeer({ ...options, peers: [...unable, able] }), able);
});

// All instances of a data centre may be cut, and pass everything on to the few that are left.
test('peer choice: requests are spread evenly over the peers', () => {
  const requestsPerPeer = 100;
  fc.assert(
    fc.property(fc.integer({ min: 2, max: 8 }), fc.integer(), (count, seed) => {
      const peers = Array.from({ length: count }, (_, index) => createPeerRecord(`${index}`, ABLE));
      const open = new Map<string, number>();
      const countOpen = (instance: string): number => open.get(instance) ?? 0;
      const options = { peers, excluded: new Set<string>(), configurationVersion: 7, countOpen };
      const random = createRandom(seed).next;
      for (let sent = 0; sent < requestsPerPeer * count; sent += 1) {
        const chosen = choosePeer({ ...options, random });
        assert.ok(chosen);
        open.set(chosen.instance, countOpen(chosen.instance) + 1);
      }
      assert.ok(Math.max(...open.values()) <= 1.1 * requestsPerPeer);
    }),
    { seed: 3, numRuns: 100 },
  );
});

test('relayed request: what is written is read again, and anything else is refused', () => {
  const relayed = {
    from: 'entry-é',
    configurationVersion: 3,
    remainingMilliseconds: 1200,
    processKeys: ['server/1'],
    lastEventId: 4,
  };
  const text = encodeRelayedRequest(relayed);
  assert.match(text, /^[\x21-\x7e]+$/);
  assert.deepEqual(decodeRelayedRequest(text), relayed);
  ['', '%', 'null', '{}', encodeURIComponent('{"from":1}'), '%7B'].forEach((value) =>
    assert.equal(decodeRelayedRequest(value), undefined, value),
  );
});
