/**
 * Keeps what all instances together send to a backend server in need within the limit that it names.
 * Each instance has a fixed part of the requests that the limit allows in a window; the parts are whole
 * requests and add up to no more than the limit, so that instances need not ask each other before they
 * send. Handles a server that asks for less load than the fleet usually sends it, also just after it has
 * named the limit: what was sent in the window before counts.
 */
import { createHash } from 'node:crypto';
import type { Logger } from '../telemetry/log.js';

/**
 * Limits by server id: requests per second, or null where the server has ceased to name one, and how
 * many milliseconds ago it said so.
 */
export type ReportedLimits = Record<
  string,
  [requestsPerSecond: number | null, ageMilliseconds: number]
>;

/** Options of {@link ServerLimits}. */
export interface ServerLimitsOptions {
  /** Name of this instance. */
  readonly instance: string;
  /** Names of the other instances that may be alive, including those that cannot be reached. */
  readonly listPeers: () => readonly string[];
  /** From when on after it was named a limit must hold for all that was sent in the window before; 3 s by default. */
  readonly contactMilliseconds?: number;
  readonly log: Logger;
  readonly now?: () => number;
}

/** What is known of one server. Times are on the monotonic clock. */
interface ServerState {
  /** Undefined if the server's last answer named none. */
  requestsPerSecond: number | undefined;
  /** When this instance first heard of the limit; kept while the server names one. */
  namedAt: number;
  /** When the server last said so, to this instance or a peer. */
  heardAt: number;
  /** When this instance sent it requests; older ones than the longest window are dropped. */
  sentAt: number[];
  /** When this instance last sent it a request to find out whether its limit still holds. */
  probedAt: number;
  /** Whether it has named a limit at some time; peers are told what it says since. */
  hasNamedLimit: boolean;
  /** This instance's place among those that share the limit. */
  place: Place | undefined;
}

/** The place of an instance among all that share a server's limit. */
interface Place {
  /** From 0; the order is the same at all instances, and another one for each server. */
  readonly rank: number;
  readonly instances: number;
  readonly computedAt: number;
}

const MILLISECONDS_PER_SECOND = 1000;
/** Requests are counted over this long, or over the time of one request where the limit is lower. */
const MINIMUM_WINDOW_MILLISECONDS = 4000;
const MAXIMUM_WINDOW_MILLISECONDS = 60_000;
/**
 * A limit that no answer has confirmed for this long no longer holds for the first instance, which then
 * finds out; for each next one it holds somewhat longer, so that they do not all try at once.
 */
const UNCONFIRMED_MILLISECONDS = 8000;
const UNCONFIRMED_STEP_MILLISECONDS = 2000;
/** The shortest time between two requests with which one instance finds out. */
const PROBE_INTERVAL_MILLISECONDS = 2000;
const DEFAULT_CONTACT_MILLISECONDS = 3000;
/** Peers hear of a limit so much later than the first instance. */
const NEWS_MILLISECONDS = 1000;
const MAXIMUM_UNCONFIRMED_STEPS = 15;
const MAXIMUM_SENT_TIMES = 10_000;
/** Ranks are hashes over all peers; within this time they are not computed again. */
const PLACE_LIFETIME_MILLISECONDS = 500;

function getWindow(requestsPerSecond: number): number {
  const oneRequest = MILLISECONDS_PER_SECOND / requestsPerSecond;
  return Math.min(MAXIMUM_WINDOW_MILLISECONDS, Math.max(MINIMUM_WINDOW_MILLISECONDS, oneRequest));
}

function hashPair(server: string, instance: string): string {
  return createHash('sha1').update(`${server}\n${instance}`).digest('hex');
}

export class ServerLimits {
  readonly #options: ServerLimitsOptions;

  readonly #now: () => number;

  readonly #servers = new Map<string, ServerState>();

