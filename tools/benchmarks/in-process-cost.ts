/** Measures the processor time of routing decisions and claims, and the memory of an instance. */
import { BackendServer } from '../../src/backend/backend-server.js';
import { applyClaims, type ClaimShard } from '../../src/claims/claim-shard.js';
import { createEmptyBranch, TeamSettings } from '../../src/configuration/branch.js';
import { ConfigurationInForce } from '../../src/configuration/configuration-in-force.js';
import type { ClaimMessage } from '../../src/peer/messages.js';
import { RecordTable } from '../../src/peer/record-table.js';
import { LinkLatencies } from '../../src/routing/link-latencies.js';
import { chooseEngineChain } from '../../src/routing/engine-chain-choice.js';
import { fitLine, type Point, type LineFit } from './line-fit.js';

const DATA_CENTRES = 11;
const ACCELERATOR_KINDS = 4;
const DECISIONS = 4000;
const CLAIM_ROUNDS = 200;

/** Creates an engine that holds one of `rangeCount` equal layer ranges, chosen by its index. */
function createEngine(index: number, rangeCount: number): BackendServer {
  const layersPerRange = 8 / rangeCount;
  const from = (index % rangeCount) * layersPerRange;
  const listed = {
    id: `engine-${index}`,
    kind: 'engine' as const,
    host: '127.0.0.1',
    port: 1,
    dataCentre: `dc-${index % DATA_CENTRES}`,
    region: 'region-1',
    state: 'live' as const,
  };
  const backendServer = new BackendServer({ listed, sharingInstances: 1 });
  const engine = {
    incarnation: 1,
    model: 'model',
    version: '1',
    adapter: '',
    totalLayers: 8,
    from,
    to: from + layersPerRange,
    accelerator: `kind-${index % ACCELERATOR_KINDS}`,
    slots: 16,
    stepMilliseconds: 10 + (index % ACCELERATOR_KINDS) * 10,
    prefillTokensPerMillisecond: 10,
    leaving: false,
    loading: false,
  };
  backendServer.report = { state: 'serving', slots: 16, engine };
  backendServer.load = [index % 16, 0];
  return backendServer;
}

/** Measures single routing decisions; returns their times in ascending order. */
function timeDecisionsMicroseconds(replicaCount: number, rangeCount: number): number[] {
  const engines = Array.from({ length: replicaCount }, (_, index) =>
    createEngine(index, rangeCount),
  );
  const linkLatencies = new LinkLatencies();
  const timesMicroseconds: number[] = [];
  for (let decision = 0; decision < DECISIONS; decision += 1) {
    const startedAt = performance.now();
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
      linkLatencies,
      now: startedAt,
      trafficFactor: 5,
      random: Math.random,
    });
    timesMicroseconds.push((performance.now() - startedAt) * 1000);
  }
  // The first half of the decisions is a warm-up for the just-in-time compiler.
  return timesMicroseconds.slice(DECISIONS / 2).sort((left, right) => left - right);
}

/** Measures the time of a routing decision against replicas and against layer ranges. */
export function measureDecisions(): LineFit[] {
  const getQuantile = (times: number[], quantile: number): number =>
    times[Math.floor(times.length * quantile)] ?? 0;
  const timesByReplicas = [75, 150, 300, 600, 1200].map((replicas) => ({
    x: replicas,
    times: timeDecisionsMicroseconds(replicas, 2),
  }));
  const timesByRanges = [1, 2, 4, 8].map((ranges) => ({
    x: ranges,
    times: timeDecisionsMicroseconds(600, ranges),
  }));
  const toPoints = (rows: { x: number; times: number[] }[], quantile: number): Point[] =>
    rows.map(({ x, times }) => ({ x, y: getQuantile(times, quantile) }));
  return [
    fitLine(
      'routing decision, median',
      'replicas of one model',
      'µs',
      toPoints(timesByReplicas, 0.5),
    ),
    fitLine(
      'routing decision, 99th percentile',
      'replicas of one model',
      'µs',
      toPoints(timesByReplicas, 0.99),
    ),
    fitLine(
      'routing decision at 600 replicas, median',
      'layer ranges',
      'µs',
      toPoints(timesByRanges, 0.5),
    ),
  ];
}

/** Measures the processor time and the size of one write of a claim shard. */
export function measureClaimWrites(): LineFit[] {
  const measurements = [1, 10, 50, 200, 800].map((claimCount) => {
    const content = '0123456789abcdef';
    const messages = Array.from({ length: claimCount }, (_, index): ClaimMessage => ({
      operation: 'claim',
      shard: 's',
      key: `account-${index % 1900}/1800000000000-request-${index}`,
      token: `entry-100/00000000-0000-4000-8000-${String(index).padStart(12, '0')}`,
      instance: 'entry-100',
      content,
    }));
    let bytes = 0;
    const emptyShard: ClaimShard = { entries: {} };
    const cpuUsageBefore = process.cpuUsage();
    for (let round = 0; round < CLAIM_ROUNDS; round += 1) {
      bytes = JSON.stringify(applyClaims(emptyShard, messages).shard).length;
    }
    const { user, system } = process.cpuUsage(cpuUsageBefore);
    return { x: claimCount, microseconds: (user + system) / CLAIM_ROUNDS, bytes };
  });
  return [
    fitLine(
      'claim shard, processor time of one write',
      'claims in the shard',
      'µs',
      measurements.map(({ x, microseconds }) => ({ x, y: microseconds })),
    ),
    fitLine(
      'claim shard, bytes of one write',
      'claims in the shard',
      'bytes',
      measurements.map(({ x, bytes }) => ({ x, y: bytes })),
    ),
  ];
}

/** Measures the heap that an object adds; the caller keeps the object reachable until the end. */
function measureHeapGrowth(build: () => unknown): { kept: unknown; bytes: number } {
  global.gc?.();
  const heapBytesBefore = process.memoryUsage().heapUsed;
  const kept = build();
  global.gc?.();
  return { kept, bytes: process.memoryUsage().heapUsed - heapBytesBefore };
}

/** Measures the heap of accounts in force and of peer records. Needs `node --expose-gc`. */
export function measureStateMemory(): LineFit[] {
  const kept: unknown[] = [];
  const accountPoints = [475, 950, 1900, 3800].map((accountCount) => {
    const result = measureHeapGrowth(() => {
      const accountEntries = Array.from({ length: accountCount }, (_, index) => [
        `account-${index}`,
        {},
      ]);
      const settings = TeamSettings.parse({
        accounts: Object.fromEntries(accountEntries) as object,
      });
      const configuration = new ConfigurationInForce();
      configuration.applyIfNewer({ ...createEmptyBranch('team'), revision: 1, settings });
      return configuration;
    });
    kept.push(result.kept);
    return { x: accountCount, y: result.bytes };
  });
  const recordPoints = [250, 500, 1000, 2000].map((recordCount) => {
    const result = measureHeapGrowth(() => {
      const table = new RecordTable();
      Array.from({ length: recordCount }, (_, index) => {
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
    return { x: recordCount, y: result.bytes };
  });
  if (kept.length === 0) throw new Error('The measured objects were not kept reachable.');
  return [
    fitLine('memory of accounts in force', 'client accounts', 'bytes', accountPoints),
    fitLine('memory of records', 'records', 'bytes', recordPoints),
  ];
}
