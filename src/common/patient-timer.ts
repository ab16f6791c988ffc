/**
 * A timeout for what another process is late with. Timers of a busy process run before it looks at its
 * sockets, so an ordinary timeout also ends waits whose answer has arrived long ago. This one counts
 * only time in which the process could have seen the answer. Handles instances that are short of
 * processor time: they would otherwise take their own delay for failures of all others.
 */

/** The wait is divided into so many parts, after each of which the process looks at its sockets. */
const PARTS = 4;

/**
 * Starts a timeout.
 *
 * @param milliseconds - The time to wait; longer by the time that this process was held up.
 * @param onElapsed - Called once when the time is up.
 * @returns A function that cancels the timeout.
 */
export function startPatientTimer(milliseconds: number, onElapsed: () => void): () => void {
  let timer: NodeJS.Timeout;
  let immediate: NodeJS.Immediate | undefined;
  let elapsedParts = 0;
  const endPart = (): void => {
    elapsedParts += 1;
    if (elapsedParts < PARTS) startPart();
    else onElapsed();
  };
  const startPart = (): void => {
    timer = setTimeout(() => {
      // Sockets are looked at between the timers and the immediates.
      immediate = setImmediate(endPart);
    }, milliseconds / PARTS);
  };
  startPart();
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
}