  constructor(options: ServerLimitsOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /** Counts a request that is sent to a server; what the server then does with it doesn't matter. */
  recordSend(id: string): void {
    const now = this.#now();
    const state = this.#getState(id);
    const oldest = now - MAXIMUM_WINDOW_MILLISECONDS;
    if (state.sentAt.length >= MAXIMUM_SENT_TIMES || (state.sentAt[0] ?? now) < oldest)
      state.sentAt = state.sentAt.filter((time) => time >= oldest).slice(1 - MAXIMUM_SENT_TIMES);
    state.sentAt.push(now);
    if (state.requestsPerSecond !== undefined && now >= this.#confirmedUntil(id, state))
      state.probedAt = now;
  }

  /**
   * Records what a server's answer says.
   *
   * @param id - Id of the server.
   * @param requestsPerSecond - The limit that it names for all instances together; undefined if none.
   */
  recordAnswer(id: string, requestsPerSecond: number | undefined): void {
    if (requestsPerSecond === undefined && !this.#servers.has(id)) return;
    this.#hear(id, requestsPerSecond, this.#now());
  }

  /** What servers with a limit have said lately, as reported to peers. */
  get reported(): ReportedLimits {
    const now = this.#now();
    const reported: ReportedLimits = {};
    this.#servers.forEach(({ requestsPerSecond, heardAt, hasNamedLimit }, id) => {
      if (hasNamedLimit && now - heardAt < UNCONFIRMED_MILLISECONDS)
        reported[id] = [requestsPerSecond ?? null, Math.round(now - heardAt)];
    });
    return reported;
  }

  /** Takes over the limits that a peer reports, unless this instance has heard later. */
  merge(reported: ReportedLimits): void {
    const now = this.#now();
    Object.entries(reported).forEach(([id, [requestsPerSecond, ageMilliseconds]]) => {
      const heardAt = now - ageMilliseconds;
      if (heardAt > (this.#servers.get(id)?.heardAt ?? Number.NEGATIVE_INFINITY))
        this.#hear(id, requestsPerSecond ?? undefined, heardAt);
    });
  }

  /** Whether this instance may send a server one more request now. */
  hasRoom(id: string): boolean {
    return this.roomInMilliseconds(id) === 0;
  }

  /**
   * Returns when this instance may send a server one more request, if it sends no other meanwhile.
   *
   * @param id - Id of the server.
   * @returns Milliseconds; 0 for now.
   */
  roomInMilliseconds(id: string): number {
    const state = this.#servers.get(id);
    const requestsPerSecond = state?.requestsPerSecond;
    if (!state || requestsPerSecond === undefined) return 0;
    const now = this.#now();
    const untilProbe = Math.max(
      0,
      this.#confirmedUntil(id, state) - now,
      state.probedAt + PROBE_INTERVAL_MILLISECONDS - now,
    );
    const window = getWindow(requestsPerSecond);
    const { rank, instances } = this.#getPlace(id, state);
    const settlingMilliseconds = instances > 1 ? this.#getSettlingTime(state, now) : 0;
    if (settlingMilliseconds > 0) return settlingMilliseconds;
    const total = Math.floor((requestsPerSecond * window) / MILLISECONDS_PER_SECOND);
    const ownPart = Math.floor(total / instances) + (rank < total % instances ? 1 : 0);
    if (ownPart === 0) return untilProbe;
    const sent = state.sentAt.filter((time) => time > now - window);
    if (sent.length < ownPart) return 0;
    // Room is there when all but one less than the part have left the window.
    return Math.max(1, (sent.at(-ownPart) ?? now) + window - now);
  }

  /** Discards what is known of a server, since it is gone or another process has its id now. */
  forget(id: string): void {
    this.#servers.delete(id);
  }

  /** Discards what is known of servers that are no longer registered. */
  retain(isRegistered: (id: string) => boolean): void {
    [...this.#servers.keys()].filter((id) => !isRegistered(id)).forEach((id) => this.forget(id));
  }

  /**
   * How long nothing is sent, in milliseconds. What the others sent before they knew of the limit counts from the moment on
   * at which it must hold, and nobody knows how much that was: it has to leave the window first.
   */
  #getSettlingTime({ namedAt }: ServerState, now: number): number {
    const { contactMilliseconds = DEFAULT_CONTACT_MILLISECONDS } = this.#options;
    const age = now - namedAt;
    const isBetween =
      age >= contactMilliseconds - NEWS_MILLISECONDS && age <= MINIMUM_WINDOW_MILLISECONDS;
    return isBetween ? Math.max(1, MINIMUM_WINDOW_MILLISECONDS - age) : 0;
  }

  #getPlace(id: string, state: ServerState): Place {
    const now = this.#now();
    if (state.place && now - state.place.computedAt < PLACE_LIFETIME_MILLISECONDS)
      return state.place;
    const { instance, listPeers } = this.#options;
    const peers = listPeers().filter((peer) => peer !== instance);
    const own = hashPair(id, instance);
    const rank = peers.filter((peer) => hashPair(id, peer) < own).length;
    state.place = { rank, instances: peers.length + 1, computedAt: now };
    return state.place;
  }

  /** Until when a limit holds that no further answer confirms, on the monotonic clock. */
  #confirmedUntil(id: string, state: ServerState): number {
    const steps = Math.min(this.#getPlace(id, state).rank, MAXIMUM_UNCONFIRMED_STEPS);
    return state.heardAt + UNCONFIRMED_MILLISECONDS + steps * UNCONFIRMED_STEP_MILLISECONDS;
  }

  #hear(id: string, requestsPerSecond: number | undefined, heardAt: number): void {
    const state = this.#getState(id);
    if (state.requestsPerSecond !== requestsPerSecond)
      this.#options.log.info('Limit of the backend server changed.', {
        id,
        requestsPerSecond,
        before: state.requestsPerSecond,
        ageMilliseconds: Math.round(this.#now() - heardAt),
      });
    if (state.requestsPerSecond === undefined) state.namedAt = heardAt;
    state.requestsPerSecond = requestsPerSecond;
    state.hasNamedLimit ||= requestsPerSecond !== undefined;
    state.heardAt = heardAt;
  }

  #getState(id: string): ServerState {
    const known = this.#servers.get(id);
    if (known) return known;
    const state: ServerState = {
      requestsPerSecond: undefined,
      namedAt: Number.NEGATIVE_INFINITY,
      heardAt: Number.NEGATIVE_INFINITY,
      sentAt: [],
      probedAt: Number.NEGATIVE_INFINITY,
      hasNamedLimit: false,
      place: undefined,
    };
    this.#servers.set(id, state);
    return state;
  }
}
