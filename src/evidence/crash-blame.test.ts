import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSilentLogger } from '../telemetry/log.js';
import type { RequestContent } from './blocked-parts.js';
import { CrashBlame } from './crash-blame.js';
import { CrashRecords, CRASHES_TO_BLOCK } from './crash-records.js';
import { PromptPartRecords } from './prompt-part-records.js';

function createBlame() {
  const clock = { now: 1000 };
  const now = (): number => clock.now;
  const log = createSilentLogger();
  const promptParts = new PromptPartRecords({ countInstances: () => 1, log, now });
  const isExplained = (key: string): boolean => promptParts.explains(key);
  const contents = new CrashRecords({ isExplained, log, now });
  return { clock, blame: new CrashBlame({ contents, promptParts, now }) };
}

function createContent(hash: string, ...sharedParts: string[]): RequestContent {
  return { hash, sharedParts };
}

test('crash request: engines of later stages that end under it count, those that only stall it do not', () => {
  const { blame } = createBlame();
  const guilty = createContent('guilty');
  const innocent = createContent('innocent');
  for (let stage = 0; stage < CRASHES_TO_BLOCK; stage += 1) {
    blame.recordFailure({ content: guilty, wasWritten: true }, `stage-${stage}`);
    blame.recordFailure({ content: innocent, wasWritten: true }, `stage-${stage}`);
  }
  assert.ok(!blame.isBlocked(guilty));
  blame.recordCompletion(innocent);
  for (let stage = 0; stage < CRASHES_TO_BLOCK; stage += 1)
    blame.recordEndedServer(`stage-${stage}`);
  assert.ok(blame.isBlocked(guilty));
  assert.ok(!blame.isBlocked(innocent));
});

test('blame without evidence: a failure long before its server ended does not count', () => {
  const { clock, blame } = createBlame();
  const content = createContent('content');
  for (let server = 0; server < CRASHES_TO_BLOCK; server += 1) {
    blame.recordFailure({ content, wasWritten: false }, `server-${server}`);
    clock.now += 7000;
    blame.recordEndedServer(`server-${server}`);
  }
  assert.ok(!blame.isBlocked(content));
});

// Streams that were under way met several ends of the part's and were blocked with it.
test('prompt part that ends engines: contents are not blamed for the ends that a part explains', () => {
  const { clock, blame } = createBlame();
  const victim = createContent('victim', 'shared', 'other');
  for (let server = 0; server < CRASHES_TO_BLOCK; server += 1) {
    const guilty = createContent(`guilty-${server}`, 'shared', 'bad');
    blame.recordFailure({ content: guilty, wasWritten: false }, `server-${server}`);
    blame.recordFailure({ content: victim, wasWritten: true }, `server-${server}`);
    blame.recordEndedServer(`server-${server}`);
    clock.now += 1000;
  }
  assert.ok(blame.isBlocked(createContent('new', 'shared', 'bad')));
  assert.ok(!blame.isBlocked(victim));
});

/** Ends engines under one content, each of which was beginning another request with a popular part. */
function endUnderContent({ clock, blame }: ReturnType<typeof createBlame>): RequestContent {
  const guilty = createContent('guilty', 'its-part');
  for (let server = 0; server < CRASHES_TO_BLOCK; server += 1) {
    const sound = createContent(`sound-${server}`, 'a-popular-part');
    blame.recordFailure({ content: sound, wasWritten: false }, `server-${server}`);
    blame.recordFailure({ content: guilty, wasWritten: false }, `server-${server}`);
    blame.recordEndedServer(`server-${server}`);
    clock.now += 1000;
  }
  return guilty;
}

// The part explained the content's ends, so that the content was free again.
test('request that ends engines: it stays blocked when a part is blocked for the same ends', () => {
  const created = createBlame();
  assert.equal(created.blame.admit(endUnderContent(created)), 'refuse');
});

test('request that ends engines: no part that others share is blocked for its ends', () => {
  const created = createBlame();
  endUnderContent(created);
  assert.equal(created.blame.admit(createContent('new', 'a-popular-part')), 'run');
});

test('prompt part that ends engines: streams that were being written are not blamed for an end', () => {
  const { clock, blame } = createBlame();
  for (let server = 0; server < CRASHES_TO_BLOCK; server += 1) {
    const content = createContent(`content-${server}`, 'part');
    blame.recordFailure({ content, wasWritten: true }, `server-${server}`);
    blame.recordEndedServer(`server-${server}`);
    clock.now += 1000;
  }
  assert.ok(!blame.isBlocked(createContent('new', 'part')));
});
