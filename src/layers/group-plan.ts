/**
 * Plans a group of engines whose chains run within the group: those of a data centre, or of all of them.
 * If the service is idle or no engine holds layers, the group is planned from scratch where possible;
 * otherwise uncovered ranges are closed first, by single orders where they suffice, and engines that still have no
 * layers get some.
 */
import type { LayerRange } from '../fleet/server-entry.js';
import { closeGaps } from './coverage-gap-orders.js';
import { repairCoverage } from './coverage-repair.js';
import { planFromScratch } from './initial-placement.js';
import { countLayers, findUncoveredRanges } from './layer-ranges.js';
import type { LayerLimit, PlanConditions, PlannedEngine } from './planned-engine.js';
import { findRangeForNewEngine, planSpareGroup } from './spare-holders.js';
import { hasSpareMemory } from './spare-memory.js';

/** Options of {@link planGroup}. */
export interface GroupPlanOptions extends PlanConditions {
  /** Whether the service has had no requests recently. */
  readonly isIdle: boolean;
}

/**
 * Returns a sort position for each engine: the middle of its range, and for an engine without
 * layers the middle of the part that it could take of the largest uncovered range. The engines with
 * the highest limits are assigned first; an engine for which nothing is left gets no position.
 */
function findPositions(
  engines: readonly PlannedEngine[],
  uncovered: readonly LayerRange[],
  layerLimit: LayerLimit,
): Map<string, number> {
  const positions = new Map<string, number>();
  engines.forEach(({ id, layers }) => {
    if (layers) positions.set(id, (layers.from + layers.to) / 2);
  });
  const remaining = uncovered.map(({ from, to }) => ({ from, to }));
  engines
    .filter(({ layers }) => !layers)
    .sort((one, other) => layerLimit(other) - layerLimit(one))
    .forEach((engine) => {
      const [largest] = remaining.sort((one, other) => countLayers(other) - countLayers(one));
      if (!largest || countLayers(largest) <= 0) return;
      const taken = Math.min(countLayers(largest), layerLimit(engine));
      positions.set(engine.id, largest.from + taken / 2);
      largest.from += taken;
    });
  return positions;
}

/** Closes the uncovered ranges by moving several engines; undefined if they cannot hold every layer. */
function moveSeveral(
  engines: readonly PlannedEngine[],
  conditions: PlanConditions,
): ReadonlyMap<string, LayerRange> | undefined {
  const held = engines.flatMap(({ layers }) => layers ?? []);
  const uncovered = findUncoveredRanges(held, conditions.profile.layerCount);
  const positions = findPositions(engines, uncovered, conditions.layerLimit);
  const ordered = engines
    .filter(({ id }) => positions.has(id))
    .sort((one, other) => (positions.get(one.id) ?? 0) - (positions.get(other.id) ?? 0));
  return repairCoverage(ordered, conditions);
}

/** Returns the engines as they are planned once orders are given, which keeps their ranges as they are. */
function applyOrders(
  engines: readonly PlannedEngine[],
  orders: ReadonlyMap<string, LayerRange>,
): PlannedEngine[] {
  return engines.map((engine) => {
    const layers = orders.get(engine.id);
    return layers ? { ...engine, layers, hasOrderInProgress: true } : engine;
  });
}

/**
 * Returns the changed ranges that close the uncovered ones: by single orders where they suffice, and by moving
 * several engines where memory is scarce. There, what no set of engines can hold is left as it is.
 */
function closeUncovered(
  engines: readonly PlannedEngine[],
  uncovered: readonly LayerRange[],
  conditions: PlanConditions,
): ReadonlyMap<string, LayerRange> {
  const { closing, partial, isClosed } = closeGaps(engines, uncovered, conditions);
  if (isClosed) return closing;
  const isSpare = engines.every(({ dataCentre }) =>
    hasSpareMemory(engines, dataCentre, conditions.profile),
  );
  if (isSpare) return new Map([...closing, ...partial]);
  return (
    moveSeveral(applyOrders(engines, closing), conditions) ??
    moveSeveral(engines, conditions) ??
    closing
  );
}

/**
 * Plans a group of engines.
 *
 * @param engines - The engines, sorted by id.
 * @param options - The model's profile, the limit of each engine, and whether the service is idle.
 * @returns The range of each engine by id.
 */
export function planGroup(
  engines: readonly PlannedEngine[],
  options: GroupPlanOptions,
): Map<string, LayerRange> {
  const { profile, isIdle } = options;
  const isEmpty = engines.every(({ layers }) => layers === undefined);
  const initialPlan = isIdle || isEmpty ? planFromScratch(engines, options) : undefined;
  if (initialPlan) return initialPlan;
  const ranges = new Map(
    engines.flatMap(({ id, layers }) => (layers ? [[id, layers] as const] : [])),
  );
  const uncovered = findUncoveredRanges([...ranges.values()], profile.layerCount);
  if (uncovered.length > 0)
    closeUncovered(engines, uncovered, options).forEach((range, id) => ranges.set(id, range));
  const withoutLayers = engines.filter(
    ({ id, hasOrderInProgress }) => !ranges.has(id) && !hasOrderInProgress,
  );
  if (withoutLayers.length === 0) return ranges;
  const sparePlan = planSpareGroup(engines, profile);
  withoutLayers.forEach((engine) => {
    ranges.set(engine.id, findRangeForNewEngine(engine, { engines, ranges, profile }, sparePlan));
  });
  return ranges;
}
