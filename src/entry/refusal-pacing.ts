/**
 * Decides when a refused caller should come back. Handles a shortage that lasts, as after the loss of
 * engines: callers that all come back after a fixed short time meet the same shortage, are refused
 * again and add to the load. The larger the share of recent requests that had to be refused, the later
 * and the more spread out they are asked to return. Callers of less urgent classes return later than those
 * of more urgent ones, whose times don't depend on the refusals of less urgent classes.
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
/** Added to the time for each more urgent class, as a share of it. */
const CLASS_FACTOR = 0.5;

/**
 * Spreads the callers of a class around a time, which is longer for less urgent classes.
 *
 * @param seconds - The time for the most urgent class.
 * @param classIndex - 0 for the most urgent class.
 * @param random - Returns a number from 0 (inclusive) to 1 (exclusive).
 * @returns Seconds, rounded to hundredths.
 */
export function spreadRetryAfterSeconds(
  seconds: number,
  classIndex: number,
  random: () => number = Math.random,
): number {
  const classSeconds = seconds * (1 + CLASS_FACTOR * classIndex);
  return Math.round(100 * classSeconds * (1 + SPREAD_SHARE * (2 * random() - 1))) / 100;
}

export class RefusalPacing {
  readonly #now: () => number;

  readonly #random: () => number;

  #accepted = ASSUMED_ACCEPTED_REQUESTS;

  /** By class of the requests; those without one count to the most urgent. */
  #refused: number[] = [0];

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

  /**
   * Counts a request that was refused.
   *
   * @param classIndex - Its class, if it was refused for the sake of more urgent ones.
   */
  recordRefused(classIndex = 0): void {
    this.#fade();
    this.#refused[classIndex] = (this.#refused[classIndex] ?? 0) + 1;
  }

  /**
   * Returns after how many seconds the caller of a refused request should come back.
   *
   * @param classIndex - Its class, if it was refused for the sake of more urgent ones.
   */
  chooseRetryAfterSeconds(classIndex = 0): number {
    this.#fade();
    const refused = this.#refused
      .slice(0, classIndex + 1)
      .reduce((sum, count = 0) => sum + count, 0);
    const refusedShare = refused / (refused + this.#accepted);
    const seconds = MINIMUM_RETRY_AFTER_SECONDS + SHORTAGE_RETRY_AFTER_SECONDS * refusedShare;
    return spreadRetryAfterSeconds(seconds, classIndex, this.#random);
  }

  #fade(): void {
    const now = this.#now();
    const factor = Math.exp((this.#updatedAt - now) / AVERAGING_MILLISECONDS);
    this.#updatedAt = now;
    this.#accepted = Math.max(this.#accepted * factor, Number.MIN_VALUE);
    this.#refused = Array.from(this.#refused, (count = 0) => count * factor);
  }
}
