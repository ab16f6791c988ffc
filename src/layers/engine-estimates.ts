/** How long an engine takes for its layers, and what its memory holds. */
import type { AcceleratorKind, EngineProfile } from '../entry/serving-configuration.js';
import type { LayerRange } from '../fleet/server-entry.js';

const REFERENCE_KIND: AcceleratorKind = {
  name: '',
  memoryMegabytes: 80_000,
  decodeFactor: 1,
  prefillFactor: 1,
};
const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * Finds the figures of an accelerator kind.
 *
 * @param profile - The service's profile.
 * @param kind - The kind's name.
 * @returns Its figures; an unknown kind is taken for the reference one.
 */
export function acceleratorOf(profile: EngineProfile, kind: string | undefined): AcceleratorKind {
  return profile.acceleratorKinds.get(kind ?? '') ?? REFERENCE_KIND;
}

/**
 * Counts the layers that fit into an engine's memory.
 *
 * @param profile - The service's profile.
 * @param kind - The accelerator's kind.
 * @returns The most layers that it may hold.
 */
export function layerCapacity(profile: EngineProfile, kind: string | undefined): number {
  const { memoryMegabytes } = acceleratorOf(profile, kind);
  const fitting = Math.floor(memoryMegabytes / profile.layerMegabytes);
  return Math.min(profile.layerCount, fitting);
}

/**
 * Tells how much KV cache fits beside an engine's layers.
 *
 * @param profile - The service's profile.
 * @param kind - The accelerator's kind.
 * @param layers - What it holds.
 * @returns Tokens times layers.
 */
export function cacheCapacity(
  profile: EngineProfile,
  kind: string | undefined,
  layers: LayerRange,
): number {
  const { memoryMegabytes } = acceleratorOf(profile, kind);
  const held = (layers.to - layers.from) * profile.layerMegabytes;
  const bytes = Math.max(0, memoryMegabytes - held) * BYTES_PER_MEGABYTE;
  return (bytes * profile.layerCount) / profile.kvCacheBytesPerToken;
}

/**
 * Counts the layers beside which an engine's KV cache serves some requests of the usual length.
 *
 * @param profile - The service's profile.
 * @param kind - The accelerator's kind.
 * @param requests - How many requests the KV cache is to serve at once.
 * @returns The most layers, at least one.
 */
export function layersBeside(
  profile: EngineProfile,
  kind: string | undefined,
  requests: number,
): number {
  const tokens = requests * (profile.typicalPromptTokens + profile.typicalOutputTokens);
  const cacheBytes = (tokens * profile.kvCacheBytesPerToken) / profile.layerCount;
  const perLayer = profile.layerMegabytes + cacheBytes / BYTES_PER_MEGABYTE;
  const fitting = Math.floor(acceleratorOf(profile, kind).memoryMegabytes / perLayer);
  return Math.max(1, Math.min(fitting, layerCapacity(profile, kind)));
}

/** The tokens of a request. */
export interface RequestTokens {
  readonly prompt: number;
  readonly answer: number;
}

/**
 * Estimates the time that a request spends in one layer.
 *
 * @param profile - The service's profile.
 * @param kind - The accelerator's kind.
 * @param tokens - The request's tokens.
 * @param running - Requests that run there at once.
 * @returns Milliseconds over the whole request.
 */
export function layerMilliseconds(
  profile: EngineProfile,
  kind: string | undefined,
  tokens: RequestTokens,
  running: number,
): number {
  const { decodeFactor: stepFactor, prefillFactor: readFactor } = acceleratorOf(profile, kind);
  const step = profile.stepMilliseconds + running * profile.stepMillisecondsPerRequest;
  const writing = tokens.answer * step * stepFactor;
  const reading = (tokens.prompt / profile.prefillTokensPerMillisecond) * readFactor;
  return (writing + reading) / profile.layerCount;
}
