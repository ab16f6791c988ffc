/**
 * Chooses the chain of engines for one request: the one with the lowest expected time that runs
 * every layer once and in order. A stage may run only part of the layers that its engine holds.
 * Handles steady load on accelerators of different speed, where the least loaded engine for each
 * layer is chosen, and the loss of an engine, where the missing layers are run by engines whose
 * ranges overlap or by engines in other data centres.
 */
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { LayerRange } from '../fleet/server-entry.js';
import {
  cacheCapacityTokenLayers,
  estimateLayerMilliseconds,
  type RequestTokens,
} from './engine-estimates.js';
import { computeTransferMilliseconds } from './data-centre-link-load.js';
import { computeShareCost, computeShareUses } from './engine-share.js';
import { isWithinModel } from './layer-ranges.js';

/** An engine that may take part in a chain. */
export interface ChainCandidate {
  readonly id: string;
  readonly dataCentre: string;
  /** Name of its accelerator kind. */
  readonly kind: string | undefined;
  /** The layers that it holds. */
  readonly layers: LayerRange;
  /** Number of requests that it runs at once as the first stage of their chains. */
  readonly slots: number;
  /** Requests of all instances that run on it. */
  readonly runningRequests: number;
  /** KV cache reserved for these requests, in tokens times layers. */
  readonly reservedTokenLayers: number;
  /** How many times slower it is than usual for its accelerator kind; 1 is normal. */
  readonly slowdownFactor: number;
}

/** One engine in its place in a chain, with the layers that it runs there. */
export interface ChainStage<T extends ChainCandidate = ChainCandidate> {
  readonly engine: T;
  readonly layers: LayerRange;
}

/** A chain with its expected time. */
export interface Chain<T extends ChainCandidate = ChainCandidate> {
  readonly stages: readonly ChainStage<T>[];
  /** Expected time of the request, including the penalties of links and of the start. */
  readonly expectedMilliseconds: number;
  /** Whether some stage needs more KV cache than its engine has free. */
  readonly isOverCapacity: boolean;
  /**
   * The highest use of an engine's limit on its share of chains among the stages, where some stage has one;
   * above 1 the limit is exceeded.
   */
  readonly highestShareUse?: number;
}

/** Returned if no chain exists. */
export interface NoChain {
  /** The first layer that no candidate holds. */
  readonly missingLayer: number;
}

/** The request for which a chain is chosen, and the conditions on the chain. */
export interface ChainRequest {
  readonly profile: EngineProfile;
  readonly tokens: RequestTokens;
  /** The first stage, if it must stay unchanged. */
  readonly pinnedStage?: ChainStage;
  /** Whether an engine may run the first stage; any engine may by default. */
  readonly canStartAt?: (engineId: string) => boolean;
  /** Added to the cost of a chain for each link between data centres that it crosses. */
  readonly crossingPenaltyMilliseconds?: number;
  /** Utilisation of the link between two data centres, from 0; above 1 it is overloaded. */
  readonly linkUtilisation?: (from: string, to: string) => number;
  /** Whether the chain may use links whose utilisation is high; it may by default. */
  readonly canUseBusyLinks?: boolean;
  /** Whether the chain may use the link between two data centres; it may use all by default. */
  readonly canUseLink?: (from: string, to: string) => boolean;
  /**
   * Factor close to 1, drawn for each engine, so that instances that know the same loads do not all
   * choose the same engines.
   */
  readonly costNoise?: () => number;
  /** Added to the cost of chains that start in a data centre, in milliseconds. */
  readonly startPenaltyMilliseconds?: (dataCentre: string) => number;
}

/** Time to hand a token to the next engine, without the delay of a link between data centres. */
const HANDOVER_MILLISECONDS_PER_TOKEN = 0.15;
/**
 * Keeps chains off the links between data centres, which all chains share, unless much is gained.
 */
const DEFAULT_CROSSING_PENALTY_MILLISECONDS = 1000;
/** Added for a link in full use, and in proportion below that. */
const LINK_USE_PENALTY_MILLISECONDS = 1000;
/**
 * A link with a higher utilisation is used only if no other chain exists or all others cost more.
 */
const BUSY_LINK_UTILISATION = 0.45;
const BUSY_LINK_PENALTY_MILLISECONDS = 15_000;
/**
 * How strongly KV cache in use raises an engine's cost. Rises without bound as the cache fills up, so
 * that an engine many times faster than the others still keeps room for requests that other instances
 * have sent and this one does not know of yet.
 */
const CACHE_FILL_WEIGHT = 4;
const FULL_CACHE_SHARE = 1.05;
const FULL_CACHE_FACTOR = 3;
/**
 * Assumed to exceed the expected time of every chain, so that a cost of at least this value marks a
 * chain over capacity and the remainder is its expected time.
 */
