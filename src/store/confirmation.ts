/**
 * Judges how old what an instance follows in the store may be, and how it asks the store next. Handles
 * connections that go silent without a reset, when a firewall is replaced for example: a call that waits on
 * one looks like a store without news.
 */

/** How long calls of one follower may take, in milliseconds. */
export interface FollowBounds {
  /** How long a watch waits for a change. */
  readonly waitMilliseconds: number;
  /** Added to the wait for the way of the answer; a watch that takes longer has gone silent. */
  readonly allowanceMilliseconds: number;
  /** The same while the store is slow. */
  readonly slowAllowanceMilliseconds: number;
  /** The longest wait for the first answer over a new connection. */
  readonly newConnectionTimeoutMilliseconds: number;
}

/**
 * Shares of the time after which an instance must know what was acknowledged before its connections went silent.
 * A watch, its allowance and two calls over new connections, of which the first may be lost, stay within it.
 */
const WAIT_SHARE = 1 / 3;
const ALLOWANCE_SHARE = 1 / 6;
const NEW_CONNECTION_SHARE = 1 / 5;
/** A store whose answers take this share of the allowance is slow. */
const SLOW_SHARE = 1 / 2;

/**
 * Returns the bounds of the calls with which backend servers are followed.
 *
 * @param contactMilliseconds - How long after a disturbance an instance must know again what the store holds.
 * @returns The bounds; at a contact time of 3 s one call a second while nothing changes.
 */
export function getFollowBounds(contactMilliseconds: number): FollowBounds {
  return {
    waitMilliseconds: Math.round(WAIT_SHARE * contactMilliseconds),
    allowanceMilliseconds: Math.round(ALLOWANCE_SHARE * contactMilliseconds),
    slowAllowanceMilliseconds: Math.round(WAIT_SHARE * contactMilliseconds),
    newConnectionTimeoutMilliseconds: Math.round(NEW_CONNECTION_SHARE * contactMilliseconds),
  };
}

/** How the store is to be called next. */
export interface CallPlan {
  /** Whether kept connections may be silent, so that a new one is to be opened. */
  readonly isOnNewConnection: boolean;
  /** Timeout of a list; undefined for the usual one. */
  readonly listTimeoutMilliseconds: number | undefined;
  /** How long a watch waits for a change. */
  readonly waitMilliseconds: number;
  /** Allowance of a watch. */
  readonly allowanceMilliseconds: number;
}

/** When the store last confirmed what one follower knows. */
export class Confirmation {
  readonly #bounds: FollowBounds;

  readonly #now: () => number;

  #confirmedAt = Number.NEGATIVE_INFINITY;

  /** Calls in a row that got no answer at all. */
  #silentCalls = 0;

  #isSlow = false;

  constructor(bounds: FollowBounds, now: () => number = () => performance.now()) {
    this.#bounds = bounds;
    this.#now = now;
  }

  /** Milliseconds since the store last answered this follower; infinite if it never did. */
  get ageMilliseconds(): number {
    return this.#now() - this.#confirmedAt;
  }

  /**
   * Notes an answer.
   *
   * @param latencyMilliseconds - How long the answer took, without the wait for a change; undefined if unknown.
   */
  confirm(latencyMilliseconds?: number): void {
    this.#confirmedAt = this.#now();
    this.#silentCalls = 0;
    if (latencyMilliseconds === undefined) return;
    this.#isSlow = latencyMilliseconds > SLOW_SHARE * this.#bounds.allowanceMilliseconds;
  }

  /**
   * Notes a call that failed.
   *
   * @param isSilent - Whether nothing was heard, neither an answer nor an end of the connection.
   */
  fail(isSilent: boolean): void {
    this.#silentCalls = isSilent ? this.#silentCalls + 1 : 0;
  }

  /**
   * Decides how the store is called next. What was confirmed longer ago than a watch may take can't be
   * told from silence, also after a pause in which peers followed the store.
   *
   * @returns Whether to open a connection, and the timeouts.
   */
  planCall(): CallPlan {
    const { waitMilliseconds, newConnectionTimeoutMilliseconds } = this.#bounds;
    const { allowanceMilliseconds, slowAllowanceMilliseconds } = this.#bounds;
    const isOverdue = this.ageMilliseconds > waitMilliseconds + allowanceMilliseconds;
    // A store that didn't answer on a new connection either may be slow: it is given the usual time.
    const isFirstAfterSilence = this.#silentCalls === 1;
    return {
      isOnNewConnection: isOverdue || this.#silentCalls > 0,
      waitMilliseconds,
      listTimeoutMilliseconds: isFirstAfterSilence ? newConnectionTimeoutMilliseconds : undefined,
      allowanceMilliseconds: this.#isSlow ? slowAllowanceMilliseconds : allowanceMilliseconds,
    };
  }
}
