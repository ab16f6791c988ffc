import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { assertEarlierBuildReads, readSample } from '../../tools/earlier-build.js';
import { createNested } from '../../tools/odd-values.js';
import { startObjectApi } from '../../tools/stand-ins/object-api.js';
import type { ClaimAnswer, ClaimMessage } from '../peer/messages.js';
import { writeObject } from '../platform/commands/write-objects.js';
import { createPlatformConnection } from '../platform/connection.js';
import { ABSENT_VERSION } from '../platform/object.js';
import { applyClaims, ClaimShard } from './claim-shard.js';
import { ClaimWriter } from './claim-writer.js';

const SHARD = 'claims/1';
const OUTCOME = { status: 200, contentType: 'text/plain', body: 'booked' };
const ENTRY = { token: 't1', instance: 'entry-1', content: 'c' };
/** What a newer build, or something else, may have put in the place of a claim. */
const UNREADABLE: unknown[] = [null, 'held', { ...ENTRY, token: 1 }, { ...ENTRY, outcome: 'done' }];
const HELD: ClaimAnswer = { kind: 'held', instance: 'entry-1', outcome: undefined };

function createMessage(key: string, token = 't2', change: Partial<ClaimMessage> = {}) {
  const message: ClaimMessage = {
    operation: 'claim',
    shard: SHARD,
    key,
    token,
    instance: 'entry-2',
    content: 'c',
  };
  return { ...message, ...change };
}

async function startWriter(context: TestContext, stored: unknown) {
  const objectApi = await startObjectApi();
  context.after(() => objectApi.close());
  const address = { host: '127.0.0.1', port: objectApi.port };
  const connection = createPlatformConnection({ address });
  await writeObject(connection, SHARD, stored, ABSENT_VERSION);
  const read = () => objectApi.peek(SHARD) as Record<string, unknown>;
  return { writer: new ClaimWriter({ connection }), read };
}

// The first write of an older build removed what a newer one had put into the shard.
test('claim of another build: a write keeps the fields that are not known', async (context) => {
  const entries = { k1: { ...ENTRY, region: { name: 'r' }, outcome: { ...OUTCOME, headers: {} } } };
  const { writer, read } = await startWriter(context, { format: 2, entries });
  assert.equal((await writer.submit(createMessage('k2'))).kind, 'granted');
  const entry = { token: 't2', instance: 'entry-2', content: 'c' };
  assert.deepEqual(read(), { format: 2, entries: { ...entries, k2: entry } });
  await writer.submit(createMessage('k1', 't1', { operation: 'record', outcome: OUTCOME }));
  const { k1 } = read().entries as { k1: Record<string, unknown> };
  assert.deepEqual([k1.region, k1.outcome], [{ name: 'r' }, OUTCOME]);
});

// Such a claim ended each process that read its shard.
test('claim of another build: one that cannot be read is not granted, and costs no other key', async (context) => {
  const odd = Object.fromEntries(UNREADABLE.map((entry, index) => [`odd-${index}`, entry]));
  const { writer, read } = await startWriter(context, { entries: { k1: ENTRY, ...odd } });
  const answers = await Promise.all([
    ...Object.keys(odd).map((key) => writer.submit(createMessage(key))),
    writer.submit(createMessage('k1')),
    writer.submit(createMessage('k2')),
  ]);
  const kinds = answers.map(({ kind }) => kind);
  assert.deepEqual(kinds, [...UNREADABLE.map(() => 'unavailable'), 'held', 'granted']);
  const release = createMessage('odd-2', 't1', { operation: 'release' });
  assert.equal((await writer.submit(release)).kind, 'unavailable');
  const { k1, k2, ...kept } = read().entries as Record<string, unknown>;
  assert.deepEqual([k1, typeof k2, kept], [ENTRY, 'object', odd]);
});

test('claim of another build: a shard that cannot be read costs only the keys in it', async (context) => {
  for (const stored of ['shard', { entries: [ENTRY] }, { format: 2 }]) {
    const { writer, read } = await startWriter(context, stored);
    const startedAt = performance.now();
    assert.equal((await writer.submit(createMessage('k1'))).kind, 'unavailable');
    const other = await writer.submit(createMessage('k1', 't2', { shard: 'claims/2' }));
    assert.equal(other.kind, 'granted');
    assert.ok(
      performance.now() - startedAt < 1000,
      'the platform answers, so nothing waits for it',
    );
    assert.deepEqual(read(), stored);
  }
});

test('claim of another build: one without optional fields is held, and not recorded yet', async (context) => {
  const { writer } = await startWriter(context, { entries: { k1: ENTRY } });
  assert.deepEqual(await writer.submit(createMessage('k1')), HELD);
});

// Leaving out the whole entry would free its key, and the request would run twice.
test('claim of another build: one with a field that is nested too deeply is held and can be written', () => {
  const nested = createNested();
  const stored = { entries: { k1: { ...ENTRY, nested }, k2: [nested] }, nested };
  const shard = ClaimShard.parse(stored);
  const messages = ['k1', 'k2', 'k3'].map((key) => createMessage(key));
  const applied = applyClaims(shard, messages);
  const kinds = applied.answers.map(({ kind }) => kind);
  assert.deepEqual(kinds, ['held', 'unavailable', 'granted']);
  assert.deepEqual(Object.keys(applied.shard.entries), ['k1', 'k2', 'k3']);
  assert.ok(JSON.stringify(applied.shard));
});

test('claim of an earlier build: its outcome is replayed, and it can read the shard as it is written', async (context) => {
  const sample = readSample<{ entries: Record<string, typeof ENTRY> }>('claims');
  const [[key, entry] = ['', ENTRY]] = Object.entries(sample.entries);
  const { writer, read } = await startWriter(context, sample);
  const repeat = createMessage(key, 't2', { content: entry.content });
  const body = '{"booked":1,"echo":"{}"}';
  const outcome = { status: 200, contentType: 'application/json', body };
  assert.deepEqual(await writer.submit(repeat), { kind: 'held', instance: 'entry-1', outcome });
  await writer.submit(createMessage('k2'));
  await writer.submit(createMessage('k2', 't2', { operation: 'record', outcome: OUTCOME }));
  assertEarlierBuildReads('claims', read());
  assert.deepEqual(Object.keys(read().entries as object), [key, 'k2']);
});
