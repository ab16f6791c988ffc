import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { BackendServer } from '../backend/backend-server.js';
import type { EngineDescription } from '../backend/report.js';
import { LinkLatencies } from './link-latencies.js';
import { chooseEngineChain, type EngineChainRequest } from './engine-chain-choice.js';

interface EngineSpec {
  readonly from: number;
  readonly to: number;
  readonly dataCentre: string;
  readonly step: number;
}

const REQUEST: EngineChainRequest = {
  model: 'm',
  version: '1',
  adapter: '',
  fleets: [],
  contextTokens: 0,
  tokensToProduce: 10,
  cachedCharacters: new Map(),
  excluded: new Set(),
  isSuspect: false,
  canExceedLimits: false,
};

function createEngine(spec: EngineSpec, index: number): BackendServer {
  const { from, to, dataCentre, step } = spec;
  const listed = {
    id: `e${index}`,
    kind: 'engine' as const,
    host: '127.0.0.1',
    port: 1,
    dataCentre,
    region: 'r',
    state: 'live' as const,
  };
  const engine: EngineDescription = {
    incarnation: 1,
    model: 'm',
    version: '1',
    adapter: '',
    totalLayers: 6,
    from,
    to,
    accelerator: index % 2 === 0 ? 'fast' : 'slow',
    slots: 8,
    stepMilliseconds: step,
    prefillTokensPerMillisecond: 1,
    leaving: false,
    loading: false,
  };
  const server = new BackendServer({ listed, sharingInstances: 1 });
  server.report = { state: 'serving', slots: 8, engine };
  return server;
}

function chooseFrom(engines: BackendServer[], request: Partial<EngineChainRequest> = {}) {
  return chooseEngineChain({
    engines,
    request: { ...REQUEST, ...request },
    dataCentre: 'a',
    linkLatencies: new LinkLatencies(),
    now: 0,
    random: () => 0,
  });
}

function listChains(servers: BackendServer[], from = 0): BackendServer[][] {
  if (from === 6) return [[]];
  return servers
    .filter((server) => server.engine?.from === from)
    .flatMap((server) => listChains(servers, server.engine?.to).map((rest) => [server, ...rest]));
}

function computeExpectedCost(chain: BackendServer[]): number {
  const links = new LinkLatencies();
  return chain.reduce((sum, server, index) => {
    const previousDataCentre = chain[index - 1]?.listed.dataCentre ?? 'a';
    const crossings = index === 0 ? 2 : 2 + 2 * REQUEST.tokensToProduce;
    const step = server.engine?.stepMilliseconds ?? 0;
    return (
      sum +
      step * REQUEST.tokensToProduce +
      crossings * links.estimateOneWayMilliseconds(previousDataCentre, server.listed.dataCentre)
    );
  }, 0);
}

test('engine chain choice: the cheapest chain that covers each layer once, in order, is chosen', () => {
  const engineSpec = fc
    .tuple(fc.nat(5), fc.nat(5), fc.constantFrom('a', 'b', 'c'), fc.integer({ min: 1, max: 50 }))
    .map(([firstBoundary, secondBoundary, dataCentre, step]) => {
      const [from = 0, to = 0] = [firstBoundary, secondBoundary + 1].sort(
        (left, right) => left - right,
      );
      return { from, to: Math.max(to, from + 1), dataCentre, step };
    });
  fc.assert(
    fc.property(fc.array(engineSpec, { maxLength: 12 }), (specs) => {
      const servers = specs.map(createEngine);
      const allChains = listChains(servers);
      const chosen = chooseFrom(servers);
      assert.equal(chosen === undefined, allChains.length === 0);
      if (!chosen) return;
      const cost = computeExpectedCost([...chosen.stages]);
      assert.ok(Math.abs(cost - Math.min(...allChains.map(computeExpectedCost))) < 1e-6);
    }),
    { seed: 8, numRuns: 300 },
  );
});

test('engine chain choice: full, excluded, leaving and unsuitable engines are skipped; a cached prefix is preferred', () => {
  const servers = [0, 1].map((index) =>
    createEngine({ from: 0, to: 6, dataCentre: 'a', step: 5 }, index),
  );
  const [first, second] = servers as [BackendServer, BackendServer];
  const firstEngineChosen = (request: Partial<EngineChainRequest>): string | undefined =>
    chooseFrom(servers, request)?.stages[0]?.id;
  assert.equal(firstEngineChosen({ excluded: new Set(['e0']) }), 'e1');
  assert.equal(firstEngineChosen({ fleets: ['slow'] }), 'e1');
  assert.equal(firstEngineChosen({ version: '2' }), undefined);
  assert.equal(
    firstEngineChosen({ contextTokens: 1000, cachedCharacters: new Map([['e1', 4000]]) }),
    'e1',
  );
  first.inFlight = 99;
  assert.equal(firstEngineChosen({}), 'e1');
  second.report = { state: 'leaving', slots: 8, engine: second.engine };
  assert.equal(firstEngineChosen({}), undefined);
  assert.equal(firstEngineChosen({ canExceedLimits: true }), 'e0');
});
