/**
 * Chooses the chain of engines that runs a generation: engines whose layer ranges cover the model
 * exactly once, in order, with the lowest expected time in the stages and on the links between
 * data centres.
 */
import type { BackendServer } from '../backend/backend-server.js';
import { CHARACTERS_PER_TOKEN } from '../backend/engine-protocol.js';
import type { EngineDescription } from '../backend/report.js';
import type { LinkLatencies } from './link-latencies.js';

/** What the chosen chain has to run. */
export interface EngineChainRequest {
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  /** The accelerator kinds that may be used; empty allows every kind. */
  readonly fleets: readonly string[];
  /** The number of tokens to prefill: the prompt and the tokens generated so far. */
  readonly contextTokens: number;
  readonly tokensToProduce: number;
  /** By engine id: how many leading characters of the prompt the engine probably has cached. */
  readonly cachedCharacters: ReadonlyMap<string, number>;
  /** The ids of engines that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /**
   * Whether the request is suspected of crashing backend servers. It then only runs on engines on
   * which this instance runs no other suspect request.
   */
  readonly isSuspect: boolean;
  /**
   * Whether engines at their concurrency limit may be chosen. Used to continue a stream that has
   * already sent tokens to its caller.
   */
  readonly canExceedLimits: boolean;
}

/** The engines chosen for one request, in layer order, and the times expected of them. */
export interface EngineChain {
  readonly stages: readonly BackendServer[];
  readonly expectedFirstTokenMilliseconds: number;
  readonly expectedTokenMilliseconds: number;
}

/** Options of {@link chooseEngineChain}. */
export interface EngineChainOptions {
  readonly engines: readonly BackendServer[];
  readonly request: EngineChainRequest;
  /** The data centre of this instance, where the chain starts. */
  readonly dataCentre: string;
  readonly linkLatencies: LinkLatencies;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** The traffic of all instances divided by the traffic of this instance; at least 1. */
  readonly trafficFactor?: number;
  /** Returns a random number from 0 up to, not including, 1. */
  readonly random: () => number;
}

/** The engine with the lowest cost among those with the same layers in the same data centre. */
interface StageChoice {
  readonly server: BackendServer;
  readonly engine: EngineDescription;
  readonly cost: number;
}

/** Engines that cover the model from layer 0 up to the end of the last stage, as a linked list. */
interface Path {
  readonly cost: number;
  readonly lastStage: StageChoice | undefined;
  readonly previous: Path | undefined;
  readonly dataCentre: string;
  readonly prefillMilliseconds: number;
  readonly stepMilliseconds: number;
}

const UTILISATION_WEIGHT = 0.25;
const OVERLOAD_WEIGHT = 4;
/**
 * Load reports are old, and all instances see the same ones. A random factor on the cost keeps
 * them from all choosing the same engine among several that are about equally good.
 */
const JITTER_SHARE = 0.1;

function isEligible(
  server: BackendServer,
  engine: EngineDescription,
  request: EngineChainRequest,
  now: number,
): boolean {
  if (engine.model !== request.model || engine.version !== request.version) return false;
  if (engine.adapter !== request.adapter || engine.loading) return false;
  if (request.fleets.length > 0 && !request.fleets.includes(engine.accelerator)) return false;
  if (request.excluded.has(server.id) || !server.isUsable(now)) return false;
  if (request.isSuspect) return server.suspectsInFlight === 0;
  return request.canExceedLimits || server.hasCapacity;
}

function estimatePrefillMilliseconds(
  server: BackendServer,
  engine: EngineDescription,
  request: EngineChainRequest,
): number {
  const share = (engine.to - engine.from) / engine.totalLayers;
  const { cachedCharacters } = request;
  const cachedPromptCharacters =
    cachedCharacters.size > 0 ? (cachedCharacters.get(server.id) ?? 0) : 0;
  const uncachedTokens = Math.max(
    0,
    request.contextTokens - cachedPromptCharacters / CHARACTERS_PER_TOKEN,
  );
  return (uncachedTokens * share) / engine.prefillTokensPerMillisecond;
}

