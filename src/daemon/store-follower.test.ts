import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { createPeerRecord } from '../../tools/peer-record.js';
import { sleep } from '../common/clock.js';
import { ActiveConfiguration } from '../entry/active-configuration.js';
import { BackendFleet } from '../fleet/backend-fleet.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import type { ObjectStore } from '../store/object-store.js';
import { createSilentLogger } from '../telemetry/log.js';
import type { EntryPlatform } from './entry-platform.js';
import { StoreFollower } from './store-follower.js';

function createEntry(id: string): ServerEntry {
  const address = { host: '127.0.0.1', port: 1 };
  return {
    id,
    service: 's',
    address,
    dataCentre: 'z',
    slots: 1,
    isLeaving: false,
    kind: undefined,
    layers: undefined,
  };
}

/** Follows a store that lists one server at revision 10 and whose watches hang until the test ends. */
async function startFollower(
  context: TestContext,
  options: { readonly isFollowedByPeers: () => boolean; readonly peerDocument: unknown },
) {
  const controller = new AbortController();
  context.after(() => controller.abort());
  const calls: string[] = [];
  const unexpected = () => Promise.reject(new Error('unexpected call'));
  const store: ObjectStore = {
    list: (objectKind) => {
      calls.push(`list ${objectKind}`);
      const objects = [{ name: 'a', revision: 10, value: createEntry('a') }];
      return Promise.resolve({ kind: 'listed', objects, revision: 10 });
    },
    watch: async (objectKind, { since, signal }) => {
      calls.push(`watch ${objectKind} ${since}`);
      await sleep(60_000, signal);
      return { kind: 'unavailable', message: 'The test has ended.' };
    },
    read: unexpected,
    create: unexpected,
    replace: unexpected,
    remove: unexpected,
    callCount: () => calls.length,
  };
  const platform: Partial<EntryPlatform> = {
    store,
    configurationKind: 'configuration',
    configurationName: 'none',
    serverKind: 'servers',
    parseServer: ({ value }) => value as ServerEntry,
  };
  const fleet = new BackendFleet({ log: createSilentLogger() });
  let news = 0;
  const follower = new StoreFollower({
    platform: platform as EntryPlatform,
    configuration: new ActiveConfiguration({
      log: createSilentLogger(),
      changeBoundMilliseconds: 2000,
    }),
    dataCentre: 'z',
    fleet,
    changeBoundMilliseconds: 2000,
    contactMilliseconds: 3000,
    serverHeartbeatMilliseconds: 1200,
    listPeers: () => [],
    fetch: () => Promise.resolve(options.peerDocument),
    isFollowedByPeers: options.isFollowedByPeers,
    onNews: () => {
      news += 1;
    },
    onEra: () => undefined,
    isIdle: () => false,
    logs: () => createSilentLogger(),
    signal: controller.signal,
  });
  follower.start();
  await sleep(20);
  return { calls, fleet, follower, countNews: () => news };
}

const NEWER_DOCUMENT = {
  revision: 20,
  entries: [createEntry('a'), createEntry('b')],
  missingMilliseconds: { b: 500 },
};

/** The peer's configuration is not newer. */
const NEWER_RECORD = { fleetRevision: 20, configurationVersion: -1 };

async function waitForRevision(fleet: BackendFleet, revision: number): Promise<void> {
  while (fleet.revision < revision) await sleep(10);
}

test('store follower: servers come from a peer while peers follow the store, missing ones with their age', async (context) => {
  const { calls, fleet, follower } = await startFollower(context, {
    isFollowedByPeers: () => true,
    peerDocument: NEWER_DOCUMENT,
  });
  follower.catchUpWithPeer(createPeerRecord('other', NEWER_RECORD));
  await waitForRevision(fleet, 20);
  const missing = fleet.missingMilliseconds.b ?? 0;
  assert.ok(missing >= 500, `${missing}`);
  assert.ok(calls.includes('list servers'), 'the servers are listed once, at the start');
  assert.ok(!calls.some((call) => call.startsWith('watch servers')));
  assert.ok(!follower.isStoreReachable);
});

