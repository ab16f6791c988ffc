/** The cost of giving an engine another range: layers to load, layers to drop, shortage of KV cache. */
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { LayerRange } from '../fleet/server-entry.js';
import { cacheCapacityTokenLayers } from './engine-estimates.js';
import { countLayers, countNewLayers } from './layer-ranges.js';
import type { PlannedEngine } from './planned-engine.js';

// Weights of the cost, relative to loading one layer.
const LOAD_LAYER_COST = 1;
const DROP_LAYER_COST = 0.5;
const DROP_LAYER_IN_USE_COST = 3;
const CACHE_SHORTAGE_COST = 4;
/** The KV cache is considered short if it serves no more than this share of the engine's slots. */
export const CACHE_SHORTAGE_SLOT_SHARE = 0.3;

/**
 * Returns for how many requests at once an engine's KV cache should suffice.
 *
 * @param engine - The engine.
 */
export function countCachedRequests({ slots, peakRequests }: PlannedEngine): number {
  return Math.max(CACHE_SHORTAGE_SLOT_SHARE * slots, Math.min(slots, peakRequests));
}

/**
 * Cost of a range that leaves little KV cache; rises with the square of the shortage. The KV cache
 * should serve the requests that the data centre has at its peak, since one engine may be the only one
 * to hold a layer.
 */
function cacheShortageCost(
  engine: PlannedEngine,
  range: LayerRange,
  profile: EngineProfile,
): number {
  const requestTokens = profile.typicalPromptTokens + profile.typicalOutputTokens;
  const needed = countCachedRequests(engine) * requestTokens;
  const tokens = cacheCapacityTokenLayers(profile, engine.kind, range) / countLayers(range);
  return CACHE_SHORTAGE_COST * (needed / Math.max(1, tokens)) ** 2;
}

/**
 * Computes the cost of giving an engine another range.
 *
 * @param engine - The engine with the layers that it holds now.
 * @param range - The new range; no range costs nothing.
 * @param profile - The service's profile.
 * @returns The cost, relative to loading one layer.
 */
export function layerChangeCost(
  engine: PlannedEngine,
  range: LayerRange | undefined,
  profile: EngineProfile,
): number {
  if (!range) return 0;
  const added = countNewLayers(range, engine.layers);
  const dropped = engine.layers ? countNewLayers(engine.layers, range) : 0;
  const dropCost = engine.isInUse ? DROP_LAYER_IN_USE_COST : DROP_LAYER_COST;
  return LOAD_LAYER_COST * added + dropCost * dropped + cacheShortageCost(engine, range, profile);
}
