/**
 * Plans which layers each engine holds, so that the engines of each data centre together hold every
 * layer, if their memory suffices, and each keeps KV cache for as many requests as it has slots.
 * Layers that one data centre cannot hold are left to the others. Handles an empty fleet, which is
 * planned from scratch; the loss of an engine, whose layers the engines next to it take over as far
 * as their memory allows; the loss of engines in all data centres, none of which can then hold the
 * model by itself; and new engines without layers, which get the layers for which the least KV cache
 * exists.
 */
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { LayerRange } from '../fleet/server-entry.js';
import {
  cacheCapacityTokenLayers,
  maximumLayerCount,
  maximumLayerCountWithCache,
} from './engine-estimates.js';

/** An engine as the planner sees it. */
export interface PlannedEngine {
  readonly id: string;
  readonly dataCentre: string;
  /** Name of its accelerator kind. */
  readonly kind: string | undefined;
  /** Number of requests that it runs at once. */
  readonly slots: number;
  /** The layers that it holds or has been ordered to load. */
  readonly layers: LayerRange | undefined;
  /** The most requests that ran in its data centre at once, lately. */
  readonly peakRequests: number;
  /** Whether requests run on it; it waits for them to end before it drops layers. */
  readonly isInUse: boolean;
  /** Whether it is still carrying out an order, so that its layers cannot be changed now. */
  readonly hasOrderInProgress: boolean;
}

/** New layer ranges by engine id; engines whose range does not change are left out. */
export type CoveragePlan = ReadonlyMap<string, LayerRange>;

/**
 * Share of an engine's slots that its KV cache should serve. A lower share would leave memory for
 * more layers, which makes chains faster and tolerates the loss of engines better.
 */
const TARGET_SLOT_SHARE = 1;

/**
 * An engine with KV cache for a smaller share of its slots refuses nearly all requests, so a chain
 * through another data centre serves more of them.
 */
const MINIMUM_SLOT_SHARE = 0.1;

function lengthOf(range: LayerRange | undefined): number {
  return range ? range.to - range.from : 0;
}

/** Most layers that leave an engine enough KV cache for the target share of its slots. */
function targetLayerCount({ kind, slots }: PlannedEngine, profile: EngineProfile): number {
  return maximumLayerCountWithCache(profile, kind, TARGET_SLOT_SHARE * slots);
}

/** Returns the most layers that an engine may be given. */
type LayerLimit = (engine: PlannedEngine) => number;

/** Spare copies of the first layer for each copy of the model, so that these may be used unevenly. */
const FIRST_LAYER_RESERVE = 1.2;

/**
 * Plans a data centre's engines without regard to the layers they hold now. Each request occupies a
 * slot of the engine that runs its first layer, and only there; so the first layer is held by as many
 * engines as there are copies of the model, and some more. Returns undefined if the engines cannot
 * hold all layers within their limits.
 */
function planFromScratch(
  engines: readonly PlannedEngine[],
  profile: EngineProfile,
  layerLimit: LayerLimit,
): Map<string, LayerRange> | undefined {
  const { layerCount } = profile;
  const counts = new Map(engines.map((engine) => [engine.id, targetLayerCount(engine, profile)]));
  const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
  const wantedFirstEngines = Math.ceil((FIRST_LAYER_RESERVE * total) / layerCount);
  const smallestFirst = [...engines].sort(
    (one, other) => (counts.get(one.id) ?? 0) - (counts.get(other.id) ?? 0),
  );
  // The spread of the others gives the first layer to one engine at least.
  let extraCount = Math.min(wantedFirstEngines - 1, engines.length - 1);
  for (; extraCount >= 0; extraCount -= 1) {
    const extra = new Set(smallestFirst.slice(0, Math.max(0, extraCount)));
    const others = engines.filter((engine) => !extra.has(engine));
    const left = others.reduce((sum, { id }) => sum + (counts.get(id) ?? 0), 0);
    if (extraCount === 0 || left >= layerCount) {
      const plan = spreadEvenly(others, profile, layerLimit);
      extra.forEach(({ id }) => plan?.set(id, { from: 0, to: counts.get(id) ?? 1 }));
      return plan;
    }
  }
  return undefined;
}

