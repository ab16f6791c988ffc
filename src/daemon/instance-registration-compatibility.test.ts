import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createJsonStore, createMemoryObjectStore } from '../../tools/memory-object-store.js';
import { createNested } from '../../tools/odd-values.js';
import { CrashBlame } from '../evidence/crash-blame.js';
import { CrashRecords } from '../evidence/crash-records.js';
import type { EntrySettings } from '../entry/entry-settings.js';
import { PromptPartRecords } from '../evidence/prompt-part-records.js';
import type { ObjectStore } from '../store/object-store.js';
import { createSilentLogger, type Logger } from '../telemetry/log.js';
import { InstanceRegistration } from './instance-registration.js';

const ADDRESS = { host: '127.0.0.1', port: 1 };
const REGISTERED = { dataCentre: 'dc', callers: ADDRESS, peers: ADDRESS };
const BLOCKS = {
  crashes: { guilty: ['server-1', 'server-2', 'server-3'] },
  promptParts: { ends: {}, written: {}, tried: {} },
  writtenAt: 1000,
  clock: 5,
};

function createBlame(): CrashBlame {
  const log = createSilentLogger();
  const promptParts = new PromptPartRecords({ countInstances: () => 1, log });
  return new CrashBlame({ contents: new CrashRecords({ log }), promptParts });
}

function isGuilty(blame: CrashBlame, hash = 'guilty'): boolean {
  return blame.isBlocked({ hash, sharedParts: [] });
}

function createRegistration(store: ObjectStore, crashBlame = createBlame()) {
  const lines: string[] = [];
  const peers: string[] = [];
  const listen = { callers: ADDRESS, peers: ADDRESS, readiness: ADDRESS, addresses: ADDRESS };
  const warn: Logger['warn'] = (message, fields) => lines.push(JSON.stringify([message, fields]));
  const registration = new InstanceRegistration({
    settings: { instance: 'entry-1', dataCentre: 'dc', listen } as unknown as EntrySettings,
    store,
    crashBlame,
    onPeer: ({ instance }) => peers.push(instance),
    isKeeper: () => true,
    log: { ...createSilentLogger(), warn },
    signal: new AbortController().signal,
    wallClock: () => 1000,
  });
  return { registration, lines, peers, crashBlame };
}

// A build that was taken back for an older one found its fields gone after the first block.
test('registration of another build: a write keeps the fields that are not known', async () => {
  const { store, put, get } = createMemoryObjectStore();
  const blocks = { ...BLOCKS, crashes: {}, reason: 'newer' };
  put('entry-1', { ...REGISTERED, format: 2, region: { name: 'r' }, blocks });
  const { registration, crashBlame } = createRegistration(store);
  await registration.register();
  put('entry-1', { ...REGISTERED, format: 3, region: { name: 'r' }, blocks });
  crashBlame.contents.merge(BLOCKS);
  await registration.writeBlocks();
  await registration.writeBlocks();
  const written = get('entry-1') as Record<string, unknown> & { blocks: Record<string, unknown> };
  assert.deepEqual([written.format, written.region], [3, { name: 'r' }]);
  assert.equal(written.blocks.reason, 'newer');
  assert.deepEqual(Object.keys(written.blocks.crashes as object), ['guilty']);
});

// Blocks that could not be read let a request end server after server again, without a log line.
test('registration of another build: an entry that cannot be read costs only itself', async () => {
  const { store, put } = createMemoryObjectStore();
  const crashes = { ...BLOCKS.crashes, other: [1, 2, 3] };
  put('entry-2', { ...REGISTERED, format: 2, blocks: { ...BLOCKS, crashes, extra: 1 } });
  const { registration, lines, crashBlame, peers } = createRegistration(store);
  await registration.register();
  assert.ok(isGuilty(crashBlame));
  assert.deepEqual(peers, ['entry-2', 'entry-1']);
  assert.equal(lines.length, 1);
  assert.match(lines[0] ?? '', /entry-2.*other/);
});

test('registration of another build: an object that cannot be read costs no other one', async () => {
  const { store, put } = createMemoryObjectStore();
  put('entry-2', null);
  put('entry-3', { ...REGISTERED, peers: 'here', blocks: BLOCKS });
  put('entry-4', { ...REGISTERED, blocks: 'none' });
  put('entry-5', REGISTERED);
  const { registration, lines, crashBlame, peers } = createRegistration(store);
  await registration.register();
  assert.deepEqual(peers, ['entry-4', 'entry-5', 'entry-1']);
  assert.ok(isGuilty(crashBlame));
  assert.equal(lines.length, 3);
});

test('registration of another build: missing optional fields block as before', async () => {
  const { store, put } = createMemoryObjectStore();
  put('entry-2', { ...REGISTERED, blocks: BLOCKS });
  const { registration, lines, crashBlame } = createRegistration(store);
  await registration.register();
  assert.ok(isGuilty(crashBlame));
  assert.deepEqual(lines, []);
});

// Such a field was kept and made each write fail; and beside a block that can't be read it ended the instance.
test('odd entries: an object with fields that are nested too deeply is read and written', async () => {
  const { store, put, get } = createMemoryObjectStore();
  const nested = createNested();
  const blocks = { ...BLOCKS, crashes: { other: [1] }, nested, reason: 'newer' };
  put('entry-1', { ...REGISTERED, nested, format: 2, blocks });
  const { registration, crashBlame } = createRegistration(createJsonStore(store));
  await registration.register();
  crashBlame.contents.merge(BLOCKS);
  await registration.writeBlocks();
  const written = get('entry-1') as Record<string, unknown> & { blocks: Record<string, unknown> };
  assert.deepEqual([written.format, written.blocks.reason], [2, 'newer']);
  assert.deepEqual(Object.keys(written.blocks.crashes as object), ['guilty']);
});
