/**
 * The course of a planned stop: serves while callers may still use the instance's address, waits for the last
 * request, and ends what is unfinished shortly before the platform kills the process. Handles requests that last
 * longer than the stop: each gets an answer, or, if its stream has begun, an end that doesn't look complete.
 */
import { sleep } from '../common/clock.js';
import type { EntryServer } from '../entry/entry-server.js';

/** When the parts of a stop end, on the monotonic clock. */
export interface StopTimes {
  /** Callers may use the instance's address until then. */
  readonly cachedUntil: number;
  /** All requests are ended then. */
  readonly mustFinishBy: number;
  /** All connections are closed then, also those whose answer has not been sent completely. */
  readonly closeAt: number;
}

/** Options of {@link planStop}. */
export interface StopOptions {
  /** When the stop began, on the monotonic clock. */
  readonly startedAt: number;
  /** The platform kills the process so much later. */
  readonly timeoutMilliseconds: number;
  readonly addressLifetimeMilliseconds: number;
}

/** Requests are ended this long before the process is killed, so that it exits in order. */
const STOP_MARGIN_MILLISECONDS = 600;
/** Time for the answers to requests that were ended. */
const ANSWER_MILLISECONDS = 300;
const POLL_INTERVAL_MILLISECONDS = 50;
const ANSWER_POLL_INTERVAL_MILLISECONDS = 10;
/**
 * Callers may keep using an address past its lifetime. After a stop begins, the instance serves for at
 * least this many address lifetimes.
 */
const CACHED_ADDRESS_LIFETIMES = 3;

/**
 * Plans a stop.
 *
 * @param options - When it began, and how long it may take.
 * @returns When its parts end.
 */
export function planStop(options: StopOptions): StopTimes {
  const { startedAt, timeoutMilliseconds, addressLifetimeMilliseconds } = options;
  const mustFinishBy = startedAt + timeoutMilliseconds - STOP_MARGIN_MILLISECONDS;
  return {
    cachedUntil: startedAt + CACHED_ADDRESS_LIFETIMES * addressLifetimeMilliseconds,
    mustFinishBy,
    closeAt: mustFinishBy + ANSWER_MILLISECONDS,
  };
}

/**
 * Serves until the last request is done or has been ended; resolves when connections can be closed.
 *
 * @param server - The server for callers, which already refuses what can't be finished in time.
 * @param times - When the parts of the stop end.
 * @returns How many requests were ended unfinished, and for how many of them the answer was not sent completely.
 */
export async function finishRequests(
  server: Pick<EntryServer, 'openRequests' | 'closeIdleConnections' | 'endRequests'>,
  { cachedUntil, mustFinishBy, closeAt }: StopTimes,
): Promise<{ readonly ended: number; readonly unanswered: number }> {
  while (performance.now() < mustFinishBy) {
    if (performance.now() >= cachedUntil) {
      server.closeIdleConnections();
      if (server.openRequests() === 0) return { ended: 0, unanswered: 0 };
    }
    const remaining = mustFinishBy - performance.now();
    await sleep(Math.max(0, Math.min(POLL_INTERVAL_MILLISECONDS, remaining)));
  }
  const ended = server.openRequests();
  server.endRequests();
  while (server.openRequests() > 0 && performance.now() < closeAt)
    await sleep(ANSWER_POLL_INTERVAL_MILLISECONDS);
  return { ended, unanswered: server.openRequests() };
}