/**
 * Spreads the layers over engines in the given order, each with as many layers as leave it the target
 * KV cache. Returns undefined if the engines cannot hold all layers within their limits.
 */
function spreadEvenly(
  engines: readonly PlannedEngine[],
  profile: EngineProfile,
  layerLimit: LayerLimit,
): Map<string, LayerRange> | undefined {
  const { layerCount } = profile;
  const capacities = engines.map((engine) => layerLimit(engine));
  const maximumTotal = capacities.reduce((sum, capacity) => sum + capacity, 0);
  if (maximumTotal < layerCount) return undefined;
  const counts = engines.map((engine) => targetLayerCount(engine, profile));
  let total = counts.reduce((sum, count) => sum + count, 0);
  while (total < layerCount) {
    // One more layer for the engine that is furthest below its limit in proportion.
    let nextEngine = 0;
    counts.forEach((count, index) => {
      const room = (capacities[index] ?? 0) / (count + 1);
      const best = (capacities[nextEngine] ?? 0) / ((counts[nextEngine] ?? 0) + 1);
      if (room > best) nextEngine = index;
    });
    counts[nextEngine] = (counts[nextEngine] ?? 0) + 1;
    total += 1;
  }
  const plan = new Map<string, LayerRange>();
  let taken = 0;
  engines.forEach((engine, index) => {
    const count = counts[index] ?? 0;
    const start = Math.min(layerCount - count, Math.floor((taken * layerCount) / total));
    plan.set(engine.id, { from: Math.max(0, start), to: Math.max(0, start) + count });
    taken += count;
  });
  return plan;
}

/** Returns the ranges of consecutive layers that none of the given ranges contains, in order. */
export function findUncoveredRanges(
  ranges: readonly LayerRange[],
  layerCount: number,
): LayerRange[] {
  const sorted = [...ranges].sort((one, other) => one.from - other.from);
  const uncovered: LayerRange[] = [];
  let covered = 0;
  sorted.forEach(({ from, to }) => {
    if (from > covered) uncovered.push({ from: covered, to: from });
    covered = Math.max(covered, to);
  });
  if (covered < layerCount) uncovered.push({ from: covered, to: layerCount });
  return uncovered;
}

/** Returns the range of `count` layers for which all engines together have the least KV cache. */
function findRangeWithLeastCache(
  engines: readonly PlannedEngine[],
  ranges: ReadonlyMap<string, LayerRange>,
  count: number,
  profile: EngineProfile,
): LayerRange {
  const cache = new Array<number>(profile.layerCount).fill(0);
  engines.forEach((engine) => {
    const range = ranges.get(engine.id);
    if (!range) return;
    const tokens = cacheCapacityTokenLayers(profile, engine.kind, range) / lengthOf(range);
    for (let layer = range.from; layer < range.to; layer += 1) {
      cache[layer] = (cache[layer] ?? 0) + tokens;
    }
  });
  let best = 0;
  let bestNeed = Number.NEGATIVE_INFINITY;
  for (let from = 0; from + count <= profile.layerCount; from += 1) {
    let need = 0;
    for (let layer = from; layer < from + count; layer += 1) need += 1 / (1 + (cache[layer] ?? 0));
    if (need > bestNeed) {
      bestNeed = need;
      best = from;
    }
  }
  return { from: best, to: best + count };
}

// Weights of the plan's cost, relative to loading one layer.
const LOAD_LAYER_COST = 1;
const DROP_LAYER_COST = 0.5;
const DROP_LAYER_IN_USE_COST = 3;
const CACHE_SHORTAGE_COST = 4;
/** The KV cache is considered short if it serves no more than this share of the engine's slots. */
const CACHE_SHORTAGE_SLOT_SHARE = 0.3;

