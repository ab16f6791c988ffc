/**
 * Holds back changes that would leave layers without an engine until others hold them. Handles a repair that
 * moves several ranges at once, whose orders are carried out at different times.
 */
import type { LayerRange } from '../fleet/server-entry.js';
import { findUncoveredRanges } from './coverage-plan.js';

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

function listRanges(holders: readonly LayerHolder[]): LayerRange[] {
  return holders.flatMap(({ layers }) => layers ?? []);
}

function contains({ from, to }: LayerRange, layer: number): boolean {
  return from <= layer && layer < to;
}

/**
 * Tells whether a change would drop layers that no other engine holds. While a data centre holds the whole
 * model, its own engines must go on holding it; one that doesn't relies on the others, so that all count.
 *
 * @param change - The change.
 * @param holders - The service's engines, without lost ones.
 * @param layerCount - Number of layers of the model.
 */
export function wouldUncoverLayers(
  { id, layers: planned }: LayerChange,
  holders: readonly LayerHolder[],
  layerCount: number,
): boolean {
  const changed = holders.find((holder) => holder.id === id);
  const held = changed?.layers;
  if (!held) return false;
  const local = holders.filter(({ dataCentre }) => dataCentre === changed.dataCentre);
  const isWholeLocally = findUncoveredRanges(listRanges(local), layerCount).length === 0;
  const others = (isWholeLocally ? local : holders).filter((holder) => holder.id !== id);
  const otherRanges = listRanges(others);
  for (let layer = held.from; layer < held.to; layer += 1) {
    const isHeldElsewhere = otherRanges.some((range) => contains(range, layer));
    if (!contains(planned, layer) && !isHeldElsewhere) return true;
  }
  return false;
}
