/**
 * Holds back changes that would leave layers without an engine until others hold them. Handles a repair that
 * moves several ranges at once, whose orders are carried out at different times: two orders of one round could
 * each rely on the other's engine to hold the layers.
 */
import type { LayerRange } from '../fleet/server-entry.js';
import { findUncoveredRanges, intersectRanges, isWithinModel } from './layer-ranges.js';

/** An engine and the layers that it holds now and that no order in progress makes it drop. */
export interface LayerHolder {
  readonly id: string;
  readonly dataCentre: string;
  readonly layers: LayerRange | undefined;
}

/** A change of one engine's layers. */
export interface LayerChange {
  readonly id: string;
  readonly layers: LayerRange;
}

/** On what the guard decides. */
export interface GuardConditions {
  /** Number of layers of the model. */
  readonly layerCount: number;
  /** Whether a data centre that lacks layers may rely on the others for more of them. */
  readonly canSpanDataCentres: boolean;
}

function listRanges(holders: readonly LayerHolder[], layerCount: number): LayerRange[] {
  return holders
    .flatMap(({ layers }) => layers ?? [])
    .filter((range) => isWithinModel(range, layerCount));
}

function contains({ from, to }: LayerRange, layer: number): boolean {
  return from <= layer && layer < to;
}

/**
 * Tells whether a change would drop layers that no other engine of the data centre holds. Where data centres
 * are planned together, engines of all data centres count, unless its own hold the whole model.
 *
 * @param change - The change.
 * @param holders - The service's engines, without lost ones.
 * @param conditions - The model, and whether data centres are planned together.
 */
export function wouldUncoverLayers(
  { id, layers: planned }: LayerChange,
  holders: readonly LayerHolder[],
  { layerCount, canSpanDataCentres }: GuardConditions,
): boolean {
  const changed = holders.find((holder) => holder.id === id);
  const held = changed?.layers;
  if (!held || !isWithinModel(held, layerCount)) return false;
  const local = holders.filter(({ dataCentre }) => dataCentre === changed.dataCentre);
  const isWholeLocally =
    findUncoveredRanges(listRanges(local, layerCount), layerCount).length === 0;
  const relevant = isWholeLocally || !canSpanDataCentres ? local : holders;
  const others = relevant.filter((holder) => holder.id !== id);
  const otherRanges = listRanges(others, layerCount);
  for (let layer = held.from; layer < held.to; layer += 1) {
    const isHeldElsewhere = otherRanges.some((range) => contains(range, layer));
    if (!contains(planned, layer) && !isHeldElsewhere) return true;
  }
  return false;
}

/** Changes that may be ordered now, and those that must wait. */
export interface GuardedChanges {
  readonly allowed: readonly LayerChange[];
  /** Changes that would leave layers without an engine. */
  readonly heldBack: readonly LayerChange[];
  /** Changes that are beyond the number of concurrent loads. */
  readonly beyondLimit: readonly LayerChange[];
}

/**
 * Checks the changes of one round in sequence. Layers that an allowed change drops no longer count as held by its
 * engine, and those that it adds don't count yet.
 *
 * @param changes - The changes, the most urgent first.
 * @param holders - The service's engines, without lost ones.
 * @param conditions - The model, whether data centres are planned together, and how many changes may be allowed.
 */
export function selectSafeChanges(
  changes: readonly LayerChange[],
  holders: readonly LayerHolder[],
  conditions: GuardConditions & { readonly limit: number },
): GuardedChanges {
  const allowed: LayerChange[] = [];
  const heldBack: LayerChange[] = [];
  const beyondLimit: LayerChange[] = [];
  let current = holders;
  changes.forEach((change) => {
    if (allowed.length >= conditions.limit) {
      beyondLimit.push(change);
    } else if (wouldUncoverLayers(change, current, conditions)) {
      heldBack.push(change);
    } else {
      allowed.push(change);
      current = current.map((holder) =>
        holder.id === change.id
          ? { ...holder, layers: intersectRanges(holder.layers, change.layers) }
          : holder,
      );
    }
  });
  return { allowed, heldBack, beyondLimit };
}
