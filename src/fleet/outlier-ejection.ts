/**
 * Outlier ejection: keeps new requests away from backend servers that are dead, silent or fail too
 * often. An ejection ends when its hold time has elapsed and the server passes a health check;
 * repeated ejections hold longer. Handles servers that stop answering while still registered, that
 * fail some requests but pass health checks, and that alternate between failing and recovering.
 *
 * That a server can't be reached is seen from one place: an instance that lost its own links says so of
 * all servers. A peer's word of that kind is believed only as long as this instance hasn't heard from the
 * server itself since.
 */
import type { Logger } from '../telemetry/log.js';

/** Options of {@link OutlierEjection}. */
export interface OutlierEjectionOptions {
  readonly log: Logger;
  /** Called when this instance ejects a server. */
  readonly onEjected?: () => void;
  /** Called with the id of a server that this instance had ejected and that has passed a health check. */
  readonly onReadmitted?: (id: string) => void;
  /** Whether this instance is cut from all servers, so that it sees nothing of them. */
  readonly isCut?: () => boolean;
  readonly now?: () => number;
}

/**
 * Why a server is ejected: it could not be reached by this instance, or it is at fault, as its answers or
 * another server show.
 */
export type EjectionCause = 'unreachable' | 'faulty';

/** A server that a peer has ejected. */
export interface PeerEjection {
  readonly id: string;
  readonly cause: EjectionCause;
  /** When, in milliseconds on this instance's monotonic clock. */
  readonly at: number;
}

interface Ejection {
  readonly cause: EjectionCause;
  readonly ejectedAt: number;
  /** Monotonic clock; the server cannot be readmitted earlier. */
  heldUntil: number;
  holdMilliseconds: number;
  /** Stays true after the hold time until the server passes a health check. */
  isActive: boolean;
  /** Monotonic clock; the start of the ejection while it is active. */
  endedAt: number;
}

const INITIAL_HOLD_MILLISECONDS = 500;
const MAXIMUM_HOLD_MILLISECONDS = 8000;
/** The hold time starts at its initial value again if the last ejection ended this long ago. */
const HOLD_RESET_MILLISECONDS = 10_000;
/** Failed requests, less the offset by successful ones, at which a server is ejected. */
const FAILURE_THRESHOLD = 2;
const FAILURES_OFFSET_PER_SUCCESS = 0.2;

export class OutlierEjection {
  readonly #log: Logger;

  readonly #onEjected: () => void;

  readonly #onReadmitted: (id: string) => void;

  readonly #isCut: () => boolean;

  readonly #now: () => number;

  readonly #ownEjections = new Map<string, Ejection>();

  readonly #peerEjections = new Map<string, ReadonlyMap<string, PeerEjection>>();

  /** When this instance last heard from a server. */
  readonly #heardAt = new Map<string, number>();

  readonly #failureCounts = new Map<string, number>();

  constructor(options: OutlierEjectionOptions) {
    this.#log = options.log;
    this.#onEjected = options.onEjected ?? (() => undefined);
    this.#onReadmitted = options.onReadmitted ?? (() => undefined);
    this.#isCut = options.isCut ?? (() => false);
    this.#now = options.now ?? (() => performance.now());
  }

