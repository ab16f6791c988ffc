/**
 * Tells when servers that take no request now will take one again. Handles a service whose servers all name
 * limits or ask for pauses: its callers are told a time at which there is room, and don't all return at once.
 */
import type { FleetServer } from './fleet-server.js';
import type { ServerLimits } from './server-limits.js';

/** When there is room, and why there is none now. */
export interface ExpectedRoom {
  readonly code: 'servers_limited' | 'servers_paused';
  /** After how many seconds a caller should come back. */
  readonly seconds: number;
}

/** Options of {@link findExpectedRoom}. */
export interface ExpectedRoomOptions {
  readonly servers: readonly FleetServer[];
  readonly serverLimits: ServerLimits;
  readonly now: number;
  readonly random?: () => number;
}

/** Other instances may have room sooner, and callers come back to any. */
const MAXIMUM_RETRY_MILLISECONDS = 2000;
const MINIMUM_RETRY_MILLISECONDS = 100;
/** Callers are spread over up to this share of the time more. */
const SPREAD_SHARE = 0.5;

/**
 * Finds when the first of some servers has room, where limits and pauses leave room at none now.
 *
 * @param options - The servers.
 * @returns The time, between 0.1 and 3 s; undefined if one has room now, or there is none.
 */
export function findExpectedRoom({
  servers,
  serverLimits,
  now,
  random = Math.random,
}: ExpectedRoomOptions): ExpectedRoom | undefined {
  const waits = servers.map(({ entry, ownWord }) => ({
    limited: serverLimits.roomInMilliseconds(entry.id),
    paused: Math.max(0, ownWord.pausedUntil - now),
  }));
  const [first] = waits.sort(
    (one, other) => Math.max(one.limited, one.paused) - Math.max(other.limited, other.paused),
  );
  if (!first || Math.max(first.limited, first.paused) === 0) return undefined;
  const milliseconds = Math.min(
    MAXIMUM_RETRY_MILLISECONDS,
    Math.max(MINIMUM_RETRY_MILLISECONDS, first.limited, first.paused),
  );
  return {
    code: first.paused > first.limited ? 'servers_paused' : 'servers_limited',
    seconds: Math.round(milliseconds * (1 + SPREAD_SHARE * random())) / 1000,
  };
}
