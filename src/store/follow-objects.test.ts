import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSilentLogger } from '../telemetry/log.js';
import { followObjects } from './follow-objects.js';
import type { ObjectStore, WatchObjectsResult } from './object-store.js';

const NEVER_WRITTEN = {
  read: () => Promise.reject(new Error('not read')),
  create: () => Promise.reject(new Error('not written')),
  replace: () => Promise.reject(new Error('not written')),
  remove: () => Promise.reject(new Error('not written')),
  callCount: () => 0,
};

/** Follows a store that answers its watches in turn, until the script is at its end. */
async function follow(script: readonly (WatchObjectsResult | 'hang')[]): Promise<string[]> {
  const calls: string[] = [];
  const end = new AbortController();
  const left = [...script];
  const store: ObjectStore = {
    ...NEVER_WRITTEN,
    list: () => {
      calls.push('list');
      return Promise.resolve({ kind: 'listed', objects: [], revision: 10 + calls.length });
    },
    watch: (_kind, { since }) => {
      calls.push(`watch ${since}`);
      const next = left.shift();
      if (next === undefined || next === 'hang') end.abort();
      if (next === undefined || next === 'hang') {
        return Promise.resolve({ kind: 'unavailable', message: 'the end' });
      }
      return Promise.resolve(next);
    },
  };
  await followObjects({
    store,
    objectKind: 'things',
    batchPauseMilliseconds: () => {
      calls.push('pause');
      return 0;
    },
    onList: () => undefined,
    onChanges: (changes) => calls.push(`changes ${changes.length}`),
    onStoreAnswer: () => undefined,
    log: createSilentLogger(),
    signal: end.signal,
  });
  return calls;
}

// How long changes are gathered may change between two batches.
test('follow: a watch goes on from the revision of the one before, after a pause asked for anew', async () => {
  const object = { name: 'a', revision: 20, value: 1 };
  const changed = {
    kind: 'changed',
    changes: [{ object, isDeleted: false }],
    revision: 20,
  } as const;
  assert.deepEqual(await follow([changed, 'hang']), [
    'list',
    'watch 11',
    'changes 1',
    'pause',
    'watch 20',
  ]);
});

test('follow: the store is read whole when its history is gone', async () => {
  const calls = await follow([{ kind: 'historyLost' }, 'hang']);
  assert.deepEqual(calls, ['list', 'watch 11', 'list', 'watch 13']);
});

// A store that dropped its history let a watch from the old revision wait, so that a revoked key
// stayed known for four seconds.
test('follow: the store is read whole after a watch that was cut', async () => {
  const calls = await follow([{ kind: 'unavailable', message: 'reset' }, 'hang']);
  assert.deepEqual(calls, ['list', 'watch 11', 'list', 'watch 13']);
});
