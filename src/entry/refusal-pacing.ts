/**
 * Decides when a refused caller should come back. Handles a shortage that lasts, as after the loss of
 * engines: callers that all come back after a fixed short time meet the same shortage, are refused
 * again and add to the load. The larger the share of recent requests that had to be refused, the later
 * and the more spread out they are asked to return.
 */

/** Options of {@link RefusalPacing}. */
export interface RefusalPacingOptions {
  readonly now?: () => number;
  readonly random?: () => number;
}

/** The share of refused requests is averaged over about this time. */
const AVERAGING_MILLISECONDS = 1500;
/** Before the first requests have been counted, this many accepted ones are assumed. */
const ASSUMED_ACCEPTED_REQUESTS = 2;
/** Asked of callers when hardly any request is refused. */
const MINIMUM_RETRY_AFTER_SECONDS = 0.6;
/** Added when all requests are refused: about the time in which layers are placed anew. */
const SHORTAGE_RETRY_AFTER_SECONDS = 3.5;
/** Callers are spread by up to this share around the time. */
const SPREAD_SHARE = 0.5;

export class RefusalPacing {
  readonly #now: () => number;

  readonly #random: () => number;

  #accepted = ASSUMED_ACCEPTED_REQUESTS;

  #refused = 0;

  #updatedAt: number;

  constructor({ now = () => performance.now(), random = Math.random }: RefusalPacingOptions = {}) {
    this.#now = now;
    this.#random = random;
    this.#updatedAt = now();
  }

  /** Counts a request that an engine has begun to answer. */
  recordAccepted(): void {
    this.#fade();
    this.#accepted += 1;
  }

  /** Counts a request that was refused. */
  recordRefused(): void {
    this.#fade();
    this.#refused += 1;
  }

  /** Returns after how many seconds the caller of a refused request should come back. */
  chooseRetryAfterSeconds(): number {
    this.#fade();
    const refusedShare = this.#refused / (this.#refused + this.#accepted);
    const seconds = MINIMUM_RETRY_AFTER_SECONDS + SHORTAGE_RETRY_AFTER_SECONDS * refusedShare;
    const spreadSeconds = seconds * (1 + SPREAD_SHARE * (2 * this.#random() - 1));
    return Math.round(100 * spreadSeconds) / 100;
  }

  #fade(): void {
    const now = this.#now();
    const factor = Math.exp((this.#updatedAt - now) / AVERAGING_MILLISECONDS);
    this.#updatedAt = now;
    this.#accepted = Math.max(this.#accepted * factor, Number.MIN_VALUE);
    this.#refused *= factor;
  }
}
