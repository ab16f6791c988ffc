/**
 * Moves engines' ranges so that every layer is held, at the lowest cost of layers loaded and dropped
 * and of KV cache shortage. Dynamic programming over the engines in a given order.
 */
import type { LayerRange } from '../fleet/server-entry.js';
import { maximumLayerCountWithCache } from './engine-estimates.js';
import { layerChangeCost } from './layer-change-cost.js';
import { countLayers } from './layer-ranges.js';
import type { PlanConditions, PlannedEngine } from './planned-engine.js';

/** An engine's range after which the layers up to `covered` are held without a gap. */
interface Extension {
  readonly range: LayerRange | undefined;
  /** Number of layers, from layer 0 on, that are held without a gap. */
  readonly covered: number;
}

/**
 * The cheapest plan found for the first engines in order, linked to the plan without the last one; its
 * range is that of the last of these engines.
 */
interface PartialPlan extends Extension {
  readonly cost: number;
  readonly previous: PartialPlan | undefined;
}

/** The cheapest plan for each number of covered layers. */
type PartialPlans = ReadonlyMap<number, PartialPlan>;

/** How many layers a range may have, and up to which layer it may reach. */
interface ExtensionLimits {
  /** The engine's limit, then smaller ones. */
  readonly capacities: readonly [number, ...number[]];
  readonly layerCount: number;
}

/**
 * Returns the engine's limit, and the number of layers that leaves KV cache for the requests at the
 * peak if that is smaller. With fewer layers, the engine drops some on one side for those it takes over
 * on the other.
 */
function listCapacities(
  engine: PlannedEngine,
  { profile, layerLimit }: PlanConditions,
): [number, ...number[]] {
  const capacity = layerLimit(engine);
  const peakRequests = Math.min(engine.slots, engine.peakRequests);
  const capacityAtPeak = maximumLayerCountWithCache(profile, engine.kind, peakRequests);
  return capacityAtPeak < capacity ? [capacity, capacityAtPeak] : [capacity];
}

/**
 * Returns the range with which an engine continues the covered layers up to `to`, keeping as many
 * of its held layers as its capacity allows, or undefined if the capacity is too small.
 */
function extendRange(
  held: LayerRange | undefined,
  { from: covered, to }: LayerRange,
  capacity: number,
): LayerRange | undefined {
  if (held) {
    const extended = { from: Math.min(held.from, covered), to: Math.max(held.to, to) };
    if (countLayers(extended) <= capacity) return extended;
  }
  if (to - covered > capacity) return undefined;
  const isTouching = held !== undefined && held.from <= covered && held.to > held.from;
  const from = isTouching ? Math.max(held.from, to - capacity) : covered;
  return { from, to };
}

/** Lists the ranges that an engine may have once the first layers are covered; the held one comes first. */
function listExtensions(
  { layers: held, hasOrderInProgress }: PlannedEngine,
  covered: number,
  { capacities, layerCount }: ExtensionLimits,
): Extension[] {
  const coveredWithHeld = held && held.from <= covered ? Math.max(covered, held.to) : covered;
  const extensions: Extension[] = [{ range: held, covered: coveredWithHeld }];
  if (hasOrderInProgress) return extensions;
  const highestEnd = Math.min(layerCount, covered + capacities[0]);
  for (let to = coveredWithHeld + 1; to <= highestEnd; to += 1) {
    capacities.forEach((capacity) => {
      const range = extendRange(held, { from: covered, to }, capacity);
      if (range) extensions.push({ range, covered: Math.max(to, range.to) });
    });
  }
  return extensions;
}

/** Adds an engine to the plans of the engines before it. */
function addEngine(
  plans: PartialPlans,
  engine: PlannedEngine,
  conditions: PlanConditions,
): PartialPlans {
  const { profile } = conditions;
  const capacities = listCapacities(engine, conditions);
  const limits = { capacities, layerCount: profile.layerCount };
  const cheapest = new Map<number, PartialPlan>();
  plans.forEach((previous) => {
    listExtensions(engine, previous.covered, limits).forEach(({ range, covered }) => {
      const change = range === engine.layers ? 0 : layerChangeCost(engine, range, profile);
      const cost = previous.cost + change;
      if (cost >= (cheapest.get(covered)?.cost ?? Number.POSITIVE_INFINITY)) return;
      cheapest.set(covered, { cost, range, covered, previous });
    });
  });
  return cheapest;
}

/** Returns the ranges of a whole plan, whose last range is that of the last engine. */
function collectRanges(
  wholePlan: PartialPlan,
  engines: readonly PlannedEngine[],
): Map<string, LayerRange> {
  const ranges = new Map<string, LayerRange>();
  let plan: PartialPlan | undefined = wholePlan;
  [...engines].reverse().forEach(({ id }) => {
    if (plan?.range) ranges.set(id, plan.range);
    plan = plan?.previous;
  });
  return ranges;
}

/**
 * Moves the engines' ranges so that every layer is held, at the lowest cost.
 *
 * @param engines - The engines, in the order in which they are to hold the layers.
 * @param conditions - The model's profile and the limit of each engine.
 * @returns The range of each engine by id, or undefined if the engines cannot hold every layer.
 */
export function repairCoverage(
  engines: readonly PlannedEngine[],
  conditions: PlanConditions,
): Map<string, LayerRange> | undefined {
  const start: PartialPlan = { cost: 0, range: undefined, covered: 0, previous: undefined };
  const plans = engines.reduce<PartialPlans>(
    (partialPlans, engine) => addEngine(partialPlans, engine, conditions),
    new Map([[0, start]]),
  );
  const wholePlan = plans.get(conditions.profile.layerCount);
  return wholePlan && collectRanges(wholePlan, engines);
}
