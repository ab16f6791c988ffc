import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BackendFleet, type FleetServer } from '../fleet/backend-fleet.js';
import { OutlierEjection } from '../fleet/outlier-ejection.js';
import { createSilentLogger } from '../telemetry/log.js';
import type { ProtocolAdapter, EngineReport } from './protocol-adapter.js';
import { StallDetector, type WatchedStream } from './stall-detector.js';

const QUIET_REPORT: EngineReport = {
  slowdownFactor: 1,
  isBusy: false,
  orderSequence: 0,
  layers: undefined,
  stalledRequests: [],
};

function notAsked(): never {
  throw new Error('not asked for');
}

/** A watch over engines a, b and c whose reports tests give. */
function make(reports: Readonly<Record<string, EngineReport | 'silent'>>) {
  const clock = { now: 1000 };
  const fleet = new BackendFleet({ log: createSilentLogger(), now: () => clock.now });
  ['a', 'b', 'c'].forEach((id, index) => {
    const address = { host: '127.0.0.1', port: index + 1 };
    const entry = { id, service: 's', address, dataCentre: 'd', slots: 1 };
    fleet.put({ ...entry, isLeaving: false, kind: undefined, layers: undefined }, index + 1);
  });
  const suspicions = new OutlierEjection({ log: createSilentLogger(), now: () => clock.now });
  const asked: string[] = [];
  const dialect: ProtocolAdapter = {
    parseRequestHeaders: notAsked,
    buildBackendHeaders: notAsked,
    parseResponseHeaders: notAsked,
    sendPlacementOrder: notAsked,
    rerouteStream: notAsked,
    fetchEngineReport: ({ port }) => {
      const id = ['a', 'b', 'c'][port - 1] ?? '';
      asked.push(id);
      const report = reports[id] ?? QUIET_REPORT;
      if (report === 'silent') return Promise.reject(new Error('silent'));
      return Promise.resolve(report);
    },
  };
  const watch = new StallDetector({
    protocol: dialect,
    fleet,
    outlierEjection: suspicions,
    log: createSilentLogger(),
    now: () => clock.now,
  });
  const avoided: string[][] = [];
  const moves: string[] = [];
  const add = (requestId: string, chain: string, hasEvents = true): WatchedStream => {
    const stream: WatchedStream = {
      requestId,
      chain: [...chain].map((id) => fleet.find(id) as FleetServer),
      lastProgressAt: clock.now,
      isCallerBlocked: false,
      hasEvents,
      firstEventTimeoutMilliseconds: 350,
      retryElsewhere: () => moves.push(requestId),
      routeAround: (culprits) => avoided.push([requestId, ...culprits]),
    };
    watch.add(stream);
    return stream;
  };
  return { clock, watch, suspicions, asked, avoided, moves, add };
}

const WAITS_FOR_B: EngineReport = {
  ...QUIET_REPORT,
  stalledRequests: [{ requestId: 'one', faultAddress: '127.0.0.1:2' }],
};

test('stall: the engine that a silent stream waits for is avoided and suspected', async () => {
  const { clock, watch, suspicions, avoided, add } = make({ a: WAITS_FOR_B });
  add('one', 'ab');
  clock.now += 300;
  await watch.checkStreams();
  assert.deepEqual(avoided, [['one', 'b']]);
  assert.ok(suspicions.isEjected('b'));
});

// A late report of the first chain made a stream give up that had gone on over another chain.
test('stall: a report of an earlier chain says nothing of the chain after it', async () => {
  const { clock, watch, avoided, add } = make({ a: WAITS_FOR_B });
  add('other', 'ac');
  add('one', 'cb');
  clock.now += 300;
  await watch.checkStreams();
  assert.deepEqual(avoided, []);
});

test('stall: a report of an engine that a stream was led round says nothing', async () => {
  const { clock, watch, avoided, add } = make({ a: WAITS_FOR_B });
  add('one', 'ac');
  clock.now += 300;
  await watch.checkStreams();
  assert.deepEqual(avoided, []);
});

test('stall: a first engine that gives no report is suspected', async () => {
  const { clock, watch, suspicions, add } = make({ a: 'silent' });
  add('one', 'ab');
  clock.now += 300;
  await watch.checkStreams();
  assert.ok(suspicions.isEjected('a'));
});

test('stall: streams that flow, or whose caller doesn’t read, cost no report', async () => {
  const { clock, watch, asked, add } = make({});
  const flowing = add('one', 'ab');
  const blocked = add('two', 'cb');
  blocked.isCallerBlocked = true;
  clock.now += 300;
  flowing.lastProgressAt = clock.now - 20;
  await watch.checkStreams();
  assert.deepEqual(asked, []);
});

test('stall: a late first event moves a request', async () => {
  const { clock, watch, moves, add } = make({});
  add('one', 'ab', false);
  clock.now += 340;
  await watch.checkStreams();
  assert.deepEqual(moves, []);
  clock.now += 20;
  await watch.checkStreams();
  assert.deepEqual(moves, ['one']);
});
