/**
 * Counts how often the other peers have renewed their records since one peer last did. Handles an instance that is
 * always late: it can't tell its own delay from a peer's silence by the clock, but it reads what the others send.
 */

/** When a peer last renewed its record. */
export interface RenewalMark {
  /** When its renewal was last counted, in milliseconds on the monotonic clock. */
  readonly countedAt: number;
  /** Renewals of all peers of its group that were counted up to its last one. */
  readonly countBefore: number;
}

/** With fewer others, one that is busy would speak for all. */
const MINIMUM_OTHERS = 2;
/** Urgent records come at any time; one is counted in each such part of a heartbeat. */
const COUNTED_SHARE_OF_HEARTBEAT = 0.5;

/** Counts renewals, in each group of peers whose records come equally often. */
export class PeerRounds {
  readonly #counts = new Map<string, number>();

  /**
   * Counts the renewal of a peer's record.
   *
   * @param group - The peer's group.
   * @param before - Its mark; undefined for the first record.
   * @param time - The current time and the heartbeat, in milliseconds.
   * @returns Its mark from now on.
   */
  record(
    group: string,
    before: RenewalMark | undefined,
    { now, heartbeat }: { readonly now: number; readonly heartbeat: number },
  ): RenewalMark {
    const elapsed = now - (before?.countedAt ?? Number.NEGATIVE_INFINITY);
    const isCounted = elapsed >= COUNTED_SHARE_OF_HEARTBEAT * heartbeat;
    const countBefore = (this.#counts.get(group) ?? 0) + (isCounted ? 1 : 0);
    this.#counts.set(group, countBefore);
    return { countedAt: isCounted || !before ? now : before.countedAt, countBefore };
  }

  /**
   * How often the others have renewed their records, on average, since a peer last did.
   *
   * @param group - The peer's group.
   * @param mark - The peer's mark.
   * @param others - Live peers of the group without that one.
   * @returns 0 if there are too few others.
   */
  countSince(group: string, { countBefore }: RenewalMark, others: number): number {
    if (others < MINIMUM_OTHERS) return 0;
    return ((this.#counts.get(group) ?? 0) - countBefore) / others;
  }
}
