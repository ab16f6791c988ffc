/** Waits whose mean duration is right, although timers fire late. */
import { sleep } from '../../src/common/clock.js';

const SMOOTHING_FACTOR = 0.1;

/**
 * Shortens each wait by the mean lateness of earlier ones, so that short simulated steps last as
 * configured.
 */
export class CompensatedDelay {
  #meanLateness = 0;

  /**
   * Waits.
   *
   * @param milliseconds - The mean duration over many calls; 0 or less returns at once.
   */
  async wait(milliseconds: number): Promise<void> {
    if (milliseconds <= 0) return;
    const start = performance.now();
    const left = milliseconds - this.#meanLateness;
    if (left > 0) await sleep(left);
    const late = performance.now() - start - milliseconds;
    this.#meanLateness += SMOOTHING_FACTOR * late;
  }
}
