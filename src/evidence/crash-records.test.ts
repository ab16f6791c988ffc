import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createSilentLogger } from '../telemetry/log.js';
import { CrashRecords, CRASHES_TO_BLOCK } from './crash-records.js';

function createRecords() {
  const clock = { now: 1000 };
  const records = new CrashRecords({ log: createSilentLogger(), now: () => clock.now });
  return { clock, records };
}

// Each server that ends cuts the streams of many contents; these pushed the guilty one out.
test('crash request: it is still known after servers have ended under hundreds of other requests', () => {
  const { records } = createRecords();
  for (let crash = 0; crash < CRASHES_TO_BLOCK; crash += 1) {
    records.recordCrash('guilty', `server-${crash}`);
    for (let other = 0; other < 1500; other += 1)
      records.recordCrash(`other-${crash}-${other}`, `server-${crash}`);
  }
  assert.ok(records.isBlocked('guilty'));
  assert.ok(!records.isBlocked('other-0-0'));
});

// Two instances whose tables overflowed gave each other the same records again and again.
test('crash request: records that a peer reports again do not live longer', () => {
  const { clock, records } = createRecords();
  const peer = createRecords();
  for (let crash = 0; crash < CRASHES_TO_BLOCK; crash += 1) {
    records.recordCrash('guilty', `server-${crash}`);
    peer.records.recordCrash('guilty', `server-${crash}`);
  }
  for (let second = 0; second < 300; second += 1) {
    clock.now += 1000;
    peer.clock.now += 1000;
    for (let other = 0; other < 10; other += 1)
      records.recordCrash(`other-${second}-${other}`, 'server-x');
    records.merge(peer.records.reported);
    peer.records.merge(records.reported);
  }
  assert.ok(!records.isBlocked('guilty'));
  assert.ok(!('guilty' in peer.records.reported.crashes));
});

// Content that many callers ask for runs on many servers, some of which end for other reasons.
test('crash request: content that completes is not blocked for the servers that ended meanwhile', () => {
  const { clock, records } = createRecords();
  const peer = createRecords();
  for (let crash = 0; crash < CRASHES_TO_BLOCK; crash += 1) {
    records.recordCompletion('popular');
    clock.now += 10;
    records.recordCrash('popular', `server-${crash}`);
    peer.records.recordCrash('popular', `server-${crash}`);
  }
  records.merge(peer.records.reported);
  assert.ok(!records.isBlocked('popular'));
  assert.ok(!('popular' in records.reported.crashes));
});

// One completion let no end count for two minutes.
test('request that ends engines: content that completed before it turned bad is blocked after three ends', () => {
  const { clock, records } = createRecords();
  const peer = createRecords();
  records.recordCompletion('turned');
  clock.now += 4000;
  peer.records.recordCrash('turned', 'server-0');
  records.merge(peer.records.reported);
  records.recordCrash('turned', 'server-1');
  records.recordCrash('turned', 'server-2');
  assert.ok(records.isBlocked('turned'));
});

// A peer goes on reporting ends that it doesn't know to be cleared.
test('request that ends engines: ends before a completion stay cleared when peers report them again', () => {
  const { clock, records } = createRecords();
  const peer = createRecords();
  for (let crash = 0; crash < CRASHES_TO_BLOCK; crash += 1)
    peer.records.recordCrash('popular', `server-${crash}`);
  records.merge(peer.records.reported);
  records.recordCompletion('popular');
  clock.now += 60_000;
  records.merge(peer.records.reported);
  assert.ok(!records.isBlocked('popular'));
});

test('request that ends engines: peers know at which ends it was beginning, and take reports without that', () => {
  const { records } = createRecords();
  const peer = createRecords();
  const older = createRecords();
  for (let crash = 0; crash < CRASHES_TO_BLOCK; crash += 1) {
    records.recordCrash('guilty', `server-${crash}`);
    records.recordCrash('sound', `server-${crash}`, true);
  }
  const { crashes, crashesWhileWritten } = records.reported;
  peer.records.merge({ crashes, crashesWhileWritten });
  assert.ok(peer.records.isBlocked('guilty'));
  assert.ok(!peer.records.isBlocked('sound'));
  older.records.merge({ crashes });
  assert.ok(older.records.isBlocked('guilty'));
});

// Each end under each content was a line at every instance: a quarter of the log after three engines ended.
test('crash request: what a peer reports at once is one line of the log', () => {
  const lines: { message: string; fields?: Readonly<Record<string, unknown>> }[] = [];
  const log = {
    ...createSilentLogger(),
    warn: (message: string, fields?: Readonly<Record<string, unknown>>): void => {
      lines.push({ message, ...(fields ? { fields } : {}) });
    },
  };
  const records = new CrashRecords({ log });
  const contents = Array.from({ length: 200 }, (_, index) => [`content-${index}`, ['server-1']]);
  const report = { crashes: Object.fromEntries(contents) as Record<string, string[]> };
  records.merge(report);
  records.merge(report);
  assert.equal(lines.length, 1);
  assert.equal(lines[0]?.fields?.contents, 200);
  assert.equal(lines[0]?.fields?.servers, 1);
  assert.ok(JSON.stringify(lines[0]).length < 1000);
});
