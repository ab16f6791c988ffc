/** The engines of the replay of admission, and what all instances together use of them. */
import type { BackendFleet } from '../src/fleet/backend-fleet.js';
import type { ServerEntry } from '../src/fleet/server-entry.js';
import { cacheCapacityTokenLayers } from '../src/layers/engine-estimates.js';
import { ENGINE_PROFILE } from './engine-profile.js';

/** The resource of the engines that limits the replayed requests. */
export type ShortResource = 'cache' | 'slots';

export const SERVICE = 'generation';
export const DATA_CENTRE = 'east';
export const REQUEST_TOKENS = { prompt: 900, output: 100 };

/** The layers of the engines. */
const RANGES = [
  { from: 0, to: 4 },
  { from: 4, to: 8 },
];
/** Engines with the same layers. */
const HOLDERS = 6;
/** Requests for which an engine has KV cache. */
const CACHED_REQUESTS = 24;
const FEW_SLOTS = 6;
const MANY_SLOTS = 96;
const KIND = 'only';
const MEMORY_MEGABYTES = 1000;
const LAYER_MEGABYTES = 100;
const CACHE_BYTES_PER_TOKEN =
  ((MEMORY_MEGABYTES - 4 * LAYER_MEGABYTES) * 1e6 * 8) /
  (CACHED_REQUESTS * (REQUEST_TOKENS.prompt + REQUEST_TOKENS.output) * 4);

export const PROFILE = {
  ...ENGINE_PROFILE,
  layerCount: 8,
  layerMegabytes: LAYER_MEGABYTES,
  kvCacheBytesPerToken: CACHE_BYTES_PER_TOKEN,
  acceleratorKinds: new Map([
    [KIND, { name: KIND, memoryMegabytes: MEMORY_MEGABYTES, decodeFactor: 1, prefillFactor: 1 }],
  ]),
};

/** Returns how many requests all engines hold together. */
export function countHeldRequests(shortOf: ShortResource): number {
  return HOLDERS * (shortOf === 'slots' ? FEW_SLOTS : CACHED_REQUESTS);
}

/** Creates the registry entries of the engines. */
export function createEngines(shortOf: ShortResource): readonly ServerEntry[] {
  return RANGES.flatMap((layers, range) =>
    Array.from({ length: HOLDERS }, (_, index) => ({
      id: `engine-${range}-${index}`,
      service: SERVICE,
      address: { host: '127.0.0.1', port: 1 },
      dataCentre: DATA_CENTRE,
      slots: shortOf === 'slots' ? FEW_SLOTS : MANY_SLOTS,
      isLeaving: false,
      kind: KIND,
      layers,
    })),
  );
}

/**
 * Computes what all instances together have running on an engine.
 *
 * @param entry - The engine.
 * @param fleets - The fleet of each instance.
 * @returns Shares of its slots and of its KV cache.
 */
export function computeUse(
  entry: ServerEntry,
  fleets: readonly BackendFleet[],
): readonly [slots: number, cache: number] {
  const loads = fleets.map((fleet) => fleet.find(entry.id)?.ownLoad);
  const requests = loads.reduce((sum, load) => sum + (load?.requests ?? 0), 0);
  const tokenLayers = loads.reduce((sum, load) => sum + (load?.reservedTokenLayers ?? 0), 0);
  const capacity = cacheCapacityTokenLayers(PROFILE, KIND, entry.layers ?? { from: 0, to: 0 });
  return [entry.layers?.from === 0 ? requests / entry.slots : 0, tokenLayers / capacity];
}

/**
 * Computes the share of the places that is taken, for the layers with the largest share.
 *
 * @param entries - All engines.
 * @param fleets - The fleet of each instance.
 */
export function computeTakenPlaces(
  entries: readonly ServerEntry[],
  fleets: readonly BackendFleet[],
): number {
  const uses = entries.map((entry) => ({ entry, use: computeUse(entry, fleets) }));
  const shares = RANGES.flatMap(({ from }) => {
    const holders = uses.filter(({ entry }) => entry.layers?.from === from);
    return ([0, 1] as const).map(
      (index) => holders.reduce((sum, { use }) => sum + use[index], 0) / holders.length,
    );
  });
  return Math.max(...shares);
}
