import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StreamRuns } from './stream-runs.js';

// Regression: a cut attempt whose first event had not arrived was not counted, and neither was one on
// an ejected server, so that a stream ran on three servers of a route that allows two.
test('stream runs: cut attempts count, also on servers that are only ejected', () => {
  const runs = new StreamRuns({ maximumServers: 2, hasEnded: () => false });
  assert.ok(runs.allows('a'));
  runs.record('a', false);
  assert.ok(runs.allows('b'));
  runs.record('b', true);
  assert.ok(!runs.allows('c'));
});

test('stream runs: a server that may have run the request may get it again, unless the limit has run', () => {
  const runs = new StreamRuns({ maximumServers: 1, hasEnded: () => false });
  runs.record('a', false);
  assert.ok(runs.allows('a'));
  assert.ok(!runs.allows('b'));
  assert.equal(runs.total, 1);
  runs.record('a', true);
  assert.ok(!runs.allows('a'));
});

test('stream runs: a server that has ended no longer counts', () => {
  const ended = new Set<string>();
  const runs = new StreamRuns({ maximumServers: 1, hasEnded: (id) => ended.has(id) });
  runs.record('a', true);
  assert.ok(!runs.allows('b'));
  ended.add('a');
  assert.ok(runs.allows('b'));
});

// Regression: an attempt without an event was abandoned although no further server could run the request,
// and the caller got a failure in place of a late answer.
test('stream runs: an attempt may only be abandoned if another server could run the request after it', () => {
  const runs = new StreamRuns({ maximumServers: 2, hasEnded: () => false });
  assert.ok(runs.allowsAnotherAfter('a'));
  runs.record('a', false);
  assert.ok(runs.allowsAnotherAfter('a'));
  assert.ok(!runs.allowsAnotherAfter('b'));
});

// A peer's runs counted as one, whatever servers it used.
test('stream runs: what a peer has passed on runs on one server, whatever has ended elsewhere', () => {
  const ended = new Set<string>();
  const runs = new StreamRuns({
    maximumServers: 3,
    elsewhere: ['a'],
    hasEnded: (id) => ended.has(id),
  });
  assert.ok(runs.allows('b') && !runs.allowsAnotherAfter('b'));
  runs.record('b', true);
  ended.add('a');
  assert.deepEqual([runs.allows('c'), runs.isExhausted, runs.countedServers], [false, true, 1]);
  ended.add('b');
  assert.ok(runs.allows('c'));
});

test('stream runs: what has run elsewhere counts against the limit of the route', () => {
  const runs = new StreamRuns({ maximumServers: 2, elsewhere: ['a', 'b'], hasEnded: () => false });
  assert.deepEqual([runs.allows('c'), runs.isExhaustedForGood, runs.total], [false, true, 2]);
});