// Two followers whose connections went silent would have kept a whole data centre on an old list for as
// long as their watches wait.
test('store follower: while its own watch hangs, an instance takes newer servers from a peer', async (context) => {
  const { calls, fleet, follower, countNews } = await startFollower(context, {
    isFollowedByPeers: () => false,
    peerDocument: NEWER_DOCUMENT,
  });
  assert.ok(calls.includes('watch servers 10'));
  const newsBefore = countNews();
  follower.catchUpWithPeer(createPeerRecord('other', NEWER_RECORD));
  assert.equal(fleet.revision, 10, 'the own watch is given a moment');
  await waitForRevision(fleet, 20);
  assert.equal(countNews(), newsBefore + 1);
});

// A list without entries, or with one of another form, ended the process by an unhandled rejection.
test('store follower: a list of another build costs only what cannot be read of it', async (context) => {
  const options: { isFollowedByPeers: () => boolean; peerDocument: unknown } = {
    isFollowedByPeers: () => true,
    peerDocument: { revision: 20 },
  };
  const { fleet, follower } = await startFollower(context, options);
  for (const peerDocument of [{ revision: 20 }, { revision: '20', entries: [] }, [], 3, null]) {
    options.peerDocument = peerDocument;
    follower.catchUpWithPeer(createPeerRecord('other', NEWER_RECORD));
    await sleep(5);
    assert.equal(fleet.revision, 10, JSON.stringify(peerDocument));
  }
  const other = { ...createEntry('c'), format: 2, address: 'here' };
  const entries = [null, other, { ...createEntry('b'), format: 2, layers: { from: 0, to: 4 } }];
  options.peerDocument = { revision: 20, entries, missingMilliseconds: { b: 'late' } };
  follower.catchUpWithPeer(createPeerRecord('other', NEWER_RECORD));
  await waitForRevision(fleet, 20);
  assert.deepEqual(
    fleet.servers.filter(({ entry }) => entry.id !== 'a').map(({ entry }) => entry.layers),
    [{ from: 0, to: 4 }],
  );
});

// The list of an older build, from before the store came back, would have hidden all that came after it.
test('store follower: once the store is back from an older copy, a list without its era is not taken', async (context) => {
  const options: { isFollowedByPeers: () => boolean; peerDocument: unknown } = {
    isFollowedByPeers: () => false,
    peerDocument: { revision: 5, era: 1, entries: [createEntry('b')] },
  };
  const { fleet, follower } = await startFollower(context, options);
  follower.catchUpWithPeer(
    createPeerRecord('other', { ...NEWER_RECORD, fleetRevision: 5, fleetEra: 1 }),
  );
  while (fleet.era !== 1) await sleep(10);
  assert.equal(fleet.revision, 5, 'the lower revision of a later era');
  options.peerDocument = NEWER_DOCUMENT;
  follower.catchUpWithPeer(createPeerRecord('older', NEWER_RECORD));
  await sleep(600);
  assert.equal(fleet.revision, 5);
});

// The list of an older build, taken first, has a higher revision than all lists of a store that went back.
test('store follower: the first list with an era is taken whatever the revision of an older build was', async (context) => {
  const options: { isFollowedByPeers: () => boolean; peerDocument: unknown } = {
    isFollowedByPeers: () => true,
    peerDocument: NEWER_DOCUMENT,
  };
  const { fleet, follower } = await startFollower(context, options);
  fleet.era = undefined;
  follower.catchUpWithPeer(createPeerRecord('older', NEWER_RECORD));
  await waitForRevision(fleet, 20);
  assert.equal(fleet.era, undefined);
  options.peerDocument = { revision: 5, era: 2, entries: [createEntry('b')] };
  follower.catchUpWithPeer(
    createPeerRecord('other', { ...NEWER_RECORD, fleetRevision: 5, fleetEra: 2 }),
  );
  await sleep(50);
  assert.deepEqual([fleet.era, fleet.revision], [2, 5]);
});
