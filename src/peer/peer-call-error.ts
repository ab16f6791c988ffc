/** The error of failed calls between instances. */

/** Thrown when a call to a peer returned no valid answer. */
export class PeerCallError extends Error {
  /** Whether the call certainly did not reach the peer; otherwise the peer may have executed it. */
  readonly wasNeverSent: boolean;

  constructor(message: string, wasNeverSent: boolean) {
    super(message);
    this.name = 'PeerCallError';
    this.wasNeverSent = wasNeverSent;
  }
}
