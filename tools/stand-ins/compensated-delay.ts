/** Waits that are right on average, although timers fire late. */
import { sleep } from '../../src/common/clock.js';

const SMOOTHING_FACTOR = 0.1;

export class CompensatedDelay {
  #meanLatenessMilliseconds = 0;

  /**
   * Waits.
   *
   * @param milliseconds - How long, on average over many waits.
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
