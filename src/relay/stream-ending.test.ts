import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EntryContext } from '../entry/entry-context.js';
import type { EntryRequest } from '../entry/entry-request.js';
import type { CallerStream } from './caller-stream.js';
import { StreamEnding } from './stream-ending.js';
import { StreamRuns } from './stream-runs.js';

type Line = Readonly<Record<string, unknown>>;

/** Ends one stream, and returns the line that tells so. */
function endStream(hasStarted: boolean, end: (ending: StreamEnding) => void): Line {
  const lines: Line[] = [];
  const request = {
    metadata: { requestId: 'r-1' },
    route: { name: 'drafts', kind: 'streaming' },
    receivedAt: 500,
    configurationVersion: 3,
    response: { headersSent: hasStarted, destroy: () => undefined, end: () => undefined },
  } as unknown as EntryRequest;
  const context = {
    metrics: { recordRequest: () => undefined, countEvent: () => undefined },
    logs: () => ({ info: (_message: string, fields: Line) => lines.push(fields) }),
    eventLoopDelay: { longestSince: (since: number) => (since === 500 ? 740 : 0) },
    configurationVersion: () => 5,
  } as unknown as EntryContext;
  const caller = { hasStarted, silenceMilliseconds: 1250.4, lastEventId: 7 } as CallerStream;
  const runs = new StreamRuns({ maximumServers: 2, hasEnded: (key) => key === 'b' });
  runs.record('a', true);
  runs.record('b', true);
  end(new StreamEnding({ context, request, caller, runs }));
  return lines[0] ?? {};
}

// Nothing told whether the instance's own delay, a change of the configuration or an engine had ended such a stream.
test('stream ending: the line of a begun stream that ends unfinished tells what may have ended it', () => {
  const line = endStream(true, (ending) => ending.sendFailure('servers_refused'));
  assert.equal(line.isUnfinished, true);
  assert.equal(line.code, 'engine_failed');
  assert.equal(line.silenceMilliseconds, 1250);
  assert.equal(line.eventLoopDelayMilliseconds, 740);
  assert.equal(line.configurationVersionAtBegin, 3);
  assert.equal(line.configurationVersion, 5);
  assert.equal(line.attempts, 2);
  assert.deepEqual(line.endedServers, ['b']);
});

test('stream ending: a stream that is whole is not called unfinished', () => {
  const line = endStream(true, (ending) => ending.complete('completed'));
  assert.equal(line.outcome, 'completed');
  assert.ok(!('isUnfinished' in line));
});
