/**
 * Estimates how many layers and how much KV cache fit into an engine's memory, and how long a
 * request takes on it.
 */
import type { AcceleratorKind, EngineProfile } from '../entry/serving-configuration.js';
import type { LayerRange } from '../fleet/server-entry.js';

/** Used where the profile declares no accelerator kinds. */
const REFERENCE_ACCELERATOR: AcceleratorKind = {
  name: '',
  memoryMegabytes: 80_000,
  decodeFactor: 1,
  prefillFactor: 1,
};
/** Used for engines of a kind that the profile does not declare: nothing is placed on them. */
const UNDECLARED_ACCELERATOR: AcceleratorKind = { ...REFERENCE_ACCELERATOR, memoryMegabytes: 0 };
const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * Finds the memory and speed of an accelerator kind.
 *
 * @param profile - The service's profile.
 * @param kind - Name of the accelerator kind.
 * @returns The kind from the profile; one without memory if the profile declares other kinds only, and
 *   the reference accelerator if it declares none.
 */
export function findAccelerator(profile: EngineProfile, kind: string | undefined): AcceleratorKind {
  const { acceleratorKinds } = profile;
  const fallback = acceleratorKinds.size === 0 ? REFERENCE_ACCELERATOR : UNDECLARED_ACCELERATOR;
  return acceleratorKinds.get(kind ?? '') ?? fallback;
}

/**
 * Returns the number of layers that fit into an engine's memory if no memory is left for KV cache.
 *
 * @param profile - The service's profile.
 * @param kind - Name of the accelerator kind.
 * @returns At most the number of layers of the model.
 */
export function maximumLayerCount(profile: EngineProfile, kind: string | undefined): number {
  const { memoryMegabytes } = findAccelerator(profile, kind);
  const fittingLayers = Math.floor(memoryMegabytes / profile.layerMegabytes);
  return Math.min(profile.layerCount, fittingLayers);
}

/**
 * Returns how much KV cache fits into the memory that an engine's layers leave free.
 *
 * @param profile - The service's profile.
 * @param kind - Name of the accelerator kind.
 * @param layers - The layers that the engine holds.
 * @returns Capacity in tokens times layers: a request of 100 tokens over 10 layers takes 1000.
 */
export function cacheCapacityTokenLayers(
  profile: EngineProfile,
  kind: string | undefined,
  layers: LayerRange,
): number {
  const { memoryMegabytes } = findAccelerator(profile, kind);
  const layerMegabytes = (layers.to - layers.from) * profile.layerMegabytes;
  const bytes = Math.max(0, memoryMegabytes - layerMegabytes) * BYTES_PER_MEGABYTE;
  return (bytes * profile.layerCount) / profile.kvCacheBytesPerToken;
}

/**
 * Returns the number of layers that an engine can hold beside the KV cache for a number of requests
 * of the usual length.
 *
 * @param profile - The service's profile.
 * @param kind - Name of the accelerator kind.
 * @param requests - Number of simultaneous requests; may be a fraction.
 * @returns At least 1 where a layer fits, at most the number of layers that fit into the memory.
 */
export function maximumLayerCountWithCache(
  profile: EngineProfile,
  kind: string | undefined,
  requests: number,
): number {
  const tokens = requests * (profile.typicalPromptTokens + profile.typicalOutputTokens);
  const cacheBytes = (tokens * profile.kvCacheBytesPerToken) / profile.layerCount;
  const megabytesPerLayer = profile.layerMegabytes + cacheBytes / BYTES_PER_MEGABYTE;
  const fittingLayers = Math.floor(
    findAccelerator(profile, kind).memoryMegabytes / megabytesPerLayer,
  );
  return Math.min(Math.max(1, fittingLayers), maximumLayerCount(profile, kind));
}

/** Number of tokens in a request's prompt and answer. */
export interface RequestTokens {
  readonly prompt: number;
  readonly output: number;
}

/** Times that an engine of normal speed needs in one layer. */
export interface LayerTimes {
  readonly prefillMillisecondsPerToken: number;
  readonly decodeMillisecondsPerToken: number;
}

/**
 * Estimates the times of an engine in one layer.
 *
 * @param profile - The service's profile.
 * @param kind - Name of the accelerator kind.
 * @param runningRequests - Number of requests that run on the engine at the same time.
 * @returns Milliseconds for each token.
 */
export function estimateLayerTimes(
  profile: EngineProfile,
  kind: string | undefined,
  runningRequests: number,
): LayerTimes {
  const { decodeFactor, prefillFactor } = findAccelerator(profile, kind);
  const stepMilliseconds =
    profile.stepMilliseconds + runningRequests * profile.stepMillisecondsPerRequest;
  return {
    prefillMillisecondsPerToken:
      prefillFactor / (profile.prefillTokensPerMillisecond * profile.layerCount),
    decodeMillisecondsPerToken: (stepMilliseconds * decodeFactor) / profile.layerCount,
  };
}

/**
 * Estimates the time that a request spends in one layer on an engine of normal speed.
 *
 * @param profile - The service's profile.
 * @param kind - Name of the accelerator kind.
 * @param tokens - Number of tokens of the request.
 * @param runningRequests - Number of requests that run on the engine at the same time.
 * @returns Milliseconds for the prompt and all tokens of the answer together.
 */
export function estimateLayerMilliseconds(
  profile: EngineProfile,
  kind: string | undefined,
  tokens: RequestTokens,
  runningRequests: number,
): number {
  const times = estimateLayerTimes(profile, kind, runningRequests);
  return (
    tokens.output * times.decodeMillisecondsPerToken +
    tokens.prompt * times.prefillMillisecondsPerToken
  );
}
