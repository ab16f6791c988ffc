/**
 * How late this process has lately been. Handles an instance that gets too little of a processor: it reads late what
 * its peers sent in time, so that a part of the silence that it sees is its own delay.
 */

/** Delays of a check below this share of a heartbeat occur in any process. */
const MINIMUM_LATE_SHARE = 0.5;
/** How much of a delay still counts at the next check. */
const KEPT_SHARE = 0.92;

export class OwnLateness {
  /** From 0 to 1, in heartbeats. */
  #late = 0;

  /** How many times longer than usual a peer may be silent: 1 for a process in time, 2 at most. */
  get patience(): number {
    return 1 + this.#late;
  }

  /**
   * Notes a check that is due once in each heartbeat.
   *
   * @param sinceLastCheck - Milliseconds since the check before.
   * @param heartbeat - The heartbeat in milliseconds.
   */
  recordCheck(sinceLastCheck: number, heartbeat: number): void {
    const late = Math.min(1, sinceLastCheck / heartbeat - 1);
    this.#late = Math.max(this.#late * KEPT_SHARE, late < MINIMUM_LATE_SHARE ? 0 : late);
  }
}
