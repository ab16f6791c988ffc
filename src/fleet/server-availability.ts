/**
 * Decides whether a server may be sent a request, from what it says itself and what its refusals suggest.
 * Handles servers that are full, ask for a pause or leave: requests sent there all the same would be refused
 * or broken off. What a server says is kept to; what only suggests something gives way where no other server
 * can run the request.
 */
import type { FleetServer } from './fleet-server.js';

/** `closed` must get nothing; `avoided` gets a request only where no other server can run it. */
export type Availability = 'open' | 'avoided' | 'closed';

/** How long a server that names no time is assumed to be full; doubles with each consecutive refusal. */
const INITIAL_FULL_PAUSE_MILLISECONDS = 150;
const MAXIMUM_FULL_PAUSE_MILLISECONDS = 1200;

/**
 * Tells whether a server may be sent a request.
 *
 * @param server - The server; one that has said here that it leaves isn't listed any more.
 * @param now - Current time on the monotonic clock, in milliseconds.
 */
export function getAvailability(
  { ownWord, fullUntil, isLeavingByPeer }: FleetServer,
  now: number,
): Availability {
  if (ownWord.pausedUntil > now) return 'closed';
  return fullUntil > now || isLeavingByPeer ? 'avoided' : 'open';
}

/**
 * Records that a server refused a request because it is full or leaving.
 *
 * @param server - The server, changed in place.
 * @param now - Current time on the monotonic clock, in milliseconds.
 */
export function recordRefusal(server: FleetServer, now: number): void {
  const pause = Math.min(
    MAXIMUM_FULL_PAUSE_MILLISECONDS,
    INITIAL_FULL_PAUSE_MILLISECONDS * 2 ** server.consecutiveRefusals,
  );
  server.consecutiveRefusals += 1;
  server.refusingSince ??= now;
  server.fullUntil = now + pause;
}

/**
 * Records that a server accepted a request. A pause that it asked for goes on.
 *
 * @param server - The server, changed in place.
 */
export function recordAcceptance(server: FleetServer): void {
  server.consecutiveRefusals = 0;
  server.refusingSince = undefined;
  server.fullUntil = 0;
}
