/** Time and randomness as injectable functions, so that decisions can be tested with a fake clock. */

/** Source of time and randomness. */
export interface Clock {
  /** Wall-clock time in milliseconds since 1970. */
  readonly wallMilliseconds: () => number;
  /** Monotonic time in milliseconds, from an arbitrary origin; only differences are meaningful. */
  readonly monotonicMilliseconds: () => number;
  /** A random number from 0 up to, and not including, 1. */
  readonly random: () => number;
}

/** The clock and random numbers of the process. */
export const SYSTEM_CLOCK: Clock = {
  wallMilliseconds: () => Date.now(),
  monotonicMilliseconds: () => performance.now(),
  random: () => Math.random(),
};

/**
 * Waits for a time, or until a signal aborts.
 *
 * @param milliseconds - The longest wait.
 * @param signal - Ends the wait early when it aborts.
 * @returns A promise that resolves after the wait; it never rejects, even when the signal
 *   aborts.
 */
export function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const finish = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, milliseconds);
    signal?.addEventListener('abort', finish, { once: true });
  });
}
