/**
 * Outlier ejection: keeps new requests away from backend servers that are dead, silent or fail too
 * often. An ejection ends when its hold time has elapsed and the server passes a health check;
 * repeated ejections hold longer. Handles servers that stop answering while still registered, that
 * fail some requests but pass health checks, and that alternate between failing and recovering.
 */
import type { Logger } from '../telemetry/log.js';

/** Options of {@link OutlierEjection}. */
export interface OutlierEjectionOptions {
  readonly log: Logger;
  /** Called when this instance ejects a server. */
  readonly onEjected?: () => void;
  readonly now?: () => number;
}

interface Ejection {
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

  readonly #now: () => number;

  readonly #ownEjections = new Map<string, Ejection>();

  readonly #peerEjections = new Map<string, ReadonlySet<string>>();

  readonly #failureCounts = new Map<string, number>();

  constructor(options: OutlierEjectionOptions) {
    this.#log = options.log;
    this.#onEjected = options.onEjected ?? (() => undefined);
    this.#now = options.now ?? (() => performance.now());
  }

  /**
   * Ejects a server; does nothing if this instance has already ejected it.
   *
   * @param id - Id of the server.
   * @param reason - Why, for the log.
   */
  eject(id: string, reason: string): void {
    const now = this.#now();
    const previous = this.#ownEjections.get(id);
    if (previous?.isActive) return;
    const isRepeated = previous && now - previous.endedAt < HOLD_RESET_MILLISECONDS;
    const holdMilliseconds = isRepeated
      ? Math.min(MAXIMUM_HOLD_MILLISECONDS, 2 * previous.holdMilliseconds)
      : INITIAL_HOLD_MILLISECONDS;
    this.#ownEjections.set(id, {
      holdMilliseconds,
      heldUntil: now + holdMilliseconds,
      isActive: true,
      endedAt: now,
    });
    this.#log.warn('Backend server ejected.', { id, reason, holdMilliseconds });
    this.#onEjected();
  }

  /** Counts a failed request, and ejects the server when the failures reach the threshold. */
  recordFailure(id: string, reason: string): void {
    const failures = (this.#failureCounts.get(id) ?? 0) + 1;
    this.#failureCounts.set(id, failures);
    if (failures < FAILURE_THRESHOLD) return;
    this.#failureCounts.set(id, FAILURE_THRESHOLD - 1);
    this.eject(id, reason);
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
  }

  /** Discards what this instance has observed of a server, since another process has its id now. */
  forget(id: string): void {
    this.#ownEjections.delete(id);
    this.#failureCounts.delete(id);
  }

  /** Discards the state of servers that are no longer registered. */
  retain(isRegistered: (id: string) => boolean): void {
    [...this.#ownEjections.keys()]
      .filter((id) => !isRegistered(id))
      .forEach((id) => this.#ownEjections.delete(id));
    [...this.#failureCounts.keys()]
      .filter((id) => !isRegistered(id))
      .forEach((id) => this.#failureCounts.delete(id));
  }

  /** Replaces the set of servers that a peer has ejected; an empty list removes the peer. */
  replacePeerEjections(peer: string, ids: readonly string[]): void {
    if (ids.length === 0) this.#peerEjections.delete(peer);
    else this.#peerEjections.set(peer, new Set(ids));
  }

  /** Ids of the servers that this instance has ejected. */
  get ownEjections(): string[] {
    return [...this.#ownEjections].filter(([, { isActive }]) => isActive).map(([id]) => id);
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

  /** Whether this instance or any peer has ejected the server. */
  isEjected(id: string): boolean {
    if (this.#ownEjections.get(id)?.isActive) return true;
    return [...this.#peerEjections.values()].some((ids) => ids.has(id));
  }
}
