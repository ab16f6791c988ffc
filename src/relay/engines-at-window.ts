/**
 * Finds the engines at their windows that a chain can do without. Handles engines that have just started and are the
 * only holders of some layer: they are used whatever their windows are, so that coverage doesn't depend on windows.
 */
import { getHeldLayers, type FleetServer } from '../fleet/fleet-server.js';
import type { LayerRange } from '../fleet/server-entry.js';

/** Options of {@link listSpareAtWindow}. */
export interface EnginesAtWindowOptions {
  /** The engines of the service. */
  readonly engines: readonly FleetServer[];
  /** Whether a chain may use an engine without restriction, windows aside. */
  readonly isOpen: (engine: FleetServer) => boolean;
  readonly isAtWindow: (engine: FleetServer) => boolean;
}

function isHeldByOthers({ from, to }: LayerRange, others: readonly LayerRange[]): boolean {
  let next = from;
  [...others]
    .sort((one, other) => one.from - other.from)
    .forEach((range) => {
      if (range.from <= next) next = Math.max(next, range.to);
    });
  return next >= to;
}

/**
 * Lists the engines at their windows all of whose layers are held by other engines of their data centre that are not.
 *
 * @param options - The engines.
 * @returns Their ids.
 */
export function listSpareAtWindow(options: EnginesAtWindowOptions): ReadonlySet<string> {
  const { engines, isOpen, isAtWindow } = options;
  const limited = engines.filter((engine) => isOpen(engine) && isAtWindow(engine));
  if (limited.length === 0) return new Set();
  const limitedIds = new Set(limited.map(({ entry }) => entry.id));
  const others = engines.filter((engine) => isOpen(engine) && !limitedIds.has(engine.entry.id));
  const isSpare = (engine: FleetServer): boolean => {
    const layers = getHeldLayers(engine);
    const nearby = others
      .filter(({ entry }) => entry.dataCentre === engine.entry.dataCentre)
      .flatMap((other) => getHeldLayers(other) ?? []);
    return layers !== undefined && isHeldByOthers(layers, nearby);
  };
  return new Set(limited.filter(isSpare).map(({ entry }) => entry.id));
}
