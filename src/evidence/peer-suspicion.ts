/**
 * Decides what becomes of an exchange with a peer that has passed on nothing for a while. Late records are no
 * proof that the peer has ended: a sound process may fall silent for a second and go on, and what arrives on the
 * exchange itself shows that it lives. Handles peers that are frozen, or whose records are lost on the way.
 */
import { decideOnSuspicion, type SuspicionDecision } from './exchange-suspicion.js';

/** What is known of an exchange with a peer. */
export interface PeerExchangeState {
  /** Whether a newer process of the same instance has shown itself, so that nothing more can come. */
  readonly hasPeerEnded: boolean;
  /** Whether the peer's records stay out. */
  readonly areRecordsLate: boolean;
  /** For how long no byte has arrived on the exchange. */
  readonly silenceMilliseconds: number;
  /** Whether the request's kind, content and earlier attempts allow another one. */
  readonly mayRunAgain: boolean;
  readonly hasOtherPeer: () => boolean;
  /** Takes a retry of the budget for another attempt; false if none is left. */
  readonly acquireRetry: () => boolean;
}

/** What to do about the exchange, and why nothing is done. */
export type PeerDecision =
  SuspicionDecision | { readonly kind: 'wait'; readonly lacking: 'suspicion' };

/** A stream without an event for so long has a pause that its caller notices. */
const SILENCE_MILLISECONDS = 500;

/**
 * Ends an exchange only where its peer has ended, and otherwise allows another attempt beside it once neither
 * bytes nor records come.
 *
 * @param state - What is known of the exchange.
 * @returns The decision. A retry has been taken only for `tryBeside`.
 */
export function decideOnPeer(state: PeerExchangeState): PeerDecision {
  const { hasPeerEnded, areRecordsLate, silenceMilliseconds, mayRunAgain } = state;
  const isSuspected = areRecordsLate && silenceMilliseconds >= SILENCE_MILLISECONDS;
  if (!hasPeerEnded && !isSuspected) return { kind: 'wait', lacking: 'suspicion' };
  return decideOnSuspicion({
    hasServerEnded: hasPeerEnded,
    mayRunAgain,
    hasAlternative: state.hasOtherPeer,
    acquireRetry: state.acquireRetry,
  });
}
