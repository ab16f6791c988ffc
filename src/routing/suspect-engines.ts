/**
 * Where content that is suspected of crashing servers may run. Load pattern: an engine dies under
 * requests of several instances, all of them become suspect, and all are run again at the same
 * moment. If they met at one engine, content that only stood beside would be at its death too.
 */
import type { BackendServer } from '../backend/backend-server.js';
import { rankOwners } from './rendezvous.js';

/** Options of {@link selectSuspectEngines}. */
export interface SuspectEngineOptions {
  /** Engines that may be chosen otherwise. */
  readonly engines: readonly BackendServer[];
  /** This instance's name. */
  readonly instance: string;
  /** The names of all instances that share the engines. */
  readonly instances: readonly string[];
}

function coversModel(engines: readonly BackendServer[]): boolean {
  const facts = engines.flatMap(({ engine }) => engine ?? []);
  const reached = new Set([0]);
  [...facts]
    .sort((one, other) => one.from - other.from)
    .forEach(({ from, to }) => {
      if (reached.has(from)) reached.add(to);
    });
  return facts.some(({ totalLayers }) => reached.has(totalLayers));
}

/**
 * Gives the engines on which this instance runs suspects. Instances that know the same engines
 * and instances have shares without a common engine, as long as each share covers the model.
 *
 * @param options - The engines and the instances.
 * @returns This instance's share, or all engines if the share does not cover the model.
 */
export function selectSuspectEngines(options: SuspectEngineOptions): readonly BackendServer[] {
  const { engines, instance, instances } = options;
  const own = engines.filter(({ id }) => rankOwners(id, instances)[0] === instance);
  return coversModel(own) ? own : engines;
}
