/**
 * The concurrency window of a backend server that has just started or recovered: how it grows and shrinks, which of
 * two instances' states of it is the newer one, and which part of its free places is an instance's own. Pure functions;
 * {@link ServerPace} holds the state.
 */

/** A window as all instances exchange it. */
export interface PaceWindow {
  /** Counts the changes of the window; the state of the higher round is the newer one. */
  readonly round: number;
  /** Requests that the server may run at once for all instances together; infinite once the window has ended. */
  readonly places: number;
  /** When it last changed, on this instance's monotonic clock. */
  readonly changedAt: number;
}

/**
 * A window in a record: round, places (null once it has ended), how many milliseconds before the record it last
 * changed, and how many answers in time the instance has got in the round.
 */
export type ReportedWindow = [
  round: number,
  places: number | null,
  ageMilliseconds: number,
  answers: number,
];
/** Windows by process of a server. */
export type ReportedWindows = Record<string, ReportedWindow>;

/** Options of {@link getOwnPart}. */
export interface OwnPartOptions {
  /** Places that are free as all instances know them: not counting what this instance sent in this turn. */
  readonly freePlaces: number;
  /** This instance's place among those that share the window, from 0; the same order at all of them. */
  readonly rank: number;
  readonly instances: number;
  /** Places of the window; the first rank moves on by as many with each turn. */
  readonly places: number;
  /** Number of the turn, the same at all instances. */
  readonly turn: number;
  /** Separates the servers, so that one instance isn't the first at all of them. */
  readonly offset: number;
}

/** A round of a single answer would be weak evidence. */
const MINIMUM_INITIAL_PLACES = 2;
/** A larger server begins with this share of its slots, so that it needs three rounds at most. */
const INITIAL_SHARE_OF_SLOTS = 0.25;
/** How long instances report that a window has ended; several record intervals of a fleet of 380 instances. */
export const ENDED_SHARED_MILLISECONDS = 10_000;
/** The record grows by about 50 bytes for each. */
export const MAXIMUM_REPORTED_WINDOWS = 32;
/** Time of a change that this instance did not observe. */
const NEVER = Number.NEGATIVE_INFINITY;

/** The state of a process that was registered before this instance started: at its full rate, older than any report. */
export const FULL_RATE: PaceWindow = {
  round: 0,
  places: Number.POSITIVE_INFINITY,
  changedAt: NEVER,
};

/** Returns the places with which the window of a server begins. */
export function getInitialPlaces(slots: number): number {
  return Math.max(MINIMUM_INITIAL_PLACES, Math.floor(INITIAL_SHARE_OF_SLOTS * slots));
}

/** Whether a window no longer limits its server. */
export function hasEnded({ places }: PaceWindow): boolean {
  return places === Number.POSITIVE_INFINITY;
}

/** The state after a round of answers in time; ended when all slots of the server can be used. */
export function grow({ round, places }: PaceWindow, slots: number, now: number): PaceWindow {
  const doubled = 2 * places;
  return {
    round: round + 1,
    places: doubled >= slots ? Number.POSITIVE_INFINITY : doubled,
    changedAt: now,
  };
}

/** The state after a refusal, a failure or a late answer. */
export function shrink({ round, places }: PaceWindow, slots: number, now: number): PaceWindow {
  const halved = Math.max(getInitialPlaces(slots), Math.floor(places / 2));
  return { round: round + 1, places: halved, changedAt: now };
}

/**
 * Whether a peer's state of a window replaces the one that is known. Rounds order the states without a common clock; of
 * one round the smaller window holds, as a refusal then outweighs answers in time elsewhere. Where the end of a window
 * is so long ago that peers may have forgotten its round, the ages decide.
 *
 * @param reported - The peer's state.
 * @param known - The state that is known here.
 * @param now - Current time on the monotonic clock, in milliseconds.
 */
export function isNewer(reported: PaceWindow, known: PaceWindow, now: number): boolean {
  const isForgotten = hasEnded(known) && now - known.changedAt > ENDED_SHARED_MILLISECONDS;
  if (isForgotten && !hasEnded(reported) && reported.changedAt > known.changedAt) return true;
  if (reported.round !== known.round) return reported.round > known.round;
  return reported.places < known.places;
}

/**
 * Returns an instance's part of the free places of a window. The parts of all instances that know the same add up to the
 * free places. Where there are fewer of these than instances, the places rotate, so that each gets some in time.
 */
export function getOwnPart(options: OwnPartOptions): number {
  const { freePlaces, rank, instances, places, turn, offset } = options;
  const free = Math.max(0, freePlaces);
  // The last term reaches every rank first, also where places and instances have a common divisor.
  const first = (offset + turn * places + Math.floor(turn / instances)) % instances;
  const rankInTurn = (rank - first + instances) % instances;
  return Math.floor(free / instances) + (rankInTurn < free % instances ? 1 : 0);
}

/** Describes windows for a record, the most recently changed ones; an age is never negative. */
export function reportWindows(
  windows: readonly { processKey: string; state: PaceWindow; answers: number }[],
  now: number,
): ReportedWindows {
  const newest = [...windows].sort((one, other) => other.state.changedAt - one.state.changedAt);
  return Object.fromEntries(
    newest.slice(0, MAXIMUM_REPORTED_WINDOWS).map(({ processKey, state, answers }) => {
      const places = hasEnded(state) ? null : state.places;
      const age = Math.max(0, Math.round(now - state.changedAt));
      return [processKey, [state.round, places, age, answers]];
    }),
  );
}

/** Reads a window from a peer's record. */
export function readWindow(
  [round, places, ageMilliseconds, answers]: ReportedWindow,
  now: number,
): { readonly state: PaceWindow; readonly answers: number } {
  const state = {
    round,
    places: places === null ? Number.POSITIVE_INFINITY : Math.max(1, Math.floor(places)),
    changedAt: now - Math.max(0, ageMilliseconds),
  };
  return { state, answers };
}
