/** Watches an exchange for the time since its last byte, for a peer that may have fallen silent. */
import { startPatientTimer } from '../common/patient-timer.js';

/** Options of {@link watchSilence}. */
export interface SilenceWatchOptions {
  /** The number of bytes that have arrived so far. */
  readonly countBytes: () => number;
  /** Called at regular intervals with the time since the number last changed. */
  readonly onCheck: (silenceMilliseconds: number) => void;
}

const CHECK_INTERVAL_MILLISECONDS = 150;

/**
 * Watches an exchange.
 *
 * @param options - What is watched.
 * @returns A function that ends the watch.
 */
export function watchSilence({ countBytes, onCheck }: SilenceWatchOptions): () => void {
  let bytes = countBytes();
  let progressAt = performance.now();
  let hasEnded = false;
  let cancel: () => void;
  const check = (): void => {
    const count = countBytes();
    if (count !== bytes) progressAt = performance.now();
    bytes = count;
    onCheck(performance.now() - progressAt);
    if (!hasEnded) cancel = startPatientTimer(CHECK_INTERVAL_MILLISECONDS, check);
  };
  cancel = startPatientTimer(CHECK_INTERVAL_MILLISECONDS, check);
  return () => {
    hasEnded = true;
    cancel();
  };
}
