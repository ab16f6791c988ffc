import assert from 'node:assert/strict';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { createProtocolAdapter } from '../../platform/protocol-adapter.js';
import { BackendFleet } from '../fleet/backend-fleet.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import type { StatingAnswer } from '../fleet/server-statements.js';
import { createSilentLogger } from '../telemetry/log.js';
import { EngineReports } from './engine-reports.js';
import { ForeignResponseError } from './response-origin.js';

const TIMEOUT_MILLISECONDS = 1000;
const REPORT = JSON.stringify({ busy: false, seq: 3, layers: { from: 0, to: 8 }, pace: 2 });

async function startEngine(context: TestContext, answererId: string | undefined): Promise<number> {
  const server = http.createServer((_, response) => {
    response.writeHead(200, answererId === undefined ? {} : { 'instance-id': answererId });
    response.end(REPORT);
  });
  context.after(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as AddressInfo).port;
}

function createEntry(id: string, port: number): ServerEntry {
  return {
    id,
    service: 'service',
    address: { host: '127.0.0.1', port },
    dataCentre: 'one',
    slots: 1,
    isLeaving: false,
    kind: 'card',
    layers: undefined,
  };
}

/** Asks the engine `asked` for a report; `another` is registered at its address, elsewhere or nowhere. */
async function fetchReport(
  context: TestContext,
  { answererId, other }: { readonly answererId?: string; readonly other?: 'here' | 'elsewhere' },
) {
  const port = await startEngine(context, answererId);
  const fleet = new BackendFleet({ log: createSilentLogger() });
  const asked = createEntry('asked', port);
  // One revision: the list doesn't tell which of the two is the newer.
  if (other) fleet.put(createEntry('another', other === 'here' ? port : port - 1), 1);
  fleet.put(asked, 1);
  const recorded: StatingAnswer[] = [];
  const reports = new EngineReports({
    protocol: createProtocolAdapter(),
    statements: { record: (answer) => recorded.push(answer) },
    fleet,
  });
  const server = fleet.find('asked');
  assert.ok(server);
  const report = await reports.fetch(server, TIMEOUT_MILLISECONDS).catch((error: unknown) => error);
  return {
    report,
    recorded,
    hasEnded: fleet.hasEnded('asked'),
    hasOtherEnded: fleet.hasEnded('another'),
  };
}

// Layers, slowdown and stalled requests of the server that had taken over the address counted as the engine's own.
test('engine reports: the report of another server at the address is not the report of the engine', async (context) => {
  const { report, recorded, hasEnded } = await fetchReport(context, { answererId: 'another' });
  assert.ok(report instanceof ForeignResponseError);
  assert.deepEqual({ recorded, hasEnded }, { recorded: [], hasEnded: false });
});

test('engine reports: a report that names the engine, or nobody, is its own', async (context) => {
  for (const answer of [{ answererId: 'asked' }, {}]) {
    const { report, recorded } = await fetchReport(context, { ...answer, other: 'here' });
    assert.deepEqual(report, {
      slowdownFactor: 2,
      isBusy: false,
      orderSequence: 3,
      layers: { from: 0, to: 8 },
      stalledRequests: [],
    });
    assert.equal(recorded.length, 1);
  }
});

// An engine that had ended unseen stayed in use until its entry lapsed.
test("engine reports: another server's answer shows the end only where it is registered at the address", async (context) => {
  const ends = [];
  for (const other of ['here', 'elsewhere'] as const) {
    const { hasEnded, hasOtherEnded } = await fetchReport(context, {
      answererId: 'another',
      other,
    });
    assert.ok(!hasOtherEnded);
    ends.push(hasEnded);
  }
  assert.deepEqual(ends, [true, false]);
});
