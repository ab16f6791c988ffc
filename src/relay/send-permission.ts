/**
 * Decides right before a send whether it is still of use. Handles an instance that is late: its timers don't end
 * requests whose time is over, and it reads a request in the same moment as the close that followed it, so that it
 * would send on what nobody waits for.
 */
import type { EntryRequest } from '../entry/entry-request.js';
import type { EventLoopDelay } from '../telemetry/event-loop-delay.js';

const DELAY_WINDOW_MILLISECONDS = 1000;
/** From here on what callers' connections say may be waiting to be read. */
const LATE_MILLISECONDS = 200;

/** Lets the process look at all its sockets once: the rest of this turn of the event loop, and a whole one. */
async function readSockets(): Promise<void> {
  for (let turns = 0; turns < 2; turns += 1)
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
}

/**
 * Tells whether a request may be sent on now.
 *
 * @param request - The request; it is ended if its time is over.
 * @param eventLoopDelay - How late this process is.
 * @returns False once its time is over, its caller has left or the instance ends.
 */
export async function maySend(
  request: Pick<EntryRequest, 'isOver'>,
  eventLoopDelay: Pick<EventLoopDelay, 'longestSince'>,
): Promise<boolean> {
  if (request.isOver()) return false;
  const since = performance.now() - DELAY_WINDOW_MILLISECONDS;
  if (eventLoopDelay.longestSince(since) >= LATE_MILLISECONDS) await readSockets();
  return !request.isOver();
}
