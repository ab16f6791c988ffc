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
 * Returns the layers that two ranges have in common.
 *
 * @param one - A range, or undefined for no layers.
 * @param other - Another one.
 * @returns The common layers, or undefined if there are none.
 */
export function intersectRanges(
  one: LayerRange | undefined,
  other: LayerRange | undefined,
): LayerRange | undefined {
  if (!one || !other) return undefined;
  const common = { from: Math.max(one.from, other.from), to: Math.min(one.to, other.to) };
  return common.from < common.to ? common : undefined;
}

/**
 * Returns the parts of a range that another one does not contain.
 *
 * @param range - The range.
 * @param other - The layers to leave out.
 * @returns At most two ranges, in order.
 */
export function subtractRange({ from, to }: LayerRange, other: LayerRange): LayerRange[] {
  return [
    { from, to: Math.min(to, Math.max(from, other.from)) },
    { from: Math.max(from, Math.min(to, other.to)), to },
  ].filter((part) => part.from < part.to);
}

/** Whether two ranges have the same layers. */
export function isSameRange(one: LayerRange, other: LayerRange | undefined): boolean {
  return one.from === other?.from && one.to === other.to;
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
