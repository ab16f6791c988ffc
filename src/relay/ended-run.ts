/**
 * Decides what becomes of a request whose run has ended without a result: its engine ended, broke off or refused
 * it. Once the caller has a part of the answer, only a proof that the rest can't follow ends the request; refusals,
 * a lack of room and an empty retry budget pass. Handles losses that leave no room for a while: streams that had
 * begun were cut off while their time went on, and room was a second away.
 */

/** Why a request can't be run again, whatever happens until its time is over. */
export type EndedRunProof =
  /** It may have run, and a second run would have a further effect. */
  | 'notRepeatable'
  /** Requests like it end servers. */
  | 'blockedContent'
  /** Servers ended as they began it. */
  | 'endsServers'
  /** It has run as often as it may. */
  | 'runLimit';

/** What is known of a request whose run has ended. */
export interface EndedRun {
  /** Whether the caller has received a part of the answer. */
  readonly hasStarted: boolean;
  readonly proof: EndedRunProof | undefined;
  /** Whether engines have refused the request so often that a caller who waits for its beginning is told. */
  readonly isRefusedTooOften: boolean;
  /** Takes a retry of the budget; false if none is left. */
  readonly acquireRetry: () => boolean;
}

/** What to do about the request. */
export type EndedRunDecision =
  | { readonly kind: 'end'; readonly reason: EndedRunProof | 'refusedTooOften' | 'noBudget' }
  /** Send it to another engine now, or end it if there is none. */
  | { readonly kind: 'retry' }
  /** Wait for room and for a retry of the budget, until the request's own time is over. */
  | { readonly kind: 'wait' };

/**
 * Decides on a request whose run has ended.
 *
 * @param endedRun - The request.
 * @returns The decision. A retry has been taken only for `retry`.
 */
export function decideOnEndedRun(endedRun: EndedRun): EndedRunDecision {
  const { hasStarted, proof, isRefusedTooOften, acquireRetry } = endedRun;
  if (proof) return { kind: 'end', reason: proof };
  if (hasStarted) return { kind: 'wait' };
  if (isRefusedTooOften) return { kind: 'end', reason: 'refusedTooOften' };
  return acquireRetry() ? { kind: 'retry' } : { kind: 'end', reason: 'noBudget' };
}
