/** Work that an instance does again and again for as long as it runs. */
import type { Logger } from '../telemetry/log.js';
import { sleep } from './clock.js';
import { getErrorMessage } from './http-client.js';

/** Options of {@link runPeriodically}. */
export interface PeriodicTaskOptions {
  /** Names the work in the log. */
  readonly name: string;
  /** The pause after each time, in milliseconds. */
  readonly interval: () => number;
  readonly work: () => Promise<void>;
  readonly signal: AbortSignal;
  readonly log: Logger;
}

/**
 * Does some work until a signal aborts. An error ends neither the task nor the process: what led to it may be
 * one odd message, and is mostly gone the next time.
 *
 * @param options - The work.
 */
export async function runPeriodically(options: PeriodicTaskOptions): Promise<void> {
  const { name, interval, work, signal, log } = options;
  while (!signal.aborted) {
    try {
      await work();
    } catch (error) {
      log.error('Periodic task failed.', { task: name, message: getErrorMessage(error) });
    }
    await sleep(interval(), signal);
  }
}
