/**
 * Tells in which data centres the engines' memory holds the model several times over. Where it does, layers can
 * have spare holders and chains a choice of engines; where it holds little more than one copy, there is neither.
 */
import type { EngineProfile } from '../entry/serving-configuration.js';
import { maximumLayerCount } from './engine-estimates.js';

/** An engine's place and accelerator kind. */
export interface EngineMemory {
  readonly dataCentre: string;
  /** Name of its accelerator kind. */
  readonly kind: string | undefined;
}

/**
 * Copies from which memory counts as spare: one that serves, one that is held while engines load, and one whose memory
 * is KV cache.
 */
export const SPARE_MEMORY_COPIES = 3;

/**
 * Counts how many whole copies of the model the engines of a data centre have memory for, without KV cache.
 *
 * @param engines - Engines of any data centre.
 * @param dataCentre - Name of the data centre.
 * @param profile - The service's profile.
 * @returns The number of copies, with its fraction.
 */
export function countModelCopies(
  engines: readonly EngineMemory[],
  dataCentre: string,
  profile: EngineProfile,
): number {
  const layers = engines
    .filter((engine) => engine.dataCentre === dataCentre)
    .reduce((total, { kind }) => total + maximumLayerCount(profile, kind), 0);
  return layers / profile.layerCount;
}

/**
 * Tells whether a data centre has memory for spare holders of each layer.
 *
 * @param engines - Engines of any data centre.
 * @param dataCentre - Name of the data centre.
 * @param profile - The service's profile.
 */
export function hasSpareMemory(
  engines: readonly EngineMemory[],
  dataCentre: string,
  profile: EngineProfile,
): boolean {
  return countModelCopies(engines, dataCentre, profile) >= SPARE_MEMORY_COPIES;
}