const OVER_CAPACITY_PENALTY_MILLISECONDS = 1_000_000;

/** The cheapest way found to reach an engine at a layer, linked to the step before it. */
interface Step<T extends ChainCandidate> {
  /** Expected milliseconds with penalties, from layer 0 to the end of this step. */
  readonly cost: number;
  readonly engine: T;
  /** First layer of the step. */
  readonly from: number;
  readonly previous: Step<T> | undefined;
}

/** Returns the layers at which a chain may pass from one engine to another, in order. */
function findBoundaries(
  candidates: readonly ChainCandidate[],
  layerCount: number,
  pinned: ChainStage | undefined,
): number[] {
  const boundaries = new Set([0, pinned?.layers.to ?? 0, layerCount]);
  candidates.forEach(({ layers }) => {
    boundaries.add(layers.from);
    boundaries.add(Math.min(layers.to, layerCount));
  });
  return [...boundaries].sort((one, other) => one - other);
}

interface EngineEstimate<T extends ChainCandidate> {
  readonly engine: T;
  /**
   * Expected time that the whole request spends in one layer, raised by the use of the KV cache and by the excess
   * over the engine's share of chains.
   */
  readonly millisecondsPerLayer: number;
  /** The same for the first stage of a chain, which also needs a slot. */
  readonly firstMillisecondsPerLayer: number;
  /** KV cache that is not reserved, in tokens times layers. */
  readonly freeTokenLayers: number;
}

/** Factor on an engine's cost for the share of its KV cache or of its slots that is in use. */
function computeFillFactor(fill: number): number {
  // Without anything free, the penalty for chains over capacity applies instead.
  if (fill >= 1) return FULL_CACHE_FACTOR;
  return 1 + (CACHE_FILL_WEIGHT * fill) / (FULL_CACHE_SHARE - fill);
}

function estimateEngine<T extends ChainCandidate>(
  engine: T,
  request: ChainRequest,
  shareUse: number,
): EngineEstimate<T> {
  const { profile, tokens } = request;
  const capacity = cacheCapacityTokenLayers(profile, engine.kind, engine.layers);
  const fill = capacity > 0 ? engine.reservedTokenLayers / capacity : 1;
  const normalMilliseconds = estimateLayerMilliseconds(
    profile,
    engine.kind,
    tokens,
    engine.runningRequests,
  );
  const baseMilliseconds =
    normalMilliseconds * engine.slowdownFactor * (request.costNoise?.() ?? 1);
  const slotUse = engine.runningRequests / Math.max(1, engine.slots);
  const shareCost = computeShareCost(shareUse);
  return {
    engine,
    millisecondsPerLayer: baseMilliseconds * (computeFillFactor(fill) + shareCost),
    firstMillisecondsPerLayer:
      baseMilliseconds * (computeFillFactor(Math.max(fill, slotUse)) + shareCost),
    freeTokenLayers: capacity - engine.reservedTokenLayers,
  };
}

/** Expected time for a request's handovers between two engines, with the penalties of the link. */
function handoverMilliseconds(
  from: ChainCandidate,
  to: ChainCandidate,
  request: ChainRequest,
): number {
  const { profile, tokens } = request;
  const handover = HANDOVER_MILLISECONDS_PER_TOKEN * tokens.output;
  if (from.dataCentre === to.dataCentre) return handover;
  if (request.canUseLink?.(from.dataCentre, to.dataCentre) === false)
    return Number.POSITIVE_INFINITY;
  const bits = 8 * tokens.prompt * profile.activationBytesPerToken;
  const transferMilliseconds = computeTransferMilliseconds(
    bits,
    profile.dataCentreLinkMegabitsPerSecond,
  );
  const utilisation = request.linkUtilisation?.(from.dataCentre, to.dataCentre) ?? 0;
  const isBusy = utilisation >= BUSY_LINK_UTILISATION;
  if (isBusy && request.canUseBusyLinks === false) return Number.POSITIVE_INFINITY;
  const utilisationPenalty = isBusy
    ? BUSY_LINK_PENALTY_MILLISECONDS
    : LINK_USE_PENALTY_MILLISECONDS * utilisation;
  const { crossingPenaltyMilliseconds = DEFAULT_CROSSING_PENALTY_MILLISECONDS } = request;
  return handover + crossingPenaltyMilliseconds + transferMilliseconds + utilisationPenalty;
}

/**
 * Merges the steps of a chain into stages. If the chain returns to an engine that it has used
 * before, that engine also runs the layers in between, so that no engine appears twice.
 */
