import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assertEarlierBuildReads, readSample } from '../../tools/earlier-build.js';
import { createMemoryObjectStore } from '../../tools/memory-object-store.js';
import { CrashBlame } from '../evidence/crash-blame.js';
import { CrashRecords } from '../evidence/crash-records.js';
import { PromptPartRecords } from '../evidence/prompt-part-records.js';
import type { EntrySettings } from '../entry/entry-settings.js';
import { PeerRecord } from '../gossip/peer-record.js';
import { LEASE_NAME, PlannerLease } from '../layers/planner-lease.js';
import { decodeRelayedRequest, encodeRelayedRequest } from '../relay/relayed-request.js';
import { createSilentLogger } from '../telemetry/log.js';
import { decodeFleetDocument } from './fleet-document.js';
import { InstanceRegistration } from './instance-registration.js';
import { OwnRecord } from './own-record.js';
import { createPeerInquiry } from './peer-inquiry.js';

const ADDRESS = { host: '127.0.0.1', port: 1 };
const LISTEN = { callers: ADDRESS, peers: ADDRESS, readiness: ADDRESS, addresses: ADDRESS };
const SETTINGS = {
  instance: 'entry-9',
  dataCentre: 'z',
  listen: LISTEN,
} as unknown as EntrySettings;
/** The content of the request that ended two servers while the samples were taken. */
const CONTENT = 'fa054796d77c1bf4';
const NO_PARTS = { ends: {}, written: {}, tried: {} };

test('earlier build: its records are read whole, without an era of the store', () => {
  const records = readSample<PeerRecord[]>('records');
  const read = records.map((record) => PeerRecord.parse(record));
  assert.deepEqual(read, records);
  const [first] = read;
  assert.deepEqual([first?.isReady, first?.plannerTerm, first?.fleetEra], [true, 1, undefined]);
  assert.deepEqual(first?.crashes, { [CONTENT]: ['case-0/1', 'case-1/1'] });
});

test('earlier build: it can read the record that an instance makes of itself', () => {
  const describeState = () => ({
    urgent: {
      isReady: true,
      isStopping: false,
      configurationVersion: 1,
      isStoreReachable: true,
      isCutFromServers: false,
      suspects: ['s'],
      ejections: { s: [1, 'faulty'] as [number, 'faulty'] },
      plannerTerm: 0,
      crashes: { content: ['s/1'] },
      crashesWhileWritten: { content: ['s/1'] },
      promptParts: NO_PARTS,
    },
    fleetRevision: 1,
    fleetEra: 2,
    loads: { s: [1, 2] as [number, number] },
    paces: { s: 1 },
    holdings: { s: [0, 4] as [number, number] },
    leaving: ['s'],
    retries: { service: [1, 0] as [number, number] },
    limits: { s: [null, 5] as [null, number] },
  });
  const { current } = new OwnRecord({ settings: SETTINGS, incarnation: 7, describeState });
  assertEarlierBuildReads('record', current);
  assertEarlierBuildReads('record', readSample<PeerRecord[]>('records')[0]);
});

test('earlier build: its list of servers, answers to questions and passed-on requests are read', async () => {
  const fleet = decodeFleetDocument(readSample('fleet'));
  assert.deepEqual([fleet?.revision, fleet?.era, fleet?.messages], [16, undefined, []]);
  assert.deepEqual(fleet?.entries.find(({ id }) => id === 'engine-2')?.layers, { from: 2, to: 8 });
  assert.equal(fleet?.entries.length, 8);
  const [peer] = readSample<PeerRecord[]>('records');
  const answer = readSample('connection');
  assert.ok(peer);
  const ask = createPeerInquiry({ listPeers: () => [peer], fetch: async () => answer });
  assert.equal(await ask('case-0'), 'refused');
  const relayed = {
    from: 'entry-0',
    configurationVersion: 3,
    remainingMilliseconds: 500,
    processKeys: ['engine-0/1'],
    lastEventId: 4,
  };
  assert.deepEqual(decodeRelayedRequest(readSample('relayedRequest')), relayed);
  const header = decodeURIComponent(encodeRelayedRequest(relayed));
  assertEarlierBuildReads('relayedRequest', JSON.parse(header));
});

test('earlier build: its registration blocks a request, and it can read what is written over it', async () => {
  const { store, put, get } = createMemoryObjectStore();
  const registration = readSample<{ blocks: { writtenAt: number } }>('registration');
  put('entry-0', registration);
  put('entry-9', registration);
  const log = createSilentLogger();
  const promptParts = new PromptPartRecords({ countInstances: () => 1, log });
  const crashBlame = new CrashBlame({ contents: new CrashRecords({ log }), promptParts });
  const peers: string[] = [];
  const own = new InstanceRegistration({
    settings: SETTINGS,
    store,
    crashBlame,
    onPeer: ({ instance }) => peers.push(instance),
    isKeeper: () => true,
    log,
    signal: new AbortController().signal,
    wallClock: () => registration.blocks.writtenAt,
  });
  await own.register();
  assert.deepEqual(peers, ['entry-0', 'entry-9']);
  assert.ok(crashBlame.isBlocked({ hash: CONTENT, sharedParts: [] }));
  await own.writeBlocks();
  assertEarlierBuildReads('registration', get('entry-9'));
  const { blocks } = get('entry-9') as { blocks: { crashes: object } };
  assert.deepEqual(Object.keys(blocks.crashes), [CONTENT]);
});

test('earlier build: its planner lease is respected, taken over, and still readable', async () => {
  const sample = readSample<{ holder: string }>('plannerLease');
  const memory = createMemoryObjectStore();
  memory.put(LEASE_NAME, sample);
  const { store } = memory;
  const lease = new PlannerLease({ store, holder: 'entry-9/1', log: createSilentLogger() });
  assert.equal(await lease.acquireOrRenew((holder) => holder !== sample.holder), 'lost');
  assert.deepEqual(memory.get(LEASE_NAME), sample);
  const order = {
    service: 'model',
    processKey: 'engine-0/1',
    layers: { from: 0, to: 4 },
    durationMilliseconds: 4000,
    expiresAt: Date.now() + 4000,
  };
  assert.equal(await lease.acquireOrRenew(() => true, [order]), 'held');
  const written = memory.get(LEASE_NAME) as Record<string, unknown>;
  assert.deepEqual([written.holder, written.term], ['entry-9/1', 2]);
  assert.equal((written.orders as { list: unknown[] }).list.length, 1);
  assertEarlierBuildReads('plannerLease', written);
});
