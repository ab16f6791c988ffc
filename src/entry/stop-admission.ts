/**
 * Decides whether an instance that is being stopped still takes a request. Handles a planned stop under load:
 * callers go on using an instance's address for some seconds, and the instance ends all requests that are open
 * at the stop's end, also those that must not be repeated.
 *
 * From the first moment on, a request is taken only if its own time is over before that end, whether it may be
 * repeated or not. A call or stream that may be repeated could be taken and broken off with an honest end, but its
 * caller would then learn seconds later what a refusal tells at once: that another instance must serve it. A
 * stream could not be handed over either, since this instance holds the caller's connection; nor does passing
 * a request on to a peer help, for the same reason. Callers that are refused come back to another instance.
 */

/** Options of {@link isRefusedByStop}. */
export interface StopAdmission {
  /**
   * When the request's time is over: the lesser of its route's timeout and what its caller waits; for a stream the
   * route's timeout, as a stream that stops at its caller's deadline is a part only.
   */
  readonly deadline: number;
  /** When the instance ends all requests, on the same clock; undefined unless it is being stopped. */
  readonly mustFinishBy: number | undefined;
}

/**
 * Tells whether a request is refused, without having run, since the instance is being stopped.
 *
 * @param admission - The ends of the request and of the stop.
 * @returns True if the request might still run when the instance ends all requests.
 */
export function isRefusedByStop({ deadline, mustFinishBy }: StopAdmission): boolean {
  return mustFinishBy !== undefined && deadline > mustFinishBy;
}
