/**
 * Decides what follows from the suspicion that an open exchange with a backend server has failed. A silent
 * server, a late report and a peer's word are no proof: a sound server may fall silent for a while and go on.
 * So the exchange stays open beside another attempt until one of the two answers. Handles servers that pause
 * while the others are full: what they run would be lost with nothing in its place.
 */

/** What is known of an exchange that is suspected to have failed. */
export interface SuspectedExchange {
  /** Whether the server's process is shown to have ended, so that nothing more can come. */
  readonly hasServerEnded: boolean;
  /** Whether the request's kind, content and earlier attempts allow another one. */
  readonly mayRunAgain: boolean;
  /** Whether something other than what is suspected seems to have room; the request then avoids the suspected. */
  readonly hasAlternative: () => boolean;
  /** Takes a retry of the budget for another attempt; false if none is left. */
  readonly acquireRetry: () => boolean;
}

/** What to do about the exchange, and why nothing is done. */
export type SuspicionDecision =
  | { readonly kind: 'end' }
  | { readonly kind: 'tryBeside' }
  | { readonly kind: 'wait'; readonly lacking: 'permission' | 'alternative' | 'budget' };

/**
 * Allows the end of an exchange only where its server has ended, and otherwise another attempt beside it where
 * nothing speaks against one.
 *
 * @param exchange - The exchange.
 * @returns The decision. A retry has been taken only for `tryBeside`.
 */
export function decideOnSuspicion(exchange: SuspectedExchange): SuspicionDecision {
  const { hasServerEnded, mayRunAgain, hasAlternative, acquireRetry } = exchange;
  if (hasServerEnded) return { kind: 'end' };
  if (!mayRunAgain) return { kind: 'wait', lacking: 'permission' };
  if (!hasAlternative()) return { kind: 'wait', lacking: 'alternative' };
  return acquireRetry() ? { kind: 'tryBeside' } : { kind: 'wait', lacking: 'budget' };
}