/**
 * The cheapest plan found for the first engines in order, linked to the plan without the last one.
 */
interface PartialPlan {
  readonly cost: number;
  /** Range of the last of these engines. */
  readonly range: LayerRange | undefined;
  /** Number of layers, from layer 0 on, that are held without a gap. */
  readonly covered: number;
  readonly previous: PartialPlan | undefined;
}

/** Counts the layers of a range that are not among the held ones. */
function countNewLayers(range: LayerRange, held: LayerRange | undefined): number {
  if (!held) return lengthOf(range);
  const kept = Math.min(range.to, held.to) - Math.max(range.from, held.from);
  return lengthOf(range) - Math.max(0, kept);
}

/**
 * Cost of a range that leaves little KV cache; rises with the square of the shortage. The KV cache
 * should serve the requests that the data centre has at its peak, since one engine may be the only one
 * to hold a layer.
 */
function cacheShortageCost(
  engine: PlannedEngine,
  range: LayerRange,
  profile: EngineProfile,
): number {
  const requestTokens = profile.typicalPromptTokens + profile.typicalOutputTokens;
  const requests = Math.max(
    CACHE_SHORTAGE_SLOT_SHARE * engine.slots,
    Math.min(engine.slots, engine.peakRequests),
  );
  const needed = requests * requestTokens;
  const tokens = cacheCapacityTokenLayers(profile, engine.kind, range) / lengthOf(range);
  return CACHE_SHORTAGE_COST * (needed / Math.max(1, tokens)) ** 2;
}

/** Cost of giving an engine another range: layers to load, layers to drop, shortage of KV cache. */
function changeCost(
  engine: PlannedEngine,
  range: LayerRange | undefined,
  profile: EngineProfile,
): number {
  if (!range) return 0;
  const added = countNewLayers(range, engine.layers);
  const dropped = engine.layers ? countNewLayers(engine.layers, range) : 0;
  const dropCost = engine.isInUse ? DROP_LAYER_IN_USE_COST : DROP_LAYER_COST;
  return LOAD_LAYER_COST * added + dropCost * dropped + cacheShortageCost(engine, range, profile);
}

/**
 * Returns the range with which an engine continues the covered layers up to `to`, keeping as many
 * of its held layers as its capacity allows, or undefined if the capacity is too small.
 */
function extendRange(
  held: LayerRange | undefined,
  covered: number,
  to: number,
  capacity: number,
): LayerRange | undefined {
  if (held) {
    const extended = { from: Math.min(held.from, covered), to: Math.max(held.to, to) };
    if (lengthOf(extended) <= capacity) return extended;
  }
  if (to - covered > capacity) return undefined;
  const isTouching = held !== undefined && held.from <= covered && held.to > held.from;
  const from = isTouching ? Math.max(held.from, to - capacity) : covered;
  return { from, to };
}

/**
 * Moves the engines' ranges so that every layer is held, at the lowest cost of layers loaded and
 * dropped and of KV cache shortage. Dynamic programming over the engines in the given order;
 * returns undefined if the engines cannot hold every layer.
 */