  /**
   * Ejects a server; does nothing if this instance has already ejected it.
   *
   * @param id - Id of the server.
   * @param reason - Why, for the log.
   * @param cause - What kind of reason that is.
   */
  eject(id: string, reason: string, cause: EjectionCause = 'unreachable'): void {
    const now = this.#now();
    const previous = this.#ownEjections.get(id);
    if (previous?.isActive || this.#isCut()) return;
    const isRepeated = previous && now - previous.endedAt < HOLD_RESET_MILLISECONDS;
    const holdMilliseconds = isRepeated
      ? Math.min(MAXIMUM_HOLD_MILLISECONDS, 2 * previous.holdMilliseconds)
      : INITIAL_HOLD_MILLISECONDS;
    this.#ownEjections.set(id, {
      cause,
      ejectedAt: now,
      holdMilliseconds,
      heldUntil: now + holdMilliseconds,
      isActive: true,
      endedAt: now,
    });
    this.#log.warn('Backend server ejected.', { id, reason, cause, holdMilliseconds });
    this.#onEjected();
  }

  /** Counts a failed request, and ejects the server when the failures reach the threshold. */
  recordFailure(id: string, reason: string, cause: EjectionCause = 'unreachable'): void {
    const failures = (this.#failureCounts.get(id) ?? 0) + 1;
    this.#failureCounts.set(id, failures);
    if (failures < FAILURE_THRESHOLD) return;
    this.#failureCounts.set(id, FAILURE_THRESHOLD - 1);
    this.eject(id, reason, cause);
  }

  /**
   * Withdraws what this instance has concluded of servers since it lost its links to them.
   *
   * @param since - When it did, on the monotonic clock, in milliseconds.
   */
  withdrawSince(since: number): void {
    const withdrawn = [...this.#ownEjections].filter(([, { ejectedAt }]) => ejectedAt >= since);
    withdrawn.forEach(([id]) => this.#ownEjections.delete(id));
    this.#failureCounts.clear();
    this.#log.info('Ejections withdrawn: the instance was cut from the servers.', {
      ids: withdrawn.map(([id]) => id),
    });
  }

  /** Notes that this instance hears from a server, so that it can be reached from here. */
  recordLife(id: string): void {
    this.#heardAt.set(id, this.#now());
  }

  /** Counts a successful request, which offsets a fifth of an earlier failure. */
  recordSuccess(id: string): void {
    const failures = this.#failureCounts.get(id);
    if (failures === undefined) return;
    if (failures <= FAILURES_OFFSET_PER_SUCCESS) this.#failureCounts.delete(id);
    else this.#failureCounts.set(id, failures - FAILURES_OFFSET_PER_SUCCESS);
  }

  /**
   * Readmits an ejected server if its hold time has elapsed.
   *
   * @param id - Id of a server that has passed a health check.
   */
  readmitIfHoldElapsed(id: string): void {
    const known = this.#ownEjections.get(id);
    if (!known?.isActive || known.heldUntil > this.#now()) return;
    known.isActive = false;
    known.endedAt = this.#now();
    this.#log.info('Backend server readmitted.', { id });
    this.#onReadmitted(id);
  }

  /** Discards what this instance has observed of a server, since another process has its id now. */
  forget(id: string): void {
    this.#ownEjections.delete(id);
    this.#failureCounts.delete(id);
    this.#heardAt.delete(id);
  }

  /** Discards the state of servers that are no longer registered. */
  retain(isRegistered: (id: string) => boolean): void {
    [...this.#ownEjections.keys()]
      .filter((id) => !isRegistered(id))
      .forEach((id) => this.#ownEjections.delete(id));
    [...this.#failureCounts.keys()]
      .filter((id) => !isRegistered(id))
      .forEach((id) => this.#failureCounts.delete(id));
    [...this.#heardAt.keys()]
      .filter((id) => !isRegistered(id))
      .forEach((id) => this.#heardAt.delete(id));
  }

  /** Replaces the servers that a peer has ejected; an empty list removes the peer. */
  replacePeerEjections(peer: string, ejections: readonly PeerEjection[]): void {
    if (ejections.length === 0) this.#peerEjections.delete(peer);
    else this.#peerEjections.set(peer, new Map(ejections.map((one) => [one.id, one])));
  }

  /** Ids of the servers that this instance has ejected. */
  get ownEjections(): string[] {
    return [...this.#ownEjections].filter(([, { isActive }]) => isActive).map(([id]) => id);
  }

  /** By ejected server: when this instance ejected it, on its monotonic clock, and why. */
  get ownEjectionCauses(): Record<string, [ejectedAt: number, cause: EjectionCause]> {
    const active = [...this.#ownEjections].filter(([, { isActive }]) => isActive);
    return Object.fromEntries(
      active.map(([id, { ejectedAt, cause }]) => [id, [Math.round(ejectedAt), cause]]),
    );
  }

  /** How many servers this instance has ejected, and each peer, for the log. */
  get counts(): { readonly own: number; readonly peers: Readonly<Record<string, number>> } {
    const peers = [...this.#peerEjections].map(([peer, ids]) => [peer, ids.size] as const);
    return { own: this.ownEjections.length, peers: Object.fromEntries(peers) };
  }

  /**
   * Ids of ejected servers whose hold time has elapsed, so that a health check may readmit them.
   */
  get dueForHealthCheck(): string[] {
    const now = this.#now();
    return [...this.#ownEjections]
      .filter(([, { isActive, heldUntil }]) => isActive && heldUntil <= now)
      .map(([id]) => id);
  }

  /** Whether this instance has ejected the server, or a peer whose word holds here. */
  isEjected(id: string): boolean {
    if (this.#ownEjections.get(id)?.isActive) return true;
    const heardAt = this.#heardAt.get(id) ?? Number.NEGATIVE_INFINITY;
    return [...this.#peerEjections.values()].some((ejections) => {
      const ejection = ejections.get(id);
      return ejection !== undefined && (ejection.cause === 'faulty' || ejection.at >= heardAt);
    });
  }
}
