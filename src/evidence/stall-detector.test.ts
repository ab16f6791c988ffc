import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HttpRequestError } from '../common/http-client.js';
import { BackendFleet } from '../fleet/backend-fleet.js';
import type { FleetServer } from '../fleet/fleet-server.js';
import { EndCheck } from '../fleet/end-check.js';
import { ServerReach } from '../fleet/server-reach.js';
import { OutlierEjection } from '../fleet/outlier-ejection.js';
import { createSilentLogger } from '../telemetry/log.js';
import type { EngineReports } from './engine-reports.js';
import type { EngineReport } from '../entry/protocol-adapter.js';
import { StallDetector, type WatchedStream } from './stall-detector.js';

const CHECK_INTERVAL_MILLISECONDS = 70;

const REPORT_WITHOUT_STALLS: EngineReport = {
  slowdownFactor: 1,
  isBusy: false,
  orderSequence: 0,
  layers: undefined,
  stalledRequests: [],
};

/** Creates a detector for engines a, b and c, which send the given reports. */
function createDetector(
  reports: Record<string, EngineReport | 'silent' | 'unconnected' | 'refused'>,
) {
  const clock = { now: 1000 };
  const fleet = new BackendFleet({ log: createSilentLogger(), now: () => clock.now });
  ['a', 'b', 'c'].forEach((id, index) => {
    const address = { host: '127.0.0.1', port: index + 1 };
    const entry = { id, service: 's', address, dataCentre: 'd', slots: 1 };
    fleet.put({ ...entry, isLeaving: false, kind: undefined, layers: undefined }, index + 1);
  });
  const outlierEjection = new OutlierEjection({ log: createSilentLogger(), now: () => clock.now });
  const serverReach = new ServerReach({
    listServers: () => [],
    probe: () => Promise.resolve('held'),
    onChange: () => undefined,
    log: createSilentLogger(),
    signal: new AbortController().signal,
    now: () => clock.now,
  });
  const askedEngineIds: string[] = [];
  const engineReports: Pick<EngineReports, 'fetch'> = {
    fetch: ({ entry: { id } }) => {
      askedEngineIds.push(id);
      const report = reports[id] ?? REPORT_WITHOUT_STALLS;
      if (report === 'unconnected')
        return Promise.reject(new HttpRequestError('connecting', 'The call timed out.'));
      if (report === 'refused')
        return Promise.reject(new HttpRequestError('connecting', 'refused', 'ECONNREFUSED'));
      if (report === 'silent') return Promise.reject(new Error('silent'));
      return Promise.resolve(report);
    },
  };
  const detector = new StallDetector({
    reports: engineReports,
    fleet,
    outlierEjection,
    endCheck: new EndCheck({
      fleet,
      serverReach,
      askPeer: () => Promise.resolve(undefined),
      log: createSilentLogger(),
      signal: new AbortController().signal,
    }),
    serverReach,
    log: createSilentLogger(),
    checkIntervalMilliseconds: CHECK_INTERVAL_MILLISECONDS,
    now: () => clock.now,
  });
  const reroutes: string[][] = [];
  const retriedRequestIds: string[] = [];
  const addStream = (requestId: string, chain: string, hasEvents = true): WatchedStream => {
    const stream: WatchedStream = {
      requestId,
      chain: [...chain].map((id) => fleet.find(id) as FleetServer),
      lastProgressAt: clock.now,
      isCallerBlocked: false,
      hasEvents,
      firstEventTimeoutMilliseconds: 350,
      retryElsewhere: () => retriedRequestIds.push(requestId),
      routeAround: (faultyEngineIds) => reroutes.push([requestId, ...faultyEngineIds]),
    };
    detector.add(stream);
    return stream;
  };
  return {
    clock,
    detector,
    fleet,
    outlierEjection,
    askedEngineIds,
    reroutes,
    retriedRequestIds,
    addStream,
  };
}

const WAITS_FOR_B: EngineReport = {
  ...REPORT_WITHOUT_STALLS,
  stalledRequests: [{ requestId: 'one', faultAddress: '127.0.0.1:2' }],
};

test('stall: the engine that a silent stream waits for is bypassed and ejected', async () => {
  const { clock, detector, outlierEjection, reroutes, addStream } = createDetector({
    a: WAITS_FOR_B,
  });
  addStream('one', 'ab');
  clock.now += 300;
  await detector.checkStreams();
  assert.deepEqual(reroutes, [['one', 'b']]);
  assert.ok(outlierEjection.isEjected('b'));
});

