/**
 * Limits each engine's share of the chains in progress in its data centre. Without it the cheapest engines become
 * stages of a third of all chains, so that the crash or the slowness of one of them affects every third stream. An
 * engine's limit is twice the mean of the engines that hold its layers in its data centre. There is no limit where
 * some of its layers have no other holder, or where the data centre has no spare memory.
 */
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { LayerRange } from '../fleet/server-entry.js';
import { hasSpareMemory, type EngineMemory } from './spare-memory.js';

/** An engine that holds layers, with its load. */
export interface LoadedEngine extends EngineMemory {
  readonly id: string;
  /** The layers that it holds, within the model. */
  readonly layers: LayerRange;
  /** Requests of all instances that run on it. */
  readonly runningRequests: number;
}

/** The limit as a multiple of the mean of the engines that hold the same layers. */
const MEAN_MULTIPLE = 2;
/** With fewer requests in progress, whole requests differ from the mean by more than the limit. */
const MINIMUM_LIMIT_REQUESTS = 2;
/** Use of the limit from which the cost rises; the rest is for chains of peers whose records have not arrived. */
const COST_FROM_USE = 0.8;
/**
 * Added for each whole use above that. At the limit it is 8, which outweighs the lower cost of engines that are several
 * times faster than the others.
 */
const COST_PER_USE = 40;
/** As much as a nearly full KV cache adds, and far below what would mark a chain over capacity. */
const MAXIMUM_COST = 40;

/** Sums over the layers up to each layer, so that a limit takes no loop over the engine's layers. */
interface LayerSums {
  /** Of the mean requests that the holders of a layer would run with one more chain. */
  readonly means: readonly number[];
  /** Of the layers with one holder. */
  readonly soleHolders: readonly number[];
}

function sumByLayer(engines: readonly LoadedEngine[], layerCount: number): LayerSums {
  const holders = new Array<number>(layerCount).fill(0);
  const requests = new Array<number>(layerCount).fill(0);
  engines.forEach(({ layers, runningRequests }) => {
    for (let layer = layers.from; layer < layers.to; layer += 1) {
      holders[layer] = (holders[layer] ?? 0) + 1;
      requests[layer] = (requests[layer] ?? 0) + runningRequests;
    }
  });
  const means = [0];
  const soleHolders = [0];
  holders.forEach((count, layer) => {
    const mean = count > 0 ? ((requests[layer] ?? 0) + 1) / count : 0;
    means.push((means[layer] ?? 0) + mean);
    soleHolders.push((soleHolders[layer] ?? 0) + (count === 1 ? 1 : 0));
  });
  return { means, soleHolders };
}

/** Returns an engine's limit with one more chain, or undefined if it has none. */
function computeLimit({ from, to }: LayerRange, sums: LayerSums): number | undefined {
  const between = (values: readonly number[]): number => (values[to] ?? 0) - (values[from] ?? 0);
  if (between(sums.soleHolders) > 0) return undefined;
  return Math.max(MINIMUM_LIMIT_REQUESTS, (MEAN_MULTIPLE * between(sums.means)) / (to - from));
}

/**
 * Computes how far each engine would use its limit as a stage of one more chain: 1 reaches it.
 *
 * @param engines - The engines that may become stages, of any data centre.
 * @param profile - The service's profile.
 * @returns The use by engine id; engines without a limit are left out.
 */
export function computeShareUses(
  engines: readonly LoadedEngine[],
  profile: EngineProfile,
): ReadonlyMap<string, number> {
  const uses = new Map<string, number>();
  new Set(engines.map(({ dataCentre }) => dataCentre)).forEach((dataCentre) => {
    if (!hasSpareMemory(engines, dataCentre, profile)) return;
    const group = engines.filter((engine) => engine.dataCentre === dataCentre);
    const sums = sumByLayer(group, profile.layerCount);
    group.forEach(({ id, layers, runningRequests }) => {
      const limit = computeLimit(layers, sums);
      if (limit !== undefined) uses.set(id, (runningRequests + 1) / limit);
    });
  });
  return uses;
}

/**
 * Computes what is added to the factor on an engine's cost. It rises as the limit is approached and exceeded, and is
 * bounded, so that a chain over the engine stays possible.
 *
 * @param use - How far the engine would use its limit.
 */
export function computeShareCost(use: number): number {
  return Math.min(MAXIMUM_COST, COST_PER_USE * Math.max(0, use - COST_FROM_USE));
}
