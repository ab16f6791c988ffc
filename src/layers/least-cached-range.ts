/** Finds the layers for which the least KV cache exists, so that a new engine takes these. */
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { LayerRange } from '../fleet/server-entry.js';
import { cacheCapacityTokenLayers } from './engine-estimates.js';
import { countLayers, isWithinModel } from './layer-ranges.js';
import type { PlannedEngine } from './planned-engine.js';

/** Returns for how many tokens each layer has KV cache, over all engines. */
function sumCachedTokens(
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

/** Returns how much a range needs another engine: the less KV cache its layers have, the more. */
function computeNeed(tokensByLayer: readonly number[], { from, to }: LayerRange): number {
  return tokensByLayer.slice(from, to).reduce((need, tokens) => need + 1 / (1 + tokens), 0);
}

/** What {@link findLeastCachedRange} searches. */
export interface LeastCachedRangeOptions {
  readonly engines: readonly PlannedEngine[];
  /** The range of each engine by id. */
  readonly ranges: ReadonlyMap<string, LayerRange>;
  readonly profile: EngineProfile;
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
  { engines, ranges, profile }: LeastCachedRangeOptions,
): LayerRange {
  const tokensByLayer = sumCachedTokens(engines, ranges, profile);
  let best = 0;
  let bestNeed = Number.NEGATIVE_INFINITY;
  for (let from = 0; from + count <= profile.layerCount; from += 1) {
    const need = computeNeed(tokensByLayer, { from, to: from + count });
    if (need > bestNeed) {
      bestNeed = need;
      best = from;
    }
  }
  return { from: best, to: best + count };
}
