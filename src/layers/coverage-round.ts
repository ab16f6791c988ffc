/**
 * Decides which orders of a plan a round sends. Handles several gaps at once and plans of several moves: orders that
 * close a gap go first, no order drops a layer that no other engine holds, and a service has no more loads at once than
 * engines can load at full rate, since beyond that each takes longer and none is completed in time.
 */
import type { EngineProfile } from '../entry/serving-configuration.js';
import { selectSafeChanges, type LayerChange, type LayerHolder } from './coverage-guard.js';
import { planCoverage } from './coverage-plan.js';
import { findUncoveredRanges, intersectRanges } from './layer-ranges.js';
import { getServedLayers, type PlannedEngine } from './planned-engine.js';

/** What a round knows of a service. */
export interface RoundConditions {
  readonly profile: EngineProfile;
  /** Whether the service has had no requests recently. */
  readonly isIdle: boolean;
  /** Whether all data centres may be planned together. */
  readonly canSpanDataCentres: boolean;
  /** Number of orders that the service's engines are carrying out. */
  readonly ordersInProgress: number;
}

/** The decision of a round. */
export interface CoverageRound {
  /** The orders to send now. */
  readonly orders: readonly LayerChange[];
  /** Orders that would leave layers without an engine. */
  readonly heldBack: readonly LayerChange[];
  /** Orders that wait for those in progress. */
  readonly waiting: readonly LayerChange[];
  /** Whether the service is planned from scratch. */
  readonly isInitial: boolean;
}

/** Lists the engines with the layers that they hold now and go on holding. */
function listHolders(engines: readonly PlannedEngine[]): LayerHolder[] {
  return engines.map((engine) => ({
    id: engine.id,
    dataCentre: engine.dataCentre,
    layers: getServedLayers(engine),
  }));
}

/** Tells whether an order adds layers that no engine of its data centre, or of any, holds or is loading. */
function createGapTest(
  engines: readonly PlannedEngine[],
  layerCount: number,
): (change: LayerChange) => boolean {
  const dataCentreById = new Map(engines.map(({ id, dataCentre }) => [id, dataCentre]));
  const gaps = new Map(
    [...new Set(dataCentreById.values())].map((name) => {
      const local = engines.filter(({ dataCentre }) => dataCentre === name);
      const ranges = local.flatMap(({ layers }) => layers ?? []);
      return [name, findUncoveredRanges(ranges, layerCount)];
    }),
  );
  return ({ id, layers }) =>
    (gaps.get(dataCentreById.get(id) ?? '') ?? []).some((gap) => intersectRanges(gap, layers));
}

/** Sorts by what no data centre holds, then by what the engine's own data centre lacks. */
function sortByUrgency(
  changes: readonly LayerChange[],
  engines: readonly PlannedEngine[],
  layerCount: number,
): { readonly urgent: LayerChange[]; readonly others: LayerChange[] } {
  const lackedEverywhere = findUncoveredRanges(
    engines.flatMap(({ layers }) => layers ?? []),
    layerCount,
  );
  const closesGap = createGapTest(engines, layerCount);
  const isLackedEverywhere = ({ layers }: LayerChange): boolean =>
    lackedEverywhere.some((gap) => intersectRanges(gap, layers) !== undefined);
  const gapOrders = changes.filter((change) => closesGap(change));
  return {
    urgent: [
      ...gapOrders.filter((change) => isLackedEverywhere(change)),
      ...gapOrders.filter((change) => !isLackedEverywhere(change)),
    ],
    others: changes.filter((change) => !closesGap(change)),
  };
}

/**
 * Decides on a round of orders.
 *
 * @param engines - The service's engines, without lost ones and with the orders in progress applied.
 * @param conditions - The service.
 */
export function decideCoverageRound(
  engines: readonly PlannedEngine[],
  { profile, isIdle, canSpanDataCentres, ordersInProgress }: RoundConditions,
): CoverageRound {
  const { layerCount, concurrentLoads } = profile;
  const idsWithOrder = new Set(
    engines.filter(({ hasOrderInProgress }) => hasOrderInProgress).map(({ id }) => id),
  );
  const changes = [...planCoverage(engines, profile, isIdle, canSpanDataCentres)]
    .map(([id, layers]) => ({ id, layers }))
    .filter(({ id }) => !idsWithOrder.has(id));
  const isInitial = isIdle || engines.every(({ layers }) => layers === undefined);
  if (isInitial || changes.length === 0)
    return { orders: changes, heldBack: [], waiting: [], isInitial };
  const { urgent, others } = sortByUrgency(changes, engines, layerCount);
  const holders = listHolders(engines);
  const limit = Math.max(0, concurrentLoads - ordersInProgress);
  const conditions = { layerCount, canSpanDataCentres, limit };
  const closing = selectSafeChanges(urgent, holders, conditions);
  const hasRange = new Set(engines.filter(({ layers }) => layers).map(({ id }) => id));
  const moves = others.filter(({ id }) => hasRange.has(id));
  const firstRanges = others.filter(({ id }) => !hasRange.has(id));
  // An order that is held back waits for those in progress; loading an empty engine would delay it further.
  const isAwaited = closing.heldBack.length > 0 && ordersInProgress + closing.allowed.length > 0;
  const following = isAwaited ? moves : [...moves, ...firstRanges];
  const { allowed, heldBack, beyondLimit } = selectSafeChanges(
    [...closing.allowed, ...following],
    holders,
    conditions,
  );
  return {
    orders: allowed,
    heldBack: [...closing.heldBack, ...heldBack],
    waiting: [...closing.beyondLimit, ...beyondLimit],
    isInitial,
  };
}
