/**
 * Chooses a pipeline: a chain of engines whose layer ranges cover the model once, in order, with
 * the least expected time over stages and links.
 */
import type { BackendServer } from '../backend/backend-server.js';
import { CHARACTERS_PER_TOKEN } from '../backend/engine-protocol.js';
import type { EngineFacts } from '../backend/report.js';
import type { LinkLatencies } from './link-latencies.js';

/** What a pipeline is wanted for. */
export interface EngineChainRequest {
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  /** Accelerator kinds allowed; any when empty. */
  readonly fleets: readonly string[];
  /** Tokens to prefill: the prompt and what was produced. */
  readonly contextTokens: number;
  readonly tokensToProduce: number;
  /** Characters of the prompt that an engine likely has cached. */
  readonly cachedCharacters: ReadonlyMap<string, number>;
  /** Engines that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Whether the request is suspected of crashing servers and must run apart. */
  readonly isSuspect: boolean;
  /** Whether engines without room may be chosen, as for a stream already begun. */
  readonly canExceedLimits: boolean;
}

/** A chosen pipeline. */
export interface EngineChain {
  readonly stages: readonly BackendServer[];
  readonly expectedFirstTokenMilliseconds: number;
  readonly expectedTokenMilliseconds: number;
}

/** Options of {@link chooseEngineChain}. */
export interface EngineChainOptions {
  readonly engines: readonly BackendServer[];
  readonly request: EngineChainRequest;
  readonly dataCentre: string;
  readonly linkLatencies: LinkLatencies;
  readonly now: number;
  /** How many times this instance's own traffic all instances' traffic is. */
  readonly trafficFactor?: number;
  readonly random: () => number;
}

/** The engine of least cost among those with the same layers in the same data centre. */
interface StageChoice {
  readonly server: BackendServer;
  readonly engine: EngineFacts;
  readonly total: number;
}

interface Path {
  readonly cost: number;
  readonly last: StageChoice | undefined;
  readonly previous: Path | undefined;
  readonly dataCentre: string;
  readonly prefill: number;
  readonly step: number;
}

const BUSY_WEIGHT = 0.25;
const FULL_WEIGHT = 4;
/** Spreads instances that see the same stale loads over servers that are about as good. */
const JITTER = 0.1;

function isEligible(
  server: BackendServer,
  engine: EngineFacts,
  request: EngineChainRequest,
  now: number,
): boolean {
  if (engine.model !== request.model || engine.version !== request.version) return false;
  if (engine.adapter !== request.adapter || engine.loading) return false;
  if (request.fleets.length > 0 && !request.fleets.includes(engine.accelerator)) return false;
  if (request.excluded.has(server.id) || !server.isUsable(now)) return false;
  if (request.isSuspect) return server.suspectsInFlight === 0;
  return request.canExceedLimits || server.hasRoom;
}

function prefillOf(
  server: BackendServer,
  engine: EngineFacts,
  request: EngineChainRequest,
): number {
  const share = (engine.to - engine.from) / engine.totalLayers;
  const { cachedCharacters } = request;
  const cached = cachedCharacters.size > 0 ? (cachedCharacters.get(server.id) ?? 0) : 0;
  const newTokens = Math.max(0, request.contextTokens - cached / CHARACTERS_PER_TOKEN);
  return (newTokens * share) / engine.prefillTokensPerMillisecond;
}

function costOf(server: BackendServer, engine: EngineFacts, options: EngineChainOptions): number {
  const { request } = options;
  const step = engine.stepMilliseconds * server.slowness;
  const [running, queued] = server.load;
  // What this instance sent lately is not in the report yet; nor is what the others sent.
  const unseen = (options.trafficFactor ?? 1) * server.recentlySent(options.now);
  const busy = (Math.max(running, server.inFlight) + queued + unseen) / engine.slots;
  const crowding = 1 + BUSY_WEIGHT * busy + FULL_WEIGHT * Math.max(0, busy - 1);
  const jitter = 1 + JITTER * options.random();
  const apart = request.isSuspect ? 1 + server.inFlight : 1;
  const time = prefillOf(server, engine, request) + step * request.tokensToProduce;
  return time * crowding * jitter * apart;
}

/** Keeps, for each layer range and data centre, the engine of least cost. */
function cheapestStages(options: EngineChainOptions): StageChoice[] {
  const best = new Map<string, StageChoice>();
  const { engines, request, now } = options;
  engines.forEach((server) => {
    const { engine } = server;
    if (!engine || !isEligible(server, engine, request, now)) return;
    const total = costOf(server, engine, options);
    const current = best.get(server.stageGroup);
    if (!current || total < current.total) best.set(server.stageGroup, { server, engine, total });
  });
  return [...best.values()].sort((one, other) => one.engine.from - other.engine.from);
}

function extend(
  paths: readonly Path[],
  stage: StageChoice,
  options: EngineChainOptions,
): Path | undefined {
  const { dataCentre } = stage.server.listed;
  let best: Path | undefined;
  paths.forEach((path) => {
    const link = options.linkLatencies.oneWayMilliseconds(path.dataCentre, dataCentre);
    // A hop between stages is crossed there and back for each token; the first hop only once.
    const crossings = path.last ? 2 : 0;
    const cost = path.cost + stage.total + link * (2 + crossings * options.request.tokensToProduce);
    if (best && best.cost <= cost) return;
    best = {
      cost,
      last: stage,
      previous: path,
      dataCentre,
      prefill: path.prefill + prefillOf(stage.server, stage.engine, options.request) + 2 * link,
      step: path.step + stage.engine.stepMilliseconds * stage.server.slowness + crossings * link,
    };
  });
  return best;
}

function stagesOf(path: Path): BackendServer[] {
  const stages: BackendServer[] = [];
  let at: Path | undefined = path;
  while (at?.last) {
    stages.unshift(at.last.server);
    at = at.previous;
  }
  return stages;
}

/**
 * Chooses the pipeline of least expected time.
 *
 * @param options - The engines, the request, where this instance is and what links take.
 * @returns The pipeline, or undefined when none covers the model now.
 */
export function chooseEngineChain(options: EngineChainOptions): EngineChain | undefined {
  const start: Path = {
    cost: 0,
    last: undefined,
    previous: undefined,
    dataCentre: options.dataCentre,
    prefill: 0,
    step: 0,
  };
  const pathsTo = new Map<number, Path[]>([[0, [start]]]);
  let best: Path | undefined;
  cheapestStages(options).forEach((stage) => {
    const path = extend(pathsTo.get(stage.engine.from) ?? [], stage, options);
    if (!path) return;
    const { to, totalLayers } = stage.engine;
    if (to === totalLayers && (!best || path.cost < best.cost)) best = path;
    pathsTo.set(to, [...(pathsTo.get(to) ?? []), path]);
  });
  if (!best) return undefined;
  return {
    stages: stagesOf(best),
    expectedFirstTokenMilliseconds: best.prefill + best.step,
    expectedTokenMilliseconds: best.step,
  };
}
