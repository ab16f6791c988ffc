/** Lists the engines that may become stages of a chain, with what the choice needs to know of them. */
import { getHeldLayers, type FleetServer } from '../fleet/fleet-server.js';
import { getAvailability } from '../fleet/server-availability.js';
import type { ServerPace } from '../fleet/server-pace.js';
import type { SelectionLimits } from './chain-selection.js';
import type { EngineCandidate } from './chain-selector.js';
import { listSpareAtWindow } from './engines-at-window.js';

/** Options of {@link listEngineCandidates}. */
export interface EngineCandidatesOptions {
  /** The engines of the service. */
  readonly engines: readonly FleetServer[];
  readonly limits: SelectionLimits;
  /** The first stage, when the chain must keep it. */
  readonly pinnedEngineId: string | undefined;
  /** Whether the request is to avoid an engine. */
  readonly isAvoided: (id: string) => boolean;
  readonly isEjected: (id: string) => boolean;
  readonly serverPace: Pick<ServerPace, 'isAtWindow'>;
  /** Current time on the monotonic clock, in milliseconds. */
  readonly now: number;
}

/** The engines for one choice. */
export interface EngineCandidates {
  readonly candidates: EngineCandidate[];
  /** Engines that are left out, since they are at their windows and others hold their layers. */
  readonly atWindow: ReadonlySet<string>;
}

function createCandidate(server: FleetServer, layers: EngineCandidate['layers']): EngineCandidate {
  const { entry, ownLoad, peerLoad } = server;
  return {
    id: entry.id,
    dataCentre: entry.dataCentre,
    kind: entry.kind,
    layers,
    slots: entry.slots,
    runningRequests: ownLoad.requests + peerLoad.requests,
    reservedTokenLayers: ownLoad.reservedTokenLayers + peerLoad.reservedTokenLayers,
    slowdownFactor: Math.max(server.ownSlowdownFactor, server.peerSlowdownFactor),
    server,
  };
}

/**
 * Lists the engines that a choice may use. The pinned one is always among them, if it holds layers.
 *
 * @param options - The engines, and which of them the choice may use.
 */
export function listEngineCandidates(options: EngineCandidatesOptions): EngineCandidates {
  const { engines, limits, pinnedEngineId, isAvoided, isEjected, serverPace, now } = options;
  const { canUseFull, canUseAvoided } = limits;
  const isUsable = (server: FleetServer): boolean => {
    const { id } = server.entry;
    const availability = getAvailability(server, now);
    const isExcludedAsFull = availability === 'avoided' && !canUseFull;
    const isExcludedAsAvoided = isAvoided(id) && !canUseAvoided;
    return !(availability === 'closed' || isExcludedAsAvoided || isEjected(id) || isExcludedAsFull);
  };
  const usable = new Set(engines.filter(isUsable));
  const atWindow =
    canUseFull || canUseAvoided
      ? new Set<string>()
      : listSpareAtWindow({
          engines,
          isOpen: (server) => usable.has(server),
          isAtWindow: (server) => serverPace.isAtWindow(server),
        });
  const candidates = engines.flatMap((server) => {
    const { id } = server.entry;
    const layers = getHeldLayers(server);
    const isExcluded = !usable.has(server) || atWindow.has(id);
    if (!layers || (isExcluded && id !== pinnedEngineId)) return [];
    return [createCandidate(server, layers)];
  });
  return { candidates, atWindow };
}
