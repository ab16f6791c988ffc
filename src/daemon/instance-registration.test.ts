import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CrashBlame } from '../evidence/crash-blame.js';
import { CrashRecords } from '../evidence/crash-records.js';
import type { EntrySettings } from '../entry/entry-settings.js';
import { PromptPartRecords } from '../evidence/prompt-part-records.js';
import type { ObjectStore, StoredObject } from '../store/object-store.js';
import { createSilentLogger } from '../telemetry/log.js';
import { InstanceRegistration } from './instance-registration.js';

const ADDRESS = { host: '127.0.0.1', port: 1 };
const BLOCKED = { hash: 'new', sharedParts: ['first', 'bad'] };

function createBlame(): CrashBlame {
  const log = createSilentLogger();
  const promptParts = new PromptPartRecords({ countInstances: () => 1, log });
  return new CrashBlame({ contents: new CrashRecords({ log }), promptParts });
}

function createBlockingBlame(): CrashBlame {
  const blame = createBlame();
  for (let end = 0; end < 3; end += 1) {
    const content = { hash: `content-${end}`, sharedParts: ['first', 'bad'] };
    blame.promptParts.recordEnd(`engine-${end}`, content, performance.now() - 1000 * (end + 1));
    blame.contents.recordCrash('guilty', `server-${end}`);
  }
  return blame;
}

/** A store in memory, of which only the calls of a registration work. */
function createStore() {
  const objects = new Map<string, StoredObject>();
  let revision = 0;
  const put = (name: string, value: unknown): StoredObject => {
    revision += 1;
    const object = { name, value, revision };
    objects.set(name, object);
    return object;
  };
  const fail = (): never => assert.fail('unexpected call');
  const store: ObjectStore = {
    list: async () => ({ kind: 'listed', objects: [...objects.values()], revision }),
    create: async (_, name, value) => {
      const current = objects.get(name);
      return current
        ? { kind: 'conflict', current }
        : { kind: 'written', object: put(name, value) };
    },
    replace: async (_, name, change) => {
      const current = objects.get(name);
      if (current?.revision !== change.revision) return { kind: 'conflict', current };
      return { kind: 'written', object: put(name, change.value) };
    },
    remove: async (_, name) => {
      objects.delete(name);
      return { kind: 'absent' };
    },
    watch: fail,
    read: fail,
    callCount: () => revision,
  };
  return { store, objects, put };
}

function createRegistration(store: ObjectStore, crashBlame: CrashBlame, wallMilliseconds = 1000) {
  const listen = { callers: ADDRESS, peers: ADDRESS, readiness: ADDRESS, addresses: ADDRESS };
  return new InstanceRegistration({
    settings: { instance: 'entry-1', dataCentre: 'dc', listen } as unknown as EntrySettings,
    store,
    crashBlame,
    onPeer: () => undefined,
    isKeeper: () => true,
    log: createSilentLogger(),
    signal: new AbortController().signal,
    wallClock: () => wallMilliseconds,
  });
}

test('kept blocks: another instance blocks the same requests, also if its clock is behind', async () => {
  const { store } = createStore();
  const keeper = createRegistration(store, createBlockingBlame());
  await keeper.register();
  await keeper.writeBlocks();
  const blame = createBlame();
  await createRegistration(store, blame, 0).register();
  assert.ok(blame.isBlocked(BLOCKED));
  assert.ok(blame.isBlocked({ hash: 'guilty', sharedParts: [] }));
  assert.ok(!blame.isBlocked({ hash: 'new', sharedParts: ['first'] }));
});

test('kept blocks: they are written once, and taken back when nothing is blocked any more', async () => {
  const { store, objects } = createStore();
  const blame = createBlockingBlame();
  const keeper = createRegistration(store, blame);
  await keeper.register();
  await keeper.writeBlocks();
  const { revision } = objects.get('entry-1') as StoredObject;
  await keeper.writeBlocks();
  assert.equal(objects.get('entry-1')?.revision, revision);
  blame.recordCompletion({ hash: 'guilty', sharedParts: [] });
  blame.recordWritten(BLOCKED, performance.now());
  await keeper.writeBlocks();
  const next = createBlame();
  await createRegistration(store, next).register();
  assert.ok(!next.isBlocked(BLOCKED));
  assert.ok(!next.isBlocked({ hash: 'guilty', sharedParts: [] }));
});

test('kept blocks: old ones and nonsense block nothing', async () => {
  const { store, put } = createStore();
  const keeper = createRegistration(store, createBlockingBlame());
  await keeper.register();
  await keeper.writeBlocks();
  put('entry-2', { blocks: { promptParts: 'nonsense' } });
  put('entry-3', 'nonsense');
  const blame = createBlame();
  await createRegistration(store, blame, 2 * 3_600_000).register();
  assert.ok(!blame.isBlocked(BLOCKED));
  assert.ok(!blame.isBlocked({ hash: 'guilty', sharedParts: [] }));
});

test('kept blocks: a write that another one came before is made at the next try', async () => {
  const { store, put } = createStore();
  const keeper = createRegistration(store, createBlockingBlame());
  await keeper.register();
  put('entry-1', {});
  await keeper.writeBlocks();
  await keeper.writeBlocks();
  const blame = createBlame();
  await createRegistration(store, blame).register();
  assert.ok(blame.isBlocked(BLOCKED));
});
