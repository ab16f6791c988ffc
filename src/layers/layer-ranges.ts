/** Arithmetic on ranges of consecutive layers. */
import type { LayerRange } from '../fleet/server-entry.js';

/**
 * Whether a range is one of the model's. Handles odd entries, and engines that report such ranges; loops over
 * layers and choices among engines need not be bounded again.
 *
 * @param range - The range.
 * @param layerCount - Number of layers of the model.
 */
export function isWithinModel({ from, to }: LayerRange, layerCount: number): boolean {
  return from >= 0 && from < to && to <= layerCount;
}

/**
 * Counts the layers of a range.
 *
 * @param range - The range, or undefined for no layers.
 * @returns The number of layers.
 */
export function countLayers(range: LayerRange | undefined): number {
  return range ? range.to - range.from : 0;
}

/**
 * Counts the layers of a range that are not among the held ones.
 *
 * @param range - The range.
 * @param held - The held layers, if any.
 * @returns The number of layers in the range only.
 */
export function countNewLayers(range: LayerRange, held: LayerRange | undefined): number {
  if (!held) return countLayers(range);
  const kept = Math.min(range.to, held.to) - Math.max(range.from, held.from);
  return countLayers(range) - Math.max(0, kept);
}

/**
 * Finds the layers that none of the given ranges contains.
 *
 * @param ranges - The ranges, in any order; they may overlap. One that isn't the model's holds nothing.
 * @param layerCount - Number of layers of the model.
 * @returns The ranges of consecutive uncovered layers, in order.
 */
export function findUncoveredRanges(
  ranges: readonly LayerRange[],
  layerCount: number,
): LayerRange[] {
  const sorted = ranges
    .filter((range) => isWithinModel(range, layerCount))
    .sort((one, other) => one.from - other.from);
  const uncovered: LayerRange[] = [];
  let covered = 0;
  sorted.forEach(({ from, to }) => {
    if (from > covered) uncovered.push({ from: covered, to: from });
    covered = Math.max(covered, to);
  });
  if (covered < layerCount) uncovered.push({ from: covered, to: layerCount });
  return uncovered;
}
