import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate } from 'node:timers/promises';
import type { FleetServer } from '../fleet/fleet-server.js';
import type { EngineChain } from './chain-selector.js';
import type { PeerAnswer } from './peer-answer.js';
import type { StreamExchange } from './stream-exchange.js';
import {
  startEngineReplacement,
  startPeerReplacement,
  type FailedReplacement,
  type ReplacementCheck,
} from './stream-replacement.js';

/** Starts a replacement at an engine that accepts it and then sends nothing until it is aborted. */
function startSilentReplacement(signal: AbortSignal, check: ReplacementCheck = 'useful') {
  let sends = 0;
  let releases = 0;
  let cancellations = 0;
  const failures: FailedReplacement[] = [];
  const exchange = {
    open: (_chain: unknown, _engine: unknown, attemptSignal: AbortSignal) => {
      sends += 1;
      return Promise.resolve({
        kind: 'accepted',
        status: 200,
        chunks: {
          hasBegun: () =>
            new Promise((_, reject) => {
              if (attemptSignal.aborted) reject(new Error('aborted'));
              attemptSignal.addEventListener('abort', () => reject(new Error('aborted')));
            }),
        },
      });
    },
    classifyError: () => assert.fail('The engine is blamed.'),
  } as unknown as StreamExchange;
  const replacement = startEngineReplacement({
    exchange,
    chain: { stages: [] } as unknown as EngineChain,
    firstEngine: { entry: { id: 'b' } } as unknown as FleetServer,
    release: () => {
      releases += 1;
    },
    check: () => Promise.resolve(check),
    signal,
    onCancelled: () => {
      cancellations += 1;
    },
    onFailed: (result) => failures.push(result),
  });
  return {
    replacement,
    failures,
    countSends: () => sends,
    countReleases: () => releases,
    countCancellations: () => cancellations,
  };
}

// A sound engine was ejected when the instance cancelled its connection.
test('stream replacement: one that is cancelled releases its chain once and blames no engine', async () => {
  const { replacement, failures, countReleases, countCancellations } = startSilentReplacement(
    new AbortController().signal,
  );
  await setImmediate();
  replacement.cancel();
  assert.equal(await replacement.begun, undefined);
  assert.equal(countReleases(), 1);
  assert.equal(countCancellations(), 1);
  assert.deepEqual(failures, []);
});

// It would run at an engine that is silent as well, once that goes on.
test('stream replacement: nothing is sent to an engine that does not answer', async () => {
  const { replacement, failures, countSends, countReleases } = startSilentReplacement(
    new AbortController().signal,
    'silent',
  );
  assert.equal(await replacement.begun, undefined);
  assert.equal(countSends(), 0);
  assert.equal(countReleases(), 1);
  assert.deepEqual(
    failures.map(({ kind, engineIdsToAvoid }) => [kind, engineIdsToAvoid]),
    [['notRun', ['b']]],
  );
});

// Both engines went on at the same moment, and the stream ran twice.
test('stream replacement: nothing is sent, and no engine blamed, when that of the open attempt answers again', async () => {
  const { replacement, failures, countSends, countReleases, countCancellations } =
    startSilentReplacement(new AbortController().signal, 'openOneAnswers');
  assert.equal(await replacement.begun, undefined);
  assert.equal(countSends(), 0);
  assert.equal(countReleases(), 1);
  assert.equal(countCancellations(), 0);
  assert.deepEqual(failures, []);
});

// It went on at its engine after the caller had left.
test('stream replacement: it ends with its request', async () => {
  const request = new AbortController();
  const { replacement, countReleases } = startSilentReplacement(request.signal);
  request.abort();
  assert.equal(await replacement.begun, undefined);
  assert.equal(countReleases(), 1);
});

test('stream replacement: a peer that may have run the stream without an answer is counted', async () => {
  const lost: string[] = [];
  const answer: PeerAnswer = { kind: 'lost', peer: 'p', message: '' };
  const replacement = startPeerReplacement(
    () => Promise.resolve(answer),
    (peer) => lost.push(peer),
  );
  assert.equal(await replacement.begun, undefined);
  assert.deepEqual(lost, ['p']);
});

// A running stream was ended for the failure that a peer had been answered with.
test('stream replacement: the failure that a peer passes on does not take over', async () => {
  const message = { destroy: () => undefined };
  const answer = { kind: 'served', peer: 'p', status: 500, message } as unknown as PeerAnswer;
  const replacement = startPeerReplacement(
    () => Promise.resolve(answer),
    () => undefined,
  );
  assert.equal(await replacement.begun, undefined);
});
