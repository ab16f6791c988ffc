import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ChainPace } from './chain-pace.js';

const SERVERS = ['a', 'b'].map((id) => ({ entry: { id } }));

/** Records what the windows of a chain of two engines are told. */
function createPace(hasBegun = false) {
  const told: unknown[] = [];
  const pace = new ChainPace({
    serverPace: {
      recordAnswer: ({ servers, sentAt, hasAnswered }) =>
        told.push(['answer', servers.map(({ entry }) => entry.id), sentAt, hasAnswered]),
      recordFailure: ({ entry }, sentAt, reason) => told.push([reason, entry.id, sentAt]),
    },
    chain: { stages: SERVERS.map((server) => ({ engine: { server } })) as never },
    targetMilliseconds: 500,
    hasBegun,
    now: () => 70,
  });
  return { pace, told };
}

test('chain pace: the first event counts for the engines that it has passed, and not again at the end', () => {
  const { pace, told } = createPace();
  pace.recordFirstEvent([SERVERS[0]] as never);
  pace.recordEnd({ kind: 'completed' });
  pace.recordEnd({ kind: 'replaced' });
  assert.deepEqual(told, [['answer', ['a'], 70, true]]);
});

test('chain pace: a refusal or a failure counts against the engine that it is of', () => {
  const { pace, told } = createPace();
  pace.recordEnd({ kind: 'notRun', engineIdsToAvoid: ['b'] });
  pace.recordEnd({ kind: 'broken', engineIdsToAvoid: ['a'] });
  pace.recordEnd({ kind: 'broken', engineIdsToAvoid: [] });
  assert.deepEqual(told, [
    ['refused', 'b', 70],
    ['failed', 'a', 70],
  ]);
});

// A server whose first event never comes would keep its window, as callers are served elsewhere.
test('chain pace: an attempt that was replaced before its first event counts as unanswered', () => {
  const { pace, told } = createPace();
  pace.recordEnd({ kind: 'replaced' });
  assert.deepEqual(told, [['answer', ['a', 'b'], 70, false]]);
});

// The time of an exchange that an earlier attempt began isn't known, and looked short.
test('chain pace: an exchange that has begun before says nothing of the time', () => {
  const { pace, told } = createPace(true);
  pace.recordFirstEvent(SERVERS as never);
  assert.deepEqual(told, []);
});
