import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assertEarlierBuildReads, readSample } from '../../tools/earlier-build.js';
import { createNested } from '../../tools/odd-values.js';
import { startObjectApi } from '../../tools/stand-ins/object-api.js';
import { writeObject } from '../platform/commands/write-objects.js';
import { createPlatformConnection } from '../platform/connection.js';
import { ABSENT_VERSION } from '../platform/object.js';
import { Branch } from './branch.js';
import { mergeChange } from './change.js';
import { applyChange } from './commands/apply-change.js';

const ACCEPTED = { id: 'change-1', revision: 4, author: 'a', acceptedAt: 1, paths: ['priority'] };
const BRANCH = {
  team: 'red',
  revision: 4,
  fieldRevisions: { priority: 4 },
  mergeFloor: 0,
  settings: { priority: 7 },
};

// A newer build's fields were gone after an operator's change on an older build.
test('branch of another build: a change keeps the fields beside the settings that are not known', async (context) => {
  const objectApi = await startObjectApi();
  context.after(() => objectApi.close());
  const address = { host: '127.0.0.1', port: objectApi.port };
  const connection = createPlatformConnection({ address });
  const recentChanges = [{ ...ACCEPTED, ticket: 'T-1' }];
  const stored = { ...BRANCH, recentChanges, format: 2, owner: { name: 'o' } };
  await writeObject(connection, 'configuration/red', stored, ABSENT_VERSION);
  const change = {
    id: 'change-2',
    author: 'b',
    baseRevision: 4,
    edits: [{ path: ['priority'], value: 8 }],
  };
  const result = await applyChange({ connection, team: 'red', change });
  assert.equal(result.kind, 'accepted');
  const written = objectApi.peek('configuration/red') as Record<string, unknown>;
  assert.equal(written.revision, 5);
  assert.deepEqual([written.format, written.owner], [2, { name: 'o' }]);
  assert.deepEqual((written.recentChanges as unknown[])[0], recentChanges[0]);
});

// Such a field, once kept, would make each write and each exchange with a peer fail.
test('branch of another build: a field that is nested too deeply is left out', () => {
  const nested = createNested();
  const recentChanges = [{ ...ACCEPTED, nested }];
  const branch = Branch.parse({ ...BRANCH, recentChanges, nested, format: 2 });
  assert.equal(branch.format, 2);
  assert.deepEqual(JSON.parse(JSON.stringify(branch)), branch);
});

test('branch of an earlier build: it is read whole, and that build can read it after a change', () => {
  const sample = readSample('branch');
  const branch = Branch.parse(sample);
  assert.deepEqual(branch, sample);
  const edits = [{ path: ['priority'], value: 8 }];
  const change = { id: 'change-2', author: 'b', baseRevision: 1, edits };
  const merged = mergeChange(branch, change, 1).unsafeCoerce();
  assert.deepEqual([merged.revision, merged.settings.priority], [2, 8]);
  assert.equal(merged.settings.accounts.dealer?.class, 'batch');
  assertEarlierBuildReads('branch', merged);
});
