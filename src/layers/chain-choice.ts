/**
 * Chooses the chain of engines for one request: every layer once and in order, over parts of what
 * the engines hold, by expected time. Answers steady load on unlike accelerators, where the least
 * loaded copy of each layer wins, and the loss of an engine, where the hole is led round through
 * overlaps and other data centres.
 */
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { LayerRange } from '../fleet/server-entry.js';
import { cacheCapacity, layerMilliseconds, type RequestTokens } from './engine-estimates.js';

/** An engine that may take part in a chain. */
export interface ChainCandidate {
  readonly id: string;
  readonly dataCentre: string;
  readonly kind: string | undefined;
  readonly layers: LayerRange;
  /** Requests under way. */
  readonly runningRequests: number;
  /** KV cache promised, in tokens times layers. */
  readonly reservedTokenLayers: number;
  readonly slowdownFactor: number;
}

/** One engine's part of a chain. */
export interface ChainStage<T extends ChainCandidate = ChainCandidate> {
  readonly engine: T;
  readonly layers: LayerRange;
}

/** A chain and what is expected of it. */
export interface Chain<T extends ChainCandidate = ChainCandidate> {
  readonly parts: readonly ChainStage<T>[];
  readonly expectedMilliseconds: number;
  /** Whether some engine has promised more KV cache than it has. */
  readonly isOverCapacity: boolean;
}

/** No chain: the layer that no candidate holds. */
export interface NoChain {
  readonly missingLayer: number;
}

/** What a chain is chosen for. */
export interface ChainRequest {
  readonly profile: EngineProfile;
  readonly tokens: RequestTokens;
  /** The first part, when it must stay as it is. */
  readonly pinnedStage?: ChainStage;
  /** The share in use of the link between two data centres. */
  readonly linkUtilisation?: (from: string, to: string) => number;
  /** Added to the cost of beginning in a data centre, in milliseconds. */
  readonly startPenaltyMilliseconds?: (dataCentre: string) => number;
}

/** Handing a token to the next engine, beside the link's delay. */
const HOP_MILLISECONDS_PER_TOKEN = 0.15;
/** A link between data centres is shared by all chains, so that crossing it must be worth it. */
const CROSSING_MILLISECONDS = 1000;
/** A link in use beyond this share is crossed only where nothing else is left. */
const BUSY_LINK_SHARE = 0.45;
const BUSY_LINK_MILLISECONDS = 15_000;
/** Grows an engine's expected time with its use of memory. */
const FILL_WEIGHT = 2;
const OVERFULL_MILLISECONDS = 100_000;

interface Step<T extends ChainCandidate> {
  readonly cost: number;
  readonly engine: T;
  readonly from: number;
  readonly previous: Step<T> | undefined;
}

function boundariesOf(
  candidates: readonly ChainCandidate[],
  layerCount: number,
  pinned: ChainStage | undefined,
): number[] {
  const boundaries = new Set([0, pinned?.layers.to ?? 0, layerCount]);
  candidates.forEach(({ layers }) => {
    boundaries.add(layers.from);
    boundaries.add(Math.min(layers.to, layerCount));
  });
  return [...boundaries].sort((left, right) => left - right);
}

interface Weighed<T extends ChainCandidate> {
  readonly engine: T;
  /** For one layer of the request. */
  readonly milliseconds: number;
  /** KV cache left, in tokens times layers. */
  readonly room: number;
}

function weigh<T extends ChainCandidate>(engine: T, request: ChainRequest): Weighed<T> {
  const { profile, tokens } = request;
  const capacity = cacheCapacity(profile, engine.kind, engine.layers);
  const fill = capacity > 0 ? engine.reservedTokenLayers / capacity : 1;
  const plain = layerMilliseconds(profile, engine.kind, tokens, engine.runningRequests);
  return {
    engine,
    milliseconds: plain * engine.slowdownFactor * (1 + FILL_WEIGHT * Math.min(1, fill)),
    room: capacity - engine.reservedTokenLayers,
  };
}