function estimateStageCost(
  server: BackendServer,
  engine: EngineDescription,
  options: EngineChainOptions,
): number {
  const { request } = options;
  const stepMilliseconds = engine.stepMilliseconds * server.slowdownFactor;
  const [running, queued] = server.load;
  // The load report does not contain recent requests yet, neither those of this instance nor those
  // of its peers. Their number is estimated from what this instance sent.
  const unreported = (options.trafficFactor ?? 1) * server.estimateUnreportedRequests(options.now);
  const utilisation = (Math.max(running, server.inFlight) + queued + unreported) / engine.slots;
  const loadFactor =
    1 + UTILISATION_WEIGHT * utilisation + OVERLOAD_WEIGHT * Math.max(0, utilisation - 1);
  const jitterFactor = 1 + JITTER_SHARE * options.random();
  const isolationFactor = request.isSuspect ? 1 + server.inFlight : 1;
  const milliseconds =
    estimatePrefillMilliseconds(server, engine, request) +
    stepMilliseconds * request.tokensToProduce;
  return milliseconds * loadFactor * jitterFactor * isolationFactor;
}

/** Selects the cheapest engine for each layer range and data centre, ordered by first layer. */
function selectCheapestStages(options: EngineChainOptions): StageChoice[] {
  const best = new Map<string, StageChoice>();
  const { engines, request, now } = options;
  engines.forEach((server) => {
    const { engine } = server;
    if (!engine || !isEligible(server, engine, request, now)) return;
    const cost = estimateStageCost(server, engine, options);
    const current = best.get(server.stageGroup);
    if (!current || cost < current.cost) best.set(server.stageGroup, { server, engine, cost });
  });
  return [...best.values()].sort((left, right) => left.engine.from - right.engine.from);
}

/** Appends a stage to the path for which the result is cheapest; undefined without any path. */
function extendCheapestPath(
  paths: readonly Path[],
  stage: StageChoice,
  options: EngineChainOptions,
): Path | undefined {
  const { dataCentre } = stage.server.listed;
  let best: Path | undefined;
  paths.forEach((path) => {
    const linkMilliseconds = options.linkLatencies.estimateOneWayMilliseconds(
      path.dataCentre,
      dataCentre,
    );
    // Each token crosses the link between two stages there and back. The link from this instance
    // to the first stage is crossed there and back only once per request.
    const crossingsPerToken = path.lastStage ? 2 : 0;
    const cost =
      path.cost +
      stage.cost +
      linkMilliseconds * (2 + crossingsPerToken * options.request.tokensToProduce);
    if (best && best.cost <= cost) return;
    best = {
      cost,
      lastStage: stage,
      previous: path,
      dataCentre,
      prefillMilliseconds:
        path.prefillMilliseconds +
        estimatePrefillMilliseconds(stage.server, stage.engine, options.request) +
        2 * linkMilliseconds,
      stepMilliseconds:
        path.stepMilliseconds +
        stage.engine.stepMilliseconds * stage.server.slowdownFactor +
        crossingsPerToken * linkMilliseconds,
    };
  });
  return best;
}

function collectStages(path: Path): BackendServer[] {
  const stages: BackendServer[] = [];
  let current: Path | undefined = path;
  while (current?.lastStage) {
    stages.unshift(current.lastStage.server);
    current = current.previous;
  }
  return stages;
}

/**
 * Chooses the chain with the lowest expected time.
 *
 * @param options - The engines, the request, the data centre of this instance and the latencies
 *   of the links.
 * @returns The chain, or undefined when the eligible engines do not cover every layer.
 */
export function chooseEngineChain(options: EngineChainOptions): EngineChain | undefined {
  const start: Path = {
    cost: 0,
    lastStage: undefined,
    previous: undefined,
    dataCentre: options.dataCentre,
    prefillMilliseconds: 0,
    stepMilliseconds: 0,
  };
  const pathsByNextLayer = new Map<number, Path[]>([[0, [start]]]);
  let best: Path | undefined;
  selectCheapestStages(options).forEach((stage) => {
    const path = extendCheapestPath(pathsByNextLayer.get(stage.engine.from) ?? [], stage, options);
    if (!path) return;
    const { to, totalLayers } = stage.engine;
    if (to === totalLayers && (!best || path.cost < best.cost)) best = path;
    pathsByNextLayer.set(to, [...(pathsByNextLayer.get(to) ?? []), path]);
  });
  if (!best) return undefined;
  return {
    stages: collectStages(best),
    expectedFirstTokenMilliseconds: best.prefillMilliseconds + best.stepMilliseconds,
    expectedTokenMilliseconds: best.stepMilliseconds,
  };
}
