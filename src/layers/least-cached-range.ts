/** Finds the layers for which the least KV cache exists, so that a new engine takes these. */
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { LayerRange } from '../fleet/server-entry.js';
import { cacheCapacityTokenLayers } from './engine-estimates.js';
import { countLayers, isWithinModel } from './layer-ranges.js';
import type { PlannedEngine } from './planned-engine.js';

/**
 * Returns for how many tokens each layer has KV cache, over all engines.
 *
 * @param engines - The engines.
 * @param ranges - The range of each engine by id.
 * @param profile - The service's profile.
 */
export function sumCachedTokens(
  engines: readonly PlannedEngine[],
  ranges: ReadonlyMap<string, LayerRange>,
  profile: EngineProfile,
): number[] {
  const tokensByLayer = new Array<number>(profile.layerCount).fill(0);
  engines.forEach((engine) => {
    const range = ranges.get(engine.id);
    if (!range || !isWithinModel(range, profile.layerCount)) return;
    const tokens = cacheCapacityTokenLayers(profile, engine.kind, range) / countLayers(range);
    for (let layer = range.from; layer < range.to; layer += 1) {
      tokensByLayer[layer] = (tokensByLayer[layer] ?? 0) + tokens;
    }
  });
  return tokensByLayer;
}

/**
 * Counts the engines that hold each layer.
 *
 * @param ranges - The range of each engine by id.
 * @param layerCount - Number of layers of the model.
 */
export function countHolders(
  ranges: ReadonlyMap<string, LayerRange>,
  layerCount: number,
): number[] {
  const holders = new Array<number>(layerCount).fill(0);
  ranges.forEach((range) => {
    if (!isWithinModel(range, layerCount)) return;
    for (let layer = range.from; layer < range.to; layer += 1)
      holders[layer] = (holders[layer] ?? 0) + 1;
  });
  return holders;
}

/** What {@link findLeastCachedRange} searches. */
export interface LeastCachedRangeOptions {
  readonly engines: readonly PlannedEngine[];
  /** The range of each engine by id. */
  readonly ranges: ReadonlyMap<string, LayerRange>;
  readonly profile: EngineProfile;
  /** How many holders each layer should have; layers that lack some come first. 0 by default. */
  readonly wantedHolders?: number;
}

/**
 * Finds the range for which all engines together have the least KV cache.
 *
 * @param count - Number of layers of the range.
 * @param options - The engines and their ranges.
 * @returns The range; of several with as little, the first.
 */
export function findLeastCachedRange(
  count: number,
  { engines, ranges, profile, wantedHolders = 0 }: LeastCachedRangeOptions,
): LayerRange {
  const holders = countHolders(ranges, profile.layerCount);
  // A missing holder counts more than the KV cache of any layer that is held.
  const needByLayer = sumCachedTokens(engines, ranges, profile).map(
    (tokens, layer) => 1 / (1 + tokens) + Math.max(0, wantedHolders - (holders[layer] ?? 0)),
  );
  let best = 0;
  let bestNeed = Number.NEGATIVE_INFINITY;
  for (let from = 0; from + count <= profile.layerCount; from += 1) {
    const need = needByLayer.slice(from, from + count).reduce((sum, each) => sum + each, 0);
    if (need > bestNeed) {
      bestNeed = need;
      best = from;
    }
  }
  return { from: best, to: best + count };
}
