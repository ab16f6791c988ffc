/**
 * Counts the engines that ended as they began one request. That a connection broke off shows no end, and an end may
 * be shown only while the next engine runs the request. Handles requests that end each engine that begins them.
 */

/** Options of {@link EndsAtBegin}. */
export interface EndsAtBeginOptions {
  /** Whether a server's process is shown to have ended. */
  readonly hasEnded: (processKey: string) => boolean;
  /** Whether a server's process refused a connection, and that is still to be confirmed as its end. */
  readonly isEndUnconfirmed: (processKey: string) => boolean;
}

/** A request under which so many engines ended as they began it is not sent to another one. */
const MAXIMUM_ENDS_AT_BEGIN = 2;

export class EndsAtBegin {
  readonly #options: EndsAtBeginOptions;

  /** Processes at which the request broke off as it began. */
  readonly #brokenAt = new Set<string>();

  readonly #checks = new Set<Promise<void>>();

  constructor(options: EndsAtBeginOptions) {
    this.#options = options;
  }

  /**
   * Notes that the request broke off at an engine as that began it.
   *
   * @param processKey - The engine's process.
   */
  record(processKey: string): void {
    this.#brokenAt.add(processKey);
  }

  /**
   * Waits for a check whether an engine has ended, and for those that are under way.
   *
   * @param check - The check, which must not fail.
   */
  async settle(check: Promise<void>): Promise<void> {
    this.#checks.add(check);
    await Promise.all(this.#checks);
    this.#checks.delete(check);
  }

  /** Engines that are shown to have ended. */
  get shown(): number {
    return [...this.#brokenAt].filter(this.#options.hasEnded).length;
  }

  /** Whether the request is shown to end engines. */
  get isShown(): boolean {
    return this.shown >= MAXIMUM_ENDS_AT_BEGIN;
  }

  /** Whether the request ends engines if the ends that are still to be confirmed are ends. */
  get isLikely(): boolean {
    const { hasEnded, isEndUnconfirmed } = this.#options;
    const likely = [...this.#brokenAt].filter((key) => hasEnded(key) || isEndUnconfirmed(key));
    return likely.length >= MAXIMUM_ENDS_AT_BEGIN;
  }
}
