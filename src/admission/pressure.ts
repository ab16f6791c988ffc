/**
 * Measures how much of the capacity that a request would use is taken: of the chain of engines or of the server of a
 * plain service that was chosen for it. Handles a burst that fills the KV cache or the slots of some engines.
 */
import type { Chain, ChainCandidate, ChainRequest } from '../layers/chain-choice.js';
import { cacheCapacityTokenLayers } from '../layers/engine-estimates.js';
import { estimateStreamTimes } from '../layers/objective-choice.js';
import type { EngineProfile } from '../entry/serving-configuration.js';

/** A resource that limits how many requests can run. */
export type Resource = 'cache' | 'slots' | 'pause';

/** The pressure if a request were admitted. */
export interface Pressure {
  /** The largest of the utilisations; 1 is all of the capacity. */
  readonly value: number;
  /** The resource with that utilisation. */
  readonly resource: Resource;
  readonly utilisations: Readonly<Partial<Record<Resource, number>>>;
}

/** What an engine has for requests, and what of it is taken. */
export type EnginePlaces = Pick<
  ChainCandidate,
  'kind' | 'layers' | 'slots' | 'runningRequests' | 'reservedTokenLayers'
>;

/** Requests that a server runs, and how many it runs at once. */
export interface ServerPlaces {
  readonly slots: number;
  readonly runningRequests: number;
}

function toPressure(utilisations: Pressure['utilisations']): Pressure {
  let value = 0;
  let resource: Resource = 'slots';
  (Object.entries(utilisations) as [Resource, number][]).forEach(([name, utilisation]) => {
    if (utilisation <= value) return;
    value = utilisation;
    resource = name;
  });
  return { value, resource, utilisations };
}

function sumCache(
  engines: readonly EnginePlaces[],
  profile: EngineProfile,
): { readonly taken: number; readonly capacity: number } {
  return engines.reduce(
    ({ taken, capacity }, { kind, layers, reservedTokenLayers }) => ({
      taken: taken + reservedTokenLayers,
      capacity: capacity + cacheCapacityTokenLayers(profile, kind, layers),
    }),
    { taken: 0, capacity: 0 },
  );
}

function computeCacheUse(engines: readonly EnginePlaces[], profile: EngineProfile): number {
  const { taken, capacity } = sumCache(engines, profile);
  if (capacity > 0) return taken / capacity;
  return taken > 0 ? 1 : 0;
}

/**
 * Computes the share of the slots of some servers that is in use.
 *
 * @param servers - The servers; one that states no slots counts as having one.
 * @returns 1 if there are no servers.
 */
export function computeSlotUse(servers: readonly ServerPlaces[]): number {
  const slots = servers.reduce((sum, server) => sum + Math.max(1, server.slots), 0);
  const running = servers.reduce((sum, server) => sum + server.runningRequests, 0);
  return slots > 0 ? running / slots : 1;
}

/**
 * Computes the pressure on a chain, with the request included: with six slots a request is a sixth of them, so a limit on
 * the use without it would leave one slot or none to more urgent requests.
 *
 * @param chain - The chain that was chosen for a request.
 * @param request - The request that it was chosen for.
 * @param pauseTargetMilliseconds - The target for the longest pause; 0 is none.
 * @returns The pressure.
 */
export function computeChainPressure(
  chain: Chain,
  request: ChainRequest,
  pauseTargetMilliseconds: number,
): Pressure {
  const { profile, tokens } = request;
  const { pauseMilliseconds } = estimateStreamTimes(chain, request);
  const cacheUses = chain.stages.map(({ engine, layers }) => {
    const own = (tokens.prompt + tokens.output) * (layers.to - layers.from);
    const reservedTokenLayers = engine.reservedTokenLayers + own;
    return computeCacheUse([{ ...engine, reservedTokenLayers }], profile);
  });
  const [first] = chain.stages;
  return toPressure({
    cache: Math.max(0, ...cacheUses),
    slots: first ? computeServerPressure(first.engine).value : 0,
    pause: pauseTargetMilliseconds > 0 ? pauseMilliseconds / pauseTargetMilliseconds : 0,
  });
}

/**
 * Computes the share of the places that is taken of all engines that could run a stage of the chain: while one
 * of them is full and another with the same layers is empty, there is no shortage.
 *
 * @param chain - The chain that was chosen for a request.
 * @param engines - All engines of the service that may be used.
 * @param profile - The service's profile.
 * @returns The share of the KV cache or of the first stages' slots, for the layers with the largest share.
 */
export function computeTakenPlaces(
  chain: Chain,
  engines: readonly EnginePlaces[],
  profile: EngineProfile,
): number {
  const shares = chain.stages.map(({ layers }) => {
    const holders = engines.filter(
      (engine) => engine.layers.from < layers.to && engine.layers.to > layers.from,
    );
    return computeCacheUse(holders, profile);
  });
  const starting = engines.filter(({ layers }) => layers.from === 0);
  return Math.max(computeSlotUse(starting), ...shares);
}

/**
 * Computes the pressure on a server of a plain service.
 *
 * @param server - The server that was chosen for a call.
 * @returns The share of its slots that is in use with the call.
 */
export function computeServerPressure({ slots, runningRequests }: ServerPlaces): Pressure {
  return toPressure({ slots: computeSlotUse([{ slots, runningRequests: runningRequests + 1 }]) });
}