function repairCoverage(
  engines: readonly PlannedEngine[],
  order: ReadonlyMap<string, number>,
  profile: EngineProfile,
  layerLimit: LayerLimit,
): Map<string, LayerRange> | undefined {
  const { layerCount } = profile;
  const sorted = [...engines].sort(
    (one, other) => (order.get(one.id) ?? 0) - (order.get(other.id) ?? 0),
  );
  let best = new Map<number, PartialPlan>([
    [0, { cost: 0, range: undefined, covered: 0, previous: undefined }],
  ]);
  sorted.forEach((engine) => {
    const { layers: held } = engine;
    const capacity = layerLimit(engine);
    // With fewer layers, the engine drops some on one side for those it takes over on the other.
    const capacityForDemand = maximumLayerCountWithCache(
      profile,
      engine.kind,
      Math.min(engine.slots, engine.peakRequests),
    );
    const capacities = [...new Set([capacity, Math.min(capacity, capacityForDemand)])];
    const next = new Map<number, PartialPlan>();
    const addIfCheaper = (
      from: PartialPlan,
      range: LayerRange | undefined,
      covered: number,
    ): void => {
      const cost = from.cost + (range === held ? 0 : changeCost(engine, range, profile));
      if (cost >= (next.get(covered)?.cost ?? Number.POSITIVE_INFINITY)) return;
      next.set(covered, { cost, range, covered, previous: from });
    };
    best.forEach((partialPlan, covered) => {
      const coveredWithHeld = held && held.from <= covered ? Math.max(covered, held.to) : covered;
      addIfCheaper(partialPlan, held, coveredWithHeld);
      if (engine.hasOrderInProgress) return;
      const lowestEnd = held && held.from <= covered ? Math.max(covered, held.to) + 1 : covered + 1;
      for (let to = lowestEnd; to <= Math.min(layerCount, covered + capacity); to += 1) {
        capacities.forEach((each) => {
          const range = extendRange(held, covered, to, each);
          if (range) addIfCheaper(partialPlan, range, Math.max(to, range.to));
        });
      }
    });
    best = next;
  });
  let last = best.get(layerCount);
  if (!last) return undefined;
  const ranges = new Map<string, LayerRange>();
  for (let index = sorted.length - 1; index >= 0 && last; index -= 1) {
    const engine = sorted[index];
    if (engine && last.range) ranges.set(engine.id, last.range);
    last = last.previous;
  }
  return ranges;
}

/**
 * Returns a sort position for each engine: the middle of its range, and for an engine without
 * layers the middle of the part that it could take of the largest uncovered range. The engines with
 * the highest limits are assigned first; an engine for which nothing is left gets no position.
 */
function orderEngines(
  engines: readonly PlannedEngine[],
  uncovered: readonly LayerRange[],
  layerLimit: LayerLimit,
): Map<string, number> {
  const order = new Map<string, number>();
  engines.forEach(({ id, layers }) => {
    if (layers) order.set(id, (layers.from + layers.to) / 2);
  });
  const remaining = uncovered.map(({ from, to }) => ({ from, to }));
  engines
    .filter(({ layers }) => !layers)
    .sort((one, other) => layerLimit(other) - layerLimit(one))
    .forEach((engine) => {
      const [largest] = remaining.sort((one, other) => lengthOf(other) - lengthOf(one));
      if (!largest || lengthOf(largest) <= 0) return;
      const taken = Math.min(lengthOf(largest), layerLimit(engine));
      order.set(engine.id, largest.from + taken / 2);
      largest.from += taken;
    });
  return order;
}

/**
 * Plans a data centre. If it is idle or holds no layers, it is planned from scratch where possible;
 * otherwise uncovered ranges are closed first, and engines that still have no layers get some.
 */
function planDataCentre(
  engines: readonly PlannedEngine[],
  profile: EngineProfile,
  isIdle: boolean,
  layerLimit: LayerLimit,
): Map<string, LayerRange> {
  const isEmpty = engines.every(({ layers }) => layers === undefined);
  const freshPlan = isIdle || isEmpty ? planFromScratch(engines, profile, layerLimit) : undefined;
  if (freshPlan) return freshPlan;
  const ranges = new Map<string, LayerRange>();
  engines.forEach(({ id, layers }) => {
    if (layers) ranges.set(id, layers);
  });
  const uncovered = findUncoveredRanges([...ranges.values()], profile.layerCount);
  if (uncovered.length > 0) {
    const order = orderEngines(engines, uncovered, layerLimit);
    const ordered = engines.filter(({ id }) => order.has(id));
    repairCoverage(ordered, order, profile, layerLimit)?.forEach((range, id) =>
      ranges.set(id, range),
    );
  }
  engines
    .filter(({ id, hasOrderInProgress }) => !ranges.has(id) && !hasOrderInProgress)
    .forEach((engine) => {
      const count = targetLayerCount(engine, profile);
      ranges.set(engine.id, findRangeWithLeastCache(engines, ranges, count, profile));
    });
  return ranges;
}

