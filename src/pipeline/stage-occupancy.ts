/** Counts requests in flight on the stages of their chains. */
import type { BackendServer } from '../backend/backend-server.js';

/**
 * Computes how much of a request each stage counts as in flight. The first stage is occupied for the
 * whole time of each token, a later one only for its own share of that time.
 *
 * @param stages - The stages of the chain, in order.
 * @returns The share of each stage.
 */
export function computeStageShares(stages: readonly BackendServer[]): number[] {
  const stepMilliseconds = stages.map(
    (server) => (server.engine?.stepMilliseconds ?? 1) * server.slowdownFactor,
  );
  const totalMilliseconds = stepMilliseconds.reduce((sum, step) => sum + step, 0);
  return stepMilliseconds.map((step, index) => (index === 0 ? 1 : step / totalMilliseconds));
}

/** A request in flight. */
export interface RequestInFlight {
  readonly stages: readonly BackendServer[];
  /** How much of the request each stage counts. */
  readonly shares: readonly number[];
  /** Whether its content is suspected of crashing servers. */
  readonly isSuspect: boolean;
}

/**
 * Adds a request to the in-flight counts of its stages or removes it.
 *
 * @param request - The request.
 * @param change - 1 to add it, -1 to remove it.
 */
export function changeInFlight(
  { stages, shares, isSuspect }: RequestInFlight,
  change: 1 | -1,
): void {
  stages.forEach((server, index) => {
    const share = shares[index] ?? 1;
    server.inFlight += change * share;
    if (change > 0) server.recordSentRequest(performance.now(), share);
    if (isSuspect) server.suspectsInFlight += change;
  });
}
