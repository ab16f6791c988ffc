/** What a routing decision, a claim and the state of one instance cost. */
import { BackendServer } from '../../src/backend/backend-server.js';
import { applyClaims, type ClaimShard } from '../../src/claims/claim-shard.js';
import { emptyBranch, TeamSettings } from '../../src/configuration/branch.js';
import { ConfigurationInForce } from '../../src/configuration/configuration-in-force.js';
import type { ClaimMessage } from '../../src/peer/messages.js';
import { RecordTable } from '../../src/peer/record-table.js';
import { LinkLatencies } from '../../src/routing/link-latencies.js';
import { chooseEngineChain } from '../../src/routing/engine-chain-choice.js';
import { fitSlope, type Point, type Slope } from './slope.js';

const DATA_CENTRES = 11;
const KINDS = 4;
const DECISIONS = 4000;
const ROUNDS = 200;

function createEngine(index: number, ranges: number): BackendServer {
  const part = 8 / ranges;
  const from = (index % ranges) * part;
  const listed = {
    id: `engine-${index}`,
    kind: 'engine' as const,
    host: '127.0.0.1',
    port: 1,
    dataCentre: `dc-${index % DATA_CENTRES}`,
    region: 'region-1',
    state: 'live' as const,
  };
  const server = new BackendServer({ listed, sharers: 1 });
  const engine = {
    incarnation: 1,
    model: 'model',
    version: '1',
    adapter: '',
    totalLayers: 8,
    from,
    to: from + part,
    accelerator: `kind-${index % KINDS}`,
    slots: 16,
    stepMilliseconds: 10 + (index % KINDS) * 10,
    prefillTokensPerMillisecond: 10,
    leaving: false,
    loading: false,
  };
  server.report = { state: 'serving', slots: 16, engine };
  server.load = [index % 16, 0];
  return server;
}

/** Times of single decisions in microseconds, sorted. */
function timeDecisions(replicas: number, ranges: number): number[] {
  const engines = Array.from({ length: replicas }, (_, index) => createEngine(index, ranges));
  const linkTimes = new LinkLatencies();
  const times: number[] = [];
  for (let count = 0; count < DECISIONS; count += 1) {
    const start = performance.now();
    chooseEngineChain({
      engines,
      request: {
        model: 'model',
        version: '1',
        adapter: '',
        fleets: [],
        contextTokens: 500,
        tokensToProduce: 200,
        cachedCharacters: new Map(),
        excluded: new Set(),
        isSuspect: false,
        canExceedLimits: false,
      },
      dataCentre: 'dc-0',
      linkLatencies: linkTimes,
      now: start,
      trafficFactor: 5,
      random: Math.random,
    });
    times.push((performance.now() - start) * 1000);
  }
  // The first half warms the compiler up.
  return times.slice(DECISIONS / 2).sort((one, other) => one - other);
}

/** Measures routing decisions against replicas and against layer ranges. */
export function measureDecisions(): Slope[] {
  const at = (times: number[], share: number): number =>
    times[Math.floor(times.length * share)] ?? 0;
  const byReplicas = [75, 150, 300, 600, 1200].map((replicas) => ({
    x: replicas,
    times: timeDecisions(replicas, 2),
  }));
  const byRanges = [1, 2, 4, 8].map((ranges) => ({ x: ranges, times: timeDecisions(600, ranges) }));
  const points = (rows: { x: number; times: number[] }[], share: number): Point[] =>
    rows.map(({ x, times }) => ({ x, y: at(times, share) }));
  return [
    fitSlope('routing decision, median', 'replicas of one model', 'µs', points(byReplicas, 0.5)),
    fitSlope(
      'routing decision, 99th percentile',
      'replicas of one model',
      'µs',
      points(byReplicas, 0.99),
    ),
    fitSlope(
      'routing decision at 600 replicas, median',
      'layer ranges',
      'µs',
      points(byRanges, 0.5),
    ),
  ];
}

/** Measures the processor time and bytes of writing one group of claims. */
export function measureClaims(): Slope[] {
  const rows = [1, 10, 50, 200, 800].map((entries) => {
    const content = '0123456789abcdef';
    const messages = Array.from({ length: entries }, (_, index): ClaimMessage => ({
      operation: 'claim',
      shard: 's',
      key: `account-${index % 1900}/1800000000000-request-${index}`,
      token: `entry-100/00000000-0000-4000-8000-${String(index).padStart(12, '0')}`,
      instance: 'entry-100',
      content,
    }));
    let bytes = 0;
    const empty: ClaimShard = { entries: {} };
    const start = process.cpuUsage();
    for (let round = 0; round < ROUNDS; round += 1) {
      bytes = JSON.stringify(applyClaims(empty, messages).shard).length;
    }
    const { user, system } = process.cpuUsage(start);
    return { x: entries, microseconds: (user + system) / ROUNDS, bytes };
  });
  return [
    fitSlope(
      'claim group, processor time of one write',
      'claims in the shard',
      'µs',
      rows.map(({ x, microseconds }) => ({ x, y: microseconds })),
    ),
    fitSlope(
      'claim group, bytes of one write',
      'claims in the shard',
      'bytes',
      rows.map(({ x, bytes }) => ({ x, y: bytes })),
    ),
  ];
}

function heapAfter(build: () => unknown): { kept: unknown; bytes: number } {
  global.gc?.();
  const before = process.memoryUsage().heapUsed;
  const kept = build();
  global.gc?.();
  return { kept, bytes: process.memoryUsage().heapUsed - before };
}

/** Measures the memory of accounts in force and of records. Needs --expose-gc. */
export function measureState(): Slope[] {
  const kept: unknown[] = [];
  const accounts = [475, 950, 1900, 3800].map((count) => {
    const result = heapAfter(() => {
      const names = Array.from({ length: count }, (_, index) => [`account-${index}`, {}]);
      const settings = TeamSettings.parse({ accounts: Object.fromEntries(names) as object });
      const inForce = new ConfigurationInForce();
      inForce.offer({ ...emptyBranch('team'), revision: 1, settings });
      return inForce;
    });
    kept.push(result.kept);
    return { x: count, y: result.bytes };
  });
  const records = [250, 500, 1000, 2000].map((count) => {
    const result = heapAfter(() => {
      const table = new RecordTable();
      Array.from({ length: count }, (_, index) => {
        const address = { host: `10.0.0.${index % 250}`, port: 7000 };
        const value = {
          instance: `entry-${index}`,
          dataCentre: 'dc-a',
          region: 'r',
          callerAddress: address,
          operatorAddress: { ...address },
          peerAddress: { ...address },
          state: 'live',
        };
        return table.put({
          kind: 'member',
          key: `entry-${index}`,
          epoch: index,
          counter: 1,
          value,
        });
      });
      return table;
    });
    kept.push(result.kept);
    return { x: count, y: result.bytes };
  });
  if (kept.length === 0) throw new Error('Nothing was kept.');
  return [
    fitSlope('memory of accounts in force', 'client accounts', 'bytes', accounts),
    fitSlope('memory of records', 'records', 'bytes', records),
  ];
}