/** Plans each data centre separately and returns the ranges of all engines by id. */
function planDataCentres(
  groups: readonly (readonly PlannedEngine[])[],
  profile: EngineProfile,
  isIdle: boolean,
  layerLimit: LayerLimit,
): Map<string, LayerRange> {
  const plans = groups.map((group) => planDataCentre(group, profile, isIdle, layerLimit));
  return new Map(plans.flatMap((plan) => [...plan]));
}

/**
 * Plans the engines of all data centres as one group, whose chains cross between data centres.
 *
 * @param layerLimits - Tried in turn until every layer is held.
 */
function planTogether(
  engines: readonly PlannedEngine[],
  profile: EngineProfile,
  layerLimits: readonly LayerLimit[],
): Map<string, LayerRange> {
  const plans = layerLimits.map((limit) => planDataCentre(engines, profile, false, limit));
  const whole = plans.find(
    (plan) => findUncoveredRanges([...plan.values()], profile.layerCount).length === 0,
  );
  return whole ?? plans.at(-1) ?? new Map<string, LayerRange>();
}

/**
 * Plans the layer ranges of a service's engines. First tries to leave each engine a minimum of KV
 * cache; if some layer would then be held by no engine in any data centre, plans again with the
 * memory as the only limit, and if that isn't enough either, all data centres together, where allowed.
 *
 * @param engines - The service's engines, without lost and leaving ones.
 * @param profile - The service's profile.
 * @param isIdle - Whether the service has had no requests recently, so that a data centre may be
 *   planned from scratch.
 * @param canSpanDataCentres - Whether all data centres may be planned together. What is moved for that is in
 *   the way once engines that have crashed are back, so that it is for losses that last.
 * @returns The ranges that change.
 */
export function planCoverage(
  engines: readonly PlannedEngine[],
  profile: EngineProfile,
  isIdle: boolean,
  canSpanDataCentres = false,
): CoveragePlan {
  const groups = new Map<string, PlannedEngine[]>();
  [...engines]
    .filter(({ kind }) => maximumLayerCount(profile, kind) > 0)
    .sort((one, other) => (one.id < other.id ? -1 : 1))
    .forEach((engine) => {
      const group = groups.get(engine.dataCentre) ?? [];
      group.push(engine);
      groups.set(engine.dataCentre, group);
    });
  const limitWithCacheReserve: LayerLimit = ({ kind, slots }) =>
    maximumLayerCountWithCache(profile, kind, MINIMUM_SLOT_SHARE * slots);
  let planned = planDataCentres([...groups.values()], profile, isIdle, limitWithCacheReserve);
  if (findUncoveredRanges([...planned.values()], profile.layerCount).length > 0) {
    const limitByMemory: LayerLimit = ({ kind }) => maximumLayerCount(profile, kind);
    planned = planDataCentres([...groups.values()], profile, isIdle, limitByMemory);
    const isWhole = findUncoveredRanges([...planned.values()], profile.layerCount).length === 0;
    if (!isWhole && canSpanDataCentres)
      planned = planTogether([...groups.values()].flat(), profile, [
        limitWithCacheReserve,
        limitByMemory,
      ]);
  }
  const changes = new Map<string, LayerRange>();
  engines.forEach(({ id, layers }) => {
    const range = planned.get(id);
    if (!range || (layers && layers.from === range.from && layers.to === range.to)) return;
    changes.set(id, range);
  });
  return changes;
}