function hopMilliseconds(from: ChainCandidate, to: ChainCandidate, request: ChainRequest): number {
  const { profile, tokens } = request;
  const hop = HOP_MILLISECONDS_PER_TOKEN * tokens.answer;
  if (from.dataCentre === to.dataCentre) return hop;
  const bits = 8 * tokens.prompt * profile.activationBytesPerToken;
  const transfer = bits / (1000 * profile.dataCentreLinkMegabitsPerSecond);
  const use = request.linkUtilisation?.(from.dataCentre, to.dataCentre) ?? 0;
  const queueing = use > BUSY_LINK_SHARE ? BUSY_LINK_MILLISECONDS : CROSSING_MILLISECONDS * use;
  return hop + CROSSING_MILLISECONDS + transfer + queueing;
}

/** Turns the steps into parts; where a chain comes back to an engine, it stays there throughout. */
function toParts<T extends ChainCandidate>(last: Step<T>, layerCount: number): ChainStage<T>[] {
  const steps: Step<T>[] = [];
  for (let step: Step<T> | undefined = last; step; step = step.previous) steps.unshift(step);
  const parts: { engine: T; layers: { from: number; to: number } }[] = [];
  steps.forEach((step, index) => {
    const to = steps[index + 1]?.from ?? layerCount;
    const earlier = parts.findIndex(({ engine }) => engine.id === step.engine.id);
    if (earlier >= 0) {
      parts.splice(earlier + 1);
      const part = parts[earlier];
      if (part) part.layers.to = to;
    } else {
      parts.push({ engine: step.engine, layers: { from: step.from, to } });
    }
  });
  return parts;
}

/** Whether an engine may run a stretch of layers; the pinned one runs its own and no other. */
function mayHold(
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
 * Chooses a chain.
 *
 * @param candidates - The engines that may be used.
 * @param request - What the chain is for.
 * @returns The cheapest chain, or the first layer that nothing holds.
 */
export function chooseChain<T extends ChainCandidate>(
  candidates: readonly T[],
  request: ChainRequest,
): Chain<T> | NoChain {
  const { layerCount } = request.profile;
  const requestTokens = request.tokens.prompt + request.tokens.answer;
  const weighed = candidates.map((engine) => weigh(engine, request));
  const boundaries = boundariesOf(candidates, layerCount, request.pinnedStage);
  let reached: Step<T>[] = [];
  for (let index = 0; index + 1 < boundaries.length; index += 1) {
    const from = boundaries[index] ?? 0;
    const to = boundaries[index + 1] ?? layerCount;
    const holders = weighed.filter(({ engine }) => mayHold(engine, from, to, request.pinnedStage));
    if (holders.length === 0) return { missingLayer: from };
    const earlier = reached;
    reached = holders.map(({ engine, milliseconds, room }) => {
      const isOver = room < requestTokens * (to - from);
      const own = milliseconds * (to - from) + (isOver ? OVERFULL_MILLISECONDS : 0);
      if (from === 0) {
        const cost = own + (request.startPenaltyMilliseconds?.(engine.dataCentre) ?? 0);
        return { cost, engine, from, previous: undefined };
      }
      let best: Step<T> | undefined;
      let bestCost = Number.POSITIVE_INFINITY;
      earlier.forEach((step) => {
        const hop = step.engine === engine ? 0 : hopMilliseconds(step.engine, engine, request);
        if (step.cost + hop >= bestCost) return;
        bestCost = step.cost + hop;
        best = step;
      });
      return { cost: bestCost + own, engine, from, previous: best };
    });
  }
  const [first, ...others] = reached;
  if (!first) return { missingLayer: 0 };
  const last = others.reduce((least, step) => (step.cost < least.cost ? step : least), first);
  return {
    parts: toParts(last, layerCount),
    expectedMilliseconds: last.cost % OVERFULL_MILLISECONDS,
    isOverCapacity: last.cost >= OVERFULL_MILLISECONDS,
  };
}
