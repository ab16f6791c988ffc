/** Runs the placement task of one or several instances against simulated engines, without a network. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../common/clock.js';
import { ENGINE_PROFILE } from '../../tools/engine-profile.js';
import { createMemoryObjectStore } from '../../tools/memory-object-store.js';
import type {
  EngineReport,
  PlacementOrder,
  PlacementResult,
  ProtocolAdapter,
} from '../entry/protocol-adapter.js';
import type { ActiveConfiguration } from '../entry/active-configuration.js';
import type { EntryMetrics } from '../entry/entry-metrics.js';
import type { EngineReports } from '../evidence/engine-reports.js';
import { BackendFleet } from '../fleet/backend-fleet.js';
import { OutlierEjection } from '../fleet/outlier-ejection.js';
import type { LayerRange, ServerEntry } from '../fleet/server-entry.js';
import { createSilentLogger } from '../telemetry/log.js';
import { PlannerLease } from './planner-lease.js';
import { runPlanner } from './planner-task.js';

const SERVICE = 'model';
const PROFILE = { ...ENGINE_PROFILE, loadMilliseconds: 8000, concurrentLoads: 1 };
const ROUND_MILLISECONDS = 350;

interface SimulatedEngine {
  readonly entry: ServerEntry;
  report: EngineReport;
}

function createGroup(context: TestContext, ranges: readonly (LayerRange | undefined)[]) {
  const store = { ...createMemoryObjectStore().store };
  const engines = ranges.map((layers, index): SimulatedEngine => {
    const entry: ServerEntry = {
      id: `e${index}`,
      incarnation: '1',
      service: SERVICE,
      address: { host: '127.0.0.1', port: index + 1 },
      dataCentre: 'dc',
      slots: 10,
      isLeaving: false,
      kind: 'large',
      layers,
    };
    const report = { slowdownFactor: 1, isBusy: false, orderSequence: 0, layers };
    return { entry, report: { ...report, stalledRequests: [] } };
  });
  const sent: string[] = [];
  const expectedSequences: number[] = [];
  const findByPort = (port: number) => {
    const engine = engines[port - 1];
    assert.ok(engine);
    return engine;
  };
  /** How engines answer orders; they are busy from then on. */
  const state: { result: PlacementResult } = { result: 'begun' };
  const protocol = {
    sendPlacementOrder: async ({ port }: { port: number }, order: PlacementOrder) => {
      expectedSequences.push(order.expectedSequence);
      const { entry, report } = findByPort(port);
      sent.push(`${entry.id}=${order.from}-${order.to}`);
      if (state.result === 'begun') findByPort(port).report = { ...report, isBusy: true };
      return state.result;
    },
  };
  const reports = {
    fetch: async ({ entry }: { entry: ServerEntry }) => findByPort(entry.address.port).report,
  };
  const startPlanner = (instance: string): AbortController => {
    const log = createSilentLogger();
    const controller = new AbortController();
    const fleet = new BackendFleet({ log });
    engines.forEach(({ entry }, index) => fleet.put(entry, index + 1));
    const services = new Map([[SERVICE, { name: SERVICE, engine: PROFILE }]]);
    const planner = runPlanner({
      fleet,
      outlierEjection: new OutlierEjection({ log }),
      configuration: { current: { services } } as unknown as ActiveConfiguration,
      protocol: protocol as unknown as ProtocolAdapter,
      reports: reports as unknown as EngineReports,
      lease: new PlannerLease({ store, holder: `${instance}/1`, log }),
      isPlanner: () => true,
      isIdle: () => false,
      isHolderGone: () => true,
      metrics: { countEvent: () => undefined } as unknown as EntryMetrics,
      log,
      signal: controller.signal,
    });
    context.after(async () => {
      controller.abort();
      await planner;
    });
    return controller;
  };
  return { engines, sent, expectedSequences, state, store, startPlanner };
}

const HELD = [0, 20, 40].map((from) => ({ from, to: from + 20 }));

// The next planner planned again from scratch, and ordered a second engine to load what the first one was loading.
test('planner: an instance that takes over the lease counts the orders of the one before', async (context) => {
  const { sent, engines, startPlanner } = createGroup(context, [...HELD, undefined, undefined]);
  const first = startPlanner('entry-1');
  await sleep(ROUND_MILLISECONDS);
  assert.deepEqual(sent, ['e3=60-80']);
  first.abort();
  await sleep(ROUND_MILLISECONDS);
  startPlanner('entry-2');
  await sleep(2 * ROUND_MILLISECONDS);
  assert.deepEqual(sent, ['e3=60-80']);
  const [, , , loading] = engines;
  assert.ok(loading);
  loading.report = { ...loading.report, isBusy: false, layers: { from: 60, to: 80 } };
  await sleep(2 * ROUND_MILLISECONDS);
  assert.deepEqual(sent.length, 2, 'the second engine without layers is given some');
  assert.ok(sent[1]?.startsWith('e4='));
});

// An order without an answer may be carried out: one more load would be beyond what engines can load at once.
test('planner: an order without an answer takes a load until its engine reports', async (context) => {
  const group = createGroup(context, [...HELD, undefined, undefined]);
  group.state.result = 'unknown';
  group.startPlanner('entry-1');
  await sleep(3 * ROUND_MILLISECONDS);
  assert.deepEqual(group.sent, ['e3=60-80']);
});

test('planner: an engine that rejects an order is left out for a time, and another one gets it', async (context) => {
  const group = createGroup(context, [...HELD, undefined, undefined]);
  group.state.result = 'conflict';
  group.startPlanner('entry-1');
  await sleep(ROUND_MILLISECONDS);
  assert.deepEqual(group.sent, ['e3=60-80', 'e4=60-80']);
});

// Without the store no lease can be renewed; the number of orders that each engine checks keeps two planners apart.
test('planner: while the store is unavailable, orders go on with the number that the engine expects', async (context) => {
  const group = createGroup(context, [...HELD, undefined]);
  group.store.read = async () => ({ kind: 'unavailable', message: 'down' });
  group.engines.forEach((engine) => {
    engine.report = { ...engine.report, orderSequence: 4 };
  });
  group.startPlanner('entry-1');
  await sleep(ROUND_MILLISECONDS);
  assert.deepEqual([group.sent, group.expectedSequences], [['e3=60-80'], [4]]);
});
