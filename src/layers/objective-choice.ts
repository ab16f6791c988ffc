/**
 * Chooses a chain by the objectives of a stream: its first event within the route's target time and
 * no pause between events above the route's gap target. Being faster than that is worth nothing to a
 * caller, while every crossing between data centres delays all streams on the link. So a chain stays
 * inside a data centre while that keeps both objectives, or while no other chain is less late.
 * Handles peaks, in which long answers would otherwise cross to faster engines until the links are
 * full, and slow or missing engines, where crossing is the repair.
 */
import {
  chooseChain,
  type Chain,
  type ChainCandidate,
  type ChainRequest,
  type NoChain,
} from './chain-choice.js';
import { computeTransferMilliseconds } from './data-centre-link-load.js';
import { estimateLayerTimes } from './engine-estimates.js';

/** The objectives of a stream, in milliseconds; an objective of 0 is none. */
export interface StreamObjectives {
  readonly firstEventMilliseconds: number;
  readonly pauseMilliseconds: number;
}

/** Expected times of a stream over a chain, in milliseconds. */
export interface StreamTimes {
  readonly firstEventMilliseconds: number;
  /** Between two events. */
  readonly pauseMilliseconds: number;
}

/** Above the expected time of every chain that stays inside a data centre. */
const CROSSING_PENALTY_MILLISECONDS = 20_000;
/** Used when no chain inside a data centre keeps the objectives. */
const REPAIR_CROSSING_PENALTY_MILLISECONDS = 1000;
/** Share of an objective that the estimate may use; the rest is for work that is not known yet. */
const USABLE_OBJECTIVE_SHARE = 0.7;
/** A token waits for the running pass of an engine, half of one in the mean, before its own. */
const PASS_WAIT_FACTOR = 1.5;
/** From one engine to the next in the same data centre, for each token. */
const HANDOVER_MILLISECONDS = 0.15;
/** From one data centre to another, for each token. */
const CROSSING_MILLISECONDS = 1;
const MAXIMUM_LINK_UTILISATION = 0.95;

/**
 * Estimates the times of a stream over a chain.
 *
 * @param chain - The chain.
 * @param request - The request that the chain was chosen for.
 * @returns The expected times.
 */
export function estimateStreamTimes(chain: Chain, request: ChainRequest): StreamTimes {
  const { profile, tokens, linkUtilisation } = request;
  let prefill = 0;
  let token = 0;
  chain.stages.forEach(({ engine, layers }, index) => {
    const times = estimateLayerTimes(profile, engine.kind, engine.runningRequests);
    const layerCount = layers.to - layers.from;
    const factor = engine.slowdownFactor * layerCount;
    prefill += tokens.prompt * times.prefillMillisecondsPerToken * factor;
    token += times.decodeMillisecondsPerToken * factor * PASS_WAIT_FACTOR;
    const next = chain.stages[index + 1]?.engine;
    if (!next) return;
    token += HANDOVER_MILLISECONDS;
    if (next.dataCentre === engine.dataCentre) return;
    const utilisation = linkUtilisation?.(engine.dataCentre, next.dataCentre) ?? 0;
    const bits = 8 * tokens.prompt * profile.activationBytesPerToken;
    const transfer = computeTransferMilliseconds(bits, profile.dataCentreLinkMegabitsPerSecond);
    const queued = transfer / (1 - Math.min(MAXIMUM_LINK_UTILISATION, utilisation));
    prefill += queued;
    // Transfers share the link one after another, so each event may wait for those of prompts.
    token += CROSSING_MILLISECONDS + (utilisation * queued) / profile.tokensPerEvent;
  });
  const pauseMilliseconds = token * profile.tokensPerEvent;
  return { firstEventMilliseconds: prefill + pauseMilliseconds, pauseMilliseconds };
}

/** How far a chain exceeds the usable share of its objectives: at most 1 if it keeps both. */
function computeLateness(times: StreamTimes, objectives: StreamObjectives): number {
  const share = (time: number, objective: number): number =>
    objective > 0 ? time / (objective * USABLE_OBJECTIVE_SHARE) : 0;
  return Math.max(
    share(times.firstEventMilliseconds, objectives.firstEventMilliseconds),
    share(times.pauseMilliseconds, objectives.pauseMilliseconds),
  );
}

/**
 * Whether a stream is expected to keep its objectives.
 *
 * @param times - Its expected times.
 * @param objectives - Its objectives.
 */
export function keepsObjectives(times: StreamTimes, objectives: StreamObjectives): boolean {
  return computeLateness(times, objectives) <= 1;
}

/**
 * Chooses a chain for a stream. Engines of other data centres are considered only when those of the
 * home data centre have no room or would be late: the faster ones elsewhere would otherwise get the
 * requests of all instances, since nothing of their load is known for some hundred milliseconds.
 *
 * @param candidates - The engines that may be used.
 * @param request - The request and the conditions on the chain.
 * @param objectives - The objectives of its route.
 * @param homeDataCentre - Name of the data centre of the instance or of the chain's first stage.
 * @returns The chain, or the first layer that no candidate may run.
 */
export function chooseChainByObjectives<T extends ChainCandidate>(
  candidates: readonly T[],
  request: ChainRequest,
  objectives: StreamObjectives,
  homeDataCentre: string,
): Chain<T> | NoChain {
  const home = chooseChain(
    candidates.filter(({ dataCentre }) => dataCentre === homeDataCentre),
    request,
  );
  if ('stages' in home && !home.isOverCapacity) {
    if (computeLateness(estimateStreamTimes(home, request), objectives) <= 1) return home;
  }
  const local = chooseChain(candidates, {
    ...request,
    crossingPenaltyMilliseconds: CROSSING_PENALTY_MILLISECONDS,
  });
  if ('missingLayer' in local) return local;
  const lateness = computeLateness(estimateStreamTimes(local, request), objectives);
  if (lateness <= 1) return local;
  const other = chooseChain(candidates, {
    ...request,
    crossingPenaltyMilliseconds: REPAIR_CROSSING_PENALTY_MILLISECONDS,
  });
  if ('missingLayer' in other || other.isOverCapacity) return local;
  const otherLateness = computeLateness(estimateStreamTimes(other, request), objectives);
  return otherLateness < lateness ? other : local;
}
