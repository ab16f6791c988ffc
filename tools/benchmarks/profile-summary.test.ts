import assert from 'node:assert/strict';
import { test } from 'node:test';
import { summarizeProfile, type ProfileNode } from './profile-summary.js';

function createNode(
  id: number,
  functionName: string,
  url: string,
  children: number[],
): ProfileNode {
  return { id, callFrame: { functionName, url }, children };
}

test('profile summary: a sample counts for the innermost folder of ours that called, idle time for nothing', () => {
  const nodes = [
    createNode(1, '(root)', '', [2, 5, 6, 7]),
    createNode(2, 'receive', 'file:///x/dist/src/entry/entry-server.js', [3]),
    createNode(3, 'merge', 'file:///x/dist/src/gossip/gossip.js', [4]),
    createNode(4, 'parse', 'file:///x/node_modules/zod/schemas.js', [8]),
    createNode(8, 'readBody', 'file:///x/dist/src/common/http-client.js', []),
    createNode(5, 'onread', 'node:internal/stream_base_commons', []),
    createNode(6, '(garbage collector)', '', []),
    createNode(7, '(idle)', '', []),
  ];
  assert.deepEqual(summarizeProfile({ nodes, samples: [4, 8, 2, 5, 6, 7, 7, 7] }), [
    { part: 'src/gossip', share: 0.4 },
    { part: 'src/entry', share: 0.2 },
    { part: 'node:internal/stream_base_commons', share: 0.2 },
    { part: '(garbage collector)', share: 0.2 },
  ]);
});
