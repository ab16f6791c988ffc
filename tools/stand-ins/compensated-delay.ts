/** Delays whose average length is correct although timers fire late. */
import { sleep } from '../../src/common/clock.js';

const SMOOTHING_FACTOR = 0.1;

/**
 * Shortens each delay by the average lateness of the previous ones. Without this, simulated steps
 * of a few milliseconds would take noticeably longer than configured.
 */
export class CompensatedDelay {
  #meanLatenessMilliseconds = 0;

  /**
   * Waits for the given time.
   *
   * @param milliseconds - The average duration over many calls; 0 or less returns at once.
   */
  async wait(milliseconds: number): Promise<void> {
    if (milliseconds <= 0) return;
    const startedAt = performance.now();
    const delay = milliseconds - this.#meanLatenessMilliseconds;
    if (delay > 0) await sleep(delay);
    const lateness = performance.now() - startedAt - milliseconds;
    this.#meanLatenessMilliseconds += SMOOTHING_FACTOR * lateness;
  }
}