// Guards against ending a stream that already runs over another chain, because of a report from the
// first engine of its earlier chain that arrives late.
test('stall: a report from an earlier chain does not affect the current chain', async () => {
  const { clock, detector, reroutes, addStream } = createDetector({ a: WAITS_FOR_B });
  addStream('other', 'ac');
  addStream('one', 'cb');
  clock.now += 300;
  await detector.checkStreams();
  assert.deepEqual(reroutes, []);
});

test('stall: a report about an engine that the stream no longer runs over is ignored', async () => {
  const { clock, detector, reroutes, addStream } = createDetector({ a: WAITS_FOR_B });
  addStream('one', 'ac');
  clock.now += 300;
  await detector.checkStreams();
  assert.deepEqual(reroutes, []);
});

test('stall: a first engine that sends no report is ejected', async () => {
  const { clock, detector, outlierEjection, addStream } = createDetector({ a: 'silent' });
  addStream('one', 'ab');
  clock.now += 300;
  await detector.checkStreams();
  assert.ok(outlierEjection.isEjected('a'));
});

test('stall: no report is requested for streams that progress or whose caller does not read', async () => {
  const { clock, detector, askedEngineIds, addStream } = createDetector({});
  const progressing = addStream('one', 'ab');
  const callerBlocked = addStream('two', 'cb');
  callerBlocked.isCallerBlocked = true;
  clock.now += 300;
  progressing.lastProgressAt = clock.now - 20;
  await detector.checkStreams();
  assert.deepEqual(askedEngineIds, []);
});

test('stall: a late first event makes the request retry elsewhere', async () => {
  const { clock, detector, retriedRequestIds, addStream } = createDetector({});
  addStream('one', 'ab', false);
  clock.now += 340;
  await detector.checkStreams();
  assert.deepEqual(retriedRequestIds, []);
  clock.now += 20;
  await detector.checkStreams();
  assert.deepEqual(retriedRequestIds, ['one']);
});

// A slow link or a busy process of this instance looks the same; the stream then ran on a third server.
test('extra servers: an engine that could not be connected to in time is not taken for one that has ended', async () => {
  const { detector, fleet } = createDetector({ a: 'unconnected' });
  await detector.checkEngine('a');
  assert.equal(fleet.hasEnded('a'), false);
});

test('stall: an engine whose host refuses the connection has ended, until a server at its id answers again', async () => {
  const { detector, fleet } = createDetector({ a: 'refused' });
  await detector.checkEngine('a');
  assert.ok(fleet.hasEnded('a'));
  fleet.recordLife((fleet.find('a') as FleetServer).entry);
  assert.ok(!fleet.hasEnded('a'));
});

// The process looked at the events only after the check, and sent the request over another chain.
test('own delay: time in which the process was held up is not taken for silence of the engines', async () => {
  const { clock, detector, reroutes, retriedRequestIds, askedEngineIds, addStream } =
    createDetector({});
  await detector.checkStreams();
  addStream('one', 'ab', false);
  clock.now += 900;
  await detector.checkStreams();
  assert.deepEqual([reroutes, retriedRequestIds, askedEngineIds], [[], [], []]);
  for (let check = 0; check < 6; check += 1) {
    clock.now += CHECK_INTERVAL_MILLISECONDS;
    await detector.checkStreams();
  }
  assert.ok(retriedRequestIds.length > 0);
});

// The answer of a report that was under way said nothing of the end; the request was sent to a fourth engine.
test('crash request: an engine that ends while a report is under way is asked again', async () => {
  const reports: Parameters<typeof createDetector>[0] = { a: REPORT_WITHOUT_STALLS };
  const { clock, detector, fleet, askedEngineIds, addStream } = createDetector(reports);
  addStream('one', 'a');
  clock.now += 300;
  const underWay = detector.checkStreams();
  reports.a = 'refused';
  await Promise.all([underWay, detector.checkEngine('a'), detector.checkEngine('a')]);
  assert.deepEqual(askedEngineIds, ['a', 'a']);
  assert.ok(fleet.hasEnded('a'));
});

test('stall: an engine serves a silent stream if its report comes and does not name the stream as stalled', async () => {
  const { detector } = createDetector({ a: WAITS_FOR_B, b: 'silent', c: REPORT_WITHOUT_STALLS });
  assert.equal(await detector.isServing('a', 'one'), false);
  assert.equal(await detector.isServing('a', 'two'), true);
  assert.equal(await detector.isServing('b', 'one'), false);
  assert.equal(await detector.isServing('c', 'one'), true);
  assert.equal(await detector.isServing('unknown', 'one'), false);
});
