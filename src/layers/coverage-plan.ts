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
import { maximumLayerCount, maximumLayerCountWithCache } from './engine-estimates.js';
import { planGroup, type GroupPlanOptions } from './group-plan.js';
import { findUncoveredRanges, isWithinModel } from './layer-ranges.js';
import type { LayerLimit, PlannedEngine } from './planned-engine.js';

// The system tests import it from here.
export { findUncoveredRanges } from './layer-ranges.js';

/** New layer ranges by engine id; engines whose range does not change are left out. */
export type CoveragePlan = ReadonlyMap<string, LayerRange>;

/**
 * An engine with KV cache for a smaller share of its slots refuses nearly all requests, so a chain
 * through another data centre serves more of them.
 */
const MINIMUM_SLOT_SHARE = 0.1;

/** Groups the engines that can hold layers by data centre, sorted by id; those with odd layers are left out. */
function groupByDataCentre(
  engines: readonly PlannedEngine[],
  profile: EngineProfile,
): PlannedEngine[][] {
  const groups = new Map<string, PlannedEngine[]>();
  [...engines]
    .filter(({ kind }) => maximumLayerCount(profile, kind) > 0)
    .filter(({ layers }) => !layers || isWithinModel(layers, profile.layerCount))
    .sort((one, other) => (one.id < other.id ? -1 : 1))
    .forEach((engine) => {
      const group = groups.get(engine.dataCentre) ?? [];
      group.push(engine);
      groups.set(engine.dataCentre, group);
    });
  return [...groups.values()];
}

function coversModel(plan: CoveragePlan, { layerCount }: EngineProfile): boolean {
  return findUncoveredRanges([...plan.values()], layerCount).length === 0;
}

/** Plans each data centre separately and returns the ranges of all engines by id. */
function planSeparately(
  groups: readonly (readonly PlannedEngine[])[],
  options: GroupPlanOptions,
): CoveragePlan {
  return new Map(groups.flatMap((group) => [...planGroup(group, options)]));
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
): CoveragePlan {
  const plans = layerLimits.map((layerLimit) =>
    planGroup(engines, { profile, layerLimit, isIdle: false }),
  );
  const whole = plans.find((plan) => coversModel(plan, profile));
  return whole ?? plans.at(-1) ?? new Map<string, LayerRange>();
}

/** Keeps the ranges that differ from those that the engines hold. */
function selectChanges(engines: readonly PlannedEngine[], plan: CoveragePlan): CoveragePlan {
  const changes = new Map<string, LayerRange>();
  engines.forEach(({ id, layers }) => {
    const range = plan.get(id);
    if (!range || (layers && layers.from === range.from && layers.to === range.to)) return;
    changes.set(id, range);
  });
  return changes;
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
  const groups = groupByDataCentre(engines, profile);
  const limitWithCache: LayerLimit = ({ kind, slots }) =>
    maximumLayerCountWithCache(profile, kind, MINIMUM_SLOT_SHARE * slots);
  const limitByMemory: LayerLimit = ({ kind }) => maximumLayerCount(profile, kind);
  const planWithCache = planSeparately(groups, { profile, isIdle, layerLimit: limitWithCache });
  if (coversModel(planWithCache, profile)) return selectChanges(engines, planWithCache);
  const planByMemory = planSeparately(groups, { profile, isIdle, layerLimit: limitByMemory });
  if (!canSpanDataCentres || coversModel(planByMemory, profile))
    return selectChanges(engines, planByMemory);
  const layerLimits = [limitWithCache, limitByMemory];
  return selectChanges(engines, planTogether(groups.flat(), profile, layerLimits));
}