function mergeSteps<T extends ChainCandidate>(last: Step<T>, layerCount: number): ChainStage<T>[] {
  const steps: Step<T>[] = [];
  for (let step: Step<T> | undefined = last; step; step = step.previous) steps.unshift(step);
  const stages: { engine: T; layers: { from: number; to: number } }[] = [];
  steps.forEach((step, index) => {
    const to = steps[index + 1]?.from ?? layerCount;
    const earlierIndex = stages.findIndex(({ engine }) => engine.id === step.engine.id);
    if (earlierIndex >= 0) {
      stages.splice(earlierIndex + 1);
      const stage = stages[earlierIndex];
      if (stage) stage.layers.to = to;
    } else {
      stages.push({ engine: step.engine, layers: { from: step.from, to } });
    }
  });
  return stages;
}

/** Whether an engine may run a range of layers. The pinned engine runs its pinned layers only. */
function canRun(
  engine: ChainCandidate,
  from: number,
  to: number,
  pinned: ChainStage | undefined,
): boolean {
  if (pinned) {
    const isPinned = engine.id === pinned.engine.id;
    if (from < pinned.layers.to) return isPinned;
    if (isPinned) return false;
  }
  return engine.layers.from <= from && engine.layers.to >= to;
}

/**
 * Finds the cheapest chain by dynamic programming over the layers.
 *
 * @param engines - The engines that may be used; those whose layers aren't the model's are not.
 * @param request - The request and the conditions on the chain.
 * @returns The cheapest chain, or the first layer that no candidate may run.
 */
export function chooseChain<T extends ChainCandidate>(
  engines: readonly T[],
  request: ChainRequest,
): Chain<T> | NoChain {
  const { layerCount } = request.profile;
  const requestTokens = request.tokens.prompt + request.tokens.output;
  const candidates = engines.filter(({ layers }) => isWithinModel(layers, layerCount));
  const shareUses = computeShareUses(candidates, request.profile);
  const estimates = candidates.map((engine) =>
    estimateEngine(engine, request, shareUses.get(engine.id) ?? 0),
  );
  const boundaries = findBoundaries(candidates, layerCount, request.pinnedStage);
  let lastSteps: Step<T>[] = [];
  for (let index = 0; index + 1 < boundaries.length; index += 1) {
    const from = boundaries[index] ?? 0;
    const to = boundaries[index + 1] ?? layerCount;
    const eligible = estimates.filter(
      ({ engine }) =>
        canRun(engine, from, to, request.pinnedStage) &&
        (from > 0 || (request.canStartAt?.(engine.id) ?? true)),
    );
    if (eligible.length === 0) return { missingLayer: from };
    const previousSteps = lastSteps;
    lastSteps = eligible.flatMap((estimate): Step<T>[] => {
      const { engine, freeTokenLayers } = estimate;
      const hasSlot = from > 0 || engine.runningRequests < engine.slots;
      const isOverCapacity = !hasSlot || freeTokenLayers < requestTokens * (to - from);
      const millisecondsPerLayer =
        from === 0 ? estimate.firstMillisecondsPerLayer : estimate.millisecondsPerLayer;
      const ownCost =
        millisecondsPerLayer * (to - from) +
        (isOverCapacity ? OVER_CAPACITY_PENALTY_MILLISECONDS : 0);
      if (from === 0) {
        const cost = ownCost + (request.startPenaltyMilliseconds?.(engine.dataCentre) ?? 0);
        return [{ cost, engine, from, previous: undefined }];
      }
      let best: Step<T> | undefined;
      let bestCost = Number.POSITIVE_INFINITY;
      previousSteps.forEach((step) => {
        const handover =
          step.engine === engine ? 0 : handoverMilliseconds(step.engine, engine, request);
        if (step.cost + handover >= bestCost) return;
        bestCost = step.cost + handover;
        best = step;
      });
      return best ? [{ cost: bestCost + ownCost, engine, from, previous: best }] : [];
    });
    if (lastSteps.length === 0) return { missingLayer: from };
  }
  const [first, ...others] = lastSteps;
  if (!first) return { missingLayer: 0 };
  const last = others.reduce(
    (cheapest, step) => (step.cost < cheapest.cost ? step : cheapest),
    first,
  );
  const stages = mergeSteps(last, layerCount);
  const stageUses = stages.flatMap(({ engine }) => shareUses.get(engine.id) ?? []);
  return {
    stages,
    expectedMilliseconds: last.cost % OVER_CAPACITY_PENALTY_MILLISECONDS,
    isOverCapacity: last.cost >= OVER_CAPACITY_PENALTY_MILLISECONDS,
    ...(stageUses.length > 0 ? { highestShareUse: Math.max(...stageUses) } : {}),
  };
}
