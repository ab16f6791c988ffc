import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createSilentLogger } from '../telemetry/log.js';
import { ServerLimits } from './server-limits.js';

const SEED = Number(process.env.SEED ?? 23);
const WINDOW_MILLISECONDS = 4000;

/** Creates the limits of some instances that know each other and share a clock. */
function createInstances(count: number) {
  const clock = { now: 100_000 };
  const names = Array.from({ length: count }, (_, index) => `entry-${index}`);
  const instances = names.map(
    (instance) =>
      new ServerLimits({
        instance,
        listPeers: () => names.filter((name) => name !== instance),
        log: createSilentLogger(),
        now: () => clock.now,
      }),
  );
  return { clock, instances };
}

test('server limit: whatever the limit, the number of instances and their callers, all together keep it in any 4 s', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 81 }),
      fc.oneof(fc.constant(0), fc.double({ min: 0.01, max: 60, noNaN: true })),
      fc.array(fc.tuple(fc.nat(80), fc.integer({ min: 0, max: 150 })), { maxLength: 300 }),
      (count, requestsPerSecond, calls) => {
        const { clock, instances } = createInstances(count);
        instances.forEach((limits) => limits.recordAnswer('server', 0.5));
        instances.forEach((limits) => limits.recordAnswer('server', requestsPerSecond));
        const sentAt: number[] = [];
        calls.forEach(([caller, pause]) => {
          clock.now += pause;
          const limits = instances[caller % count] as ServerLimits;
          if (!limits.hasRoom('server')) return;
          limits.recordSend('server');
          limits.recordAnswer('server', requestsPerSecond);
          // Records of peers carry the word of the server to all others.
          instances.forEach((other) => other.merge(limits.reported));
          sentAt.push(clock.now);
        });
        const allowed = (requestsPerSecond * WINDOW_MILLISECONDS) / 1000;
        sentAt.forEach((end) => {
          const sent = sentAt.filter((time) => time > end - WINDOW_MILLISECONDS && time <= end);
          // Below one request in a window, one and those that find out whether the limit still holds.
          assert.ok(sent.length <= Math.max(allowed, 2), `${sent.length} of ${allowed}`);
        });
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
});

test('server limit: one instance uses all of it, several use all of it together', () => {
  [1, 2, 7].forEach((count) => {
    const { instances } = createInstances(count);
    let sent = 0;
    instances.forEach((limits) => {
      limits.recordAnswer('server', 3);
      while (limits.hasRoom('server')) {
        limits.recordSend('server');
        sent += 1;
      }
    });
    assert.equal(sent, 12);
  });
});

// Keeping to the limit from the moment at which it was known let the window before through as well.
test('server limit: what was sent in the window before it was named counts', () => {
  const { clock, instances } = createInstances(1);
  const [limits] = instances;
  assert.ok(limits);
  for (let count = 0; count < 20; count += 1) limits.recordSend('server');
  clock.now += 1000;
  assert.ok(limits.hasRoom('server'));
  limits.recordAnswer('server', 3);
  assert.equal(limits.roomInMilliseconds('server'), 3000);
  clock.now += 3000;
  assert.ok(limits.hasRoom('server'));
});

// An instance with room of its own added to what others had sent before the limit was named.
test('server limit: what other instances sent just before it was named counts, from 3 s after that on', () => {
  const requestsPerSecond = 0.75;
  const allowed = (1.5 * requestsPerSecond * WINDOW_MILLISECONDS) / 1000 + 5;
  const { clock, instances } = createInstances(3);
  const namedAt = clock.now;
  const sentAt: number[] = [];
  const sendWhereRoom = (instance: number, milliseconds: number): void => {
    clock.now = namedAt + milliseconds;
    const limits = instances[instance] as ServerLimits;
    if (!limits.hasRoom('server')) return;
    limits.recordSend('server');
    sentAt.push(clock.now);
  };
  sendWhereRoom(0, -980);
  [-930, -830, -730, -630, -530, -430, -330, -230, -130].forEach((at, index) =>
    sendWhereRoom(1 + (index % 2), at),
  );
  clock.now = namedAt;
  instances.forEach((limits) => limits.recordAnswer('server', requestsPerSecond));
  for (let at = 50; at <= 8000; at += 50) {
    instances.forEach((_, instance) => sendWhereRoom(instance, at));
    instances.forEach((limits) => limits.recordAnswer('server', requestsPerSecond));
  }
  const ends = sentAt.filter((end) => end >= namedAt + 3000);
  assert.ok(ends.length > 0, 'the limit is used');
  ends.forEach((end) => {
    const sent = sentAt.filter((time) => time > end - WINDOW_MILLISECONDS && time <= end);
    assert.ok(sent.length <= allowed, `${sent.length} of ${allowed} at ${end - namedAt} ms`);
  });
});

test('server limit: it ends when an answer no longer names it, also by word of a peer', () => {
  const { clock, instances } = createInstances(2);
  const [first, second] = instances;
  assert.ok(first && second);
  first.recordAnswer('server', 0);
  second.merge(first.reported);
  assert.ok(!first.hasRoom('server') && !second.hasRoom('server'));
  clock.now += 1000;
  first.recordAnswer('server', undefined);
  const late = second.reported;
  second.merge(first.reported);
  assert.ok(first.hasRoom('server') && second.hasRoom('server'));
  first.merge(late);
  assert.ok(first.hasRoom('server'), 'an older word does not bring it back');
});

test('server limit: an old word holds until one instance at a time has found out', () => {
  const { clock, instances } = createInstances(40);
  instances.forEach((limits) => limits.recordAnswer('server', 0));
  const countProbes = (): number => {
    clock.now += 1000;
    const probing = instances.filter((limits) => limits.hasRoom('server'));
    probing.forEach((limits) => {
      limits.recordSend('server');
      assert.ok(!limits.hasRoom('server'), 'one request, until its answer is there');
    });
    return probing.length;
  };
  const probes = Array.from({ length: 9 }, countProbes);
  assert.equal(
    probes.reduce((sum, count) => sum + count),
    1,
  );
});

test('server limit: it does not outlive the server', () => {
  const { instances } = createInstances(1);
  const [limits] = instances;
  assert.ok(limits);
  limits.recordAnswer('gone', 0);
  limits.recordAnswer('restarted', 0);
  limits.retain((id) => id !== 'gone');
  limits.forget('restarted');
  assert.ok(limits.hasRoom('gone') && limits.hasRoom('restarted'));
});
