/**
 * Plans engines without regard to the layers they hold now. Each request occupies a slot of the engine
 * that runs its first layer, and only there; so the first layer is held by as many engines as there are
 * copies of the model, and some more. A data centre with spare memory is planned by `spare-holders` instead.
 */
import type { LayerRange } from '../fleet/server-entry.js';
import { targetLayerCount, type PlanConditions, type PlannedEngine } from './planned-engine.js';
import { planSpareGroup } from './spare-holders.js';

/** Spare copies of the first layer for each copy of the model, so that these may be used unevenly. */
const FIRST_LAYER_RESERVE = 1.2;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Returns the index of the engine that is furthest below its limit in proportion. */
function findMostRoom(counts: readonly number[], capacities: readonly number[]): number {
  let mostRoom = 0;
  counts.forEach((count, index) => {
    const room = (capacities[index] ?? 0) / (count + 1);
    const best = (capacities[mostRoom] ?? 0) / ((counts[mostRoom] ?? 0) + 1);
    if (room > best) mostRoom = index;
  });
  return mostRoom;
}

/**
 * Returns how many layers each engine gets: as many as leave it the target KV cache, and more where the
 * engines together would not hold every layer.
 */
function chooseLayerCounts(
  engines: readonly PlannedEngine[],
  capacities: readonly number[],
  { profile }: PlanConditions,
): number[] {
  const counts = engines.map((engine) => targetLayerCount(engine, profile));
  let total = sum(counts);
  while (total < profile.layerCount) {
    const index = findMostRoom(counts, capacities);
    counts[index] = (counts[index] ?? 0) + 1;
    total += 1;
  }
  return counts;
}

/**
 * Spreads the layers evenly over engines in the given order. Returns undefined if the engines cannot
 * hold all layers within their limits.
 */
function spreadEvenly(
  engines: readonly PlannedEngine[],
  conditions: PlanConditions,
): Map<string, LayerRange> | undefined {
  const { layerCount } = conditions.profile;
  const capacities = engines.map((engine) => conditions.layerLimit(engine));
  if (sum(capacities) < layerCount) return undefined;
  const counts = chooseLayerCounts(engines, capacities, conditions);
  const total = sum(counts);
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

/**
 * Returns how many of the smallest engines hold the first layers in addition to the one that gets them
 * when the others are spread, such that the others still hold every layer; negative without layers.
 *
 * @param ascendingCounts - Number of layers of each engine, the smallest first.
 */
function countExtraFirstEngines(ascendingCounts: readonly number[], layerCount: number): number {
  const wantedFirstEngines = Math.ceil((FIRST_LAYER_RESERVE * sum(ascendingCounts)) / layerCount);
  let extraCount = Math.min(wantedFirstEngines - 1, ascendingCounts.length - 1);
  while (extraCount > 0 && sum(ascendingCounts.slice(extraCount)) < layerCount) extraCount -= 1;
  return extraCount;
}

/**
 * Plans engines as if they held no layers.
 *
 * @param engines - The engines, in the order in which the layers are spread over them.
 * @param conditions - The model's profile and the limit of each engine.
 * @returns The range of each engine by id, or undefined if the engines cannot hold all layers within
 *   their limits.
 */
export function planFromScratch(
  engines: readonly PlannedEngine[],
  conditions: PlanConditions,
): Map<string, LayerRange> | undefined {
  const { profile } = conditions;
  const sparePlan = planSpareGroup(engines, profile);
  if (sparePlan) return sparePlan;
  const sized = engines.map((engine) => ({ engine, count: targetLayerCount(engine, profile) }));
  const smallestFirst = [...sized].sort((one, other) => one.count - other.count);
  const ascendingCounts = smallestFirst.map(({ count }) => count);
  const extraCount = countExtraFirstEngines(ascendingCounts, profile.layerCount);
  if (extraCount < 0) return undefined;
  const extra = new Map(
    smallestFirst.slice(0, extraCount).map(({ engine, count }) => [engine, count]),
  );
  const others = engines.filter((engine) => !extra.has(engine));
  const plan = spreadEvenly(others, conditions);
  extra.forEach((count, { id }) => plan?.set(id, { from: 0, to: count }));
  return plan;
}
