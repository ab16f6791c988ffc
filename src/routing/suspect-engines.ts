/**
 * Selects the engines on which content that is suspected of crashing engines may run. When an
 * engine crashes while it runs requests of several instances, all of their contents become suspect
 * and are run again at the same time. If they ran on the same engine again, harmless content would
 * count as running at the next crash too. Therefore each instance gets its own engines for them.
 */
import type { BackendServer } from '../backend/backend-server.js';
import { rankOwners } from './rendezvous.js';

/** Options of {@link selectSuspectEngines}. */
export interface SuspectEngineOptions {
  /** The engines that are eligible for the request. */
  readonly engines: readonly BackendServer[];
  /** The id of this instance. */
  readonly instance: string;
  /** The ids of all instances that use the engines, including this one. */
  readonly instances: readonly string[];
}

/** Tells whether a chain through some of the engines covers every layer of the model. */
function coversModel(engines: readonly BackendServer[]): boolean {
  const engineFacts = engines.flatMap(({ engine }) => engine ?? []);
  const reachedLayers = new Set([0]);
  [...engineFacts]
    .sort((left, right) => left.from - right.from)
    .forEach(({ from, to }) => {
      if (reachedLayers.has(from)) reachedLayers.add(to);
    });
  return engineFacts.some(({ totalLayers }) => reachedLayers.has(totalLayers));
}

/**
 * Selects the engines on which this instance runs suspect requests. Instances that know the same
 * engines and instances get disjoint sets, as long as each set covers the model.
 *
 * @param options - The eligible engines and the instances that divide them.
 * @returns The engines of this instance, or all engines if those do not cover the model.
 */
export function selectSuspectEngines(options: SuspectEngineOptions): readonly BackendServer[] {
  const { engines, instance, instances } = options;
  const ownEngines = engines.filter(({ id }) => rankOwners(id, instances)[0] === instance);
  return coversModel(ownEngines) ? ownEngines : engines;
}
