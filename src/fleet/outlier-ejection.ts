/**
 * Which backend servers are kept from new work: found dead or silent, or failing too often. A
 * suspicion ends once its hold has passed and the server answers a health check; each further one
 * holds longer. Answers servers that are silent while still registered, that fail a part of their
 * requests behind a good health check, and that go down and up by turns.
 */
import type { Logger } from '../telemetry/log.js';

/** Options of {@link OutlierEjection}. */
export interface OutlierEjectionOptions {
  readonly log: Logger;
  /** Called when this instance begins to suspect a server. */
  readonly onEjected?: () => void;
  readonly now?: () => number;
}

interface Ejection {
  heldUntil: number;
  holdMilliseconds: number;
  isActive: boolean;
  endedAt: number;
}

const FIRST_HOLD_MILLISECONDS = 500;
const LONGEST_HOLD_MILLISECONDS = 8000;
/** A server that behaved for this long starts again with the first hold. */
const FORGIVEN_AFTER_MILLISECONDS = 10_000;
const FAILURES_TO_SUSPECT = 2;
const SUCCESS_CREDIT = 0.2;

export class OutlierEjection {
  readonly #log: Logger;

  readonly #onRaise: () => void;

  readonly #now: () => number;

  readonly #own = new Map<string, Ejection>();

  readonly #peers = new Map<string, ReadonlySet<string>>();

  readonly #failures = new Map<string, number>();

  constructor(options: OutlierEjectionOptions) {
    this.#log = options.log;
    this.#onRaise = options.onEjected ?? (() => undefined);
    this.#now = options.now ?? (() => performance.now());
  }

  /**
   * Suspects a server.
   *
   * @param id - The server.
   * @param reason - What was seen, for the log.
   */
  eject(id: string, reason: string): void {
    const now = this.#now();
    const known = this.#own.get(id);
    if (known?.isActive) return;
    const isRepeated = known && now - known.endedAt < FORGIVEN_AFTER_MILLISECONDS;
    const holdMilliseconds = isRepeated
      ? Math.min(LONGEST_HOLD_MILLISECONDS, 2 * known.holdMilliseconds)
      : FIRST_HOLD_MILLISECONDS;
    this.#own.set(id, {
      holdMilliseconds,
      heldUntil: now + holdMilliseconds,
      isActive: true,
      endedAt: now,
    });
    this.#log.warn('Server suspected.', { id, reason, holdMilliseconds });
    this.#onRaise();
  }

  /** Notes a request that a server failed. */
  recordFailure(id: string, reason: string): void {
    const failures = (this.#failures.get(id) ?? 0) + 1;
    this.#failures.set(id, failures);
    if (failures < FAILURES_TO_SUSPECT) return;
    this.#failures.set(id, FAILURES_TO_SUSPECT - 1);
    this.eject(id, reason);
  }

  /** Notes a request that a server served. */
  recordSuccess(id: string): void {
    const failures = this.#failures.get(id);
    if (failures === undefined) return;
    if (failures <= SUCCESS_CREDIT) this.#failures.delete(id);
    else this.#failures.set(id, failures - SUCCESS_CREDIT);
  }

  /**
   * Ends a suspicion, if its hold has passed.
   *
   * @param id - The server, which has answered a health check.
   */
  readmitIfHoldElapsed(id: string): void {
    const known = this.#own.get(id);
    if (!known?.isActive || known.heldUntil > this.#now()) return;
    known.isActive = false;
    known.endedAt = this.#now();
    this.#log.info('Server no longer suspected.', { id });
  }

  /** Forgets servers that are no longer registered. */
  retain(isRegistered: (id: string) => boolean): void {
    [...this.#own.keys()].filter((id) => !isRegistered(id)).forEach((id) => this.#own.delete(id));
    [...this.#failures.keys()]
      .filter((id) => !isRegistered(id))
      .forEach((id) => this.#failures.delete(id));
  }

  /** Takes in which servers a peer suspects. */
  replacePeerEjections(peer: string, ids: readonly string[]): void {
    if (ids.length === 0) this.#peers.delete(peer);
    else this.#peers.set(peer, new Set(ids));
  }

  /** Servers that this instance suspects. */
  get ownEjections(): string[] {
    return [...this.#own].filter(([, { isActive }]) => isActive).map(([id]) => id);
  }

  /** Servers whose hold has passed and that need a health check. */
  get dueForHealthCheck(): string[] {
    const now = this.#now();
    return [...this.#own]
      .filter(([, { isActive, heldUntil }]) => isActive && heldUntil <= now)
      .map(([id]) => id);
  }

  /** Whether this instance or a peer suspects a server. */
  isEjected(id: string): boolean {
    if (this.#own.get(id)?.isActive) return true;
    return [...this.#peers.values()].some((ids) => ids.has(id));
  }
}
