/**
 * Holds back changes that would leave layers without an engine until others hold them. Handles a repair that
 * moves several ranges at once, whose orders are carried out at different times.
 */
import type { LayerRange } from '../fleet/server-entry.js';
import { findUncoveredRanges, isWithinModel } from './layer-ranges.js';

/** An engine and the layers that it holds now. */
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
