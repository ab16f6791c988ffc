/**
 * How much of the links between data centres this instance's chains take. Answers a hole in one
 * data centre, where leading every request round it would fill the links and delay all of them.
 */

/** Options of {@link DataCentreLinkLoad}. */
export interface CrossLinkLoadOptions {
  /** Instances that share the links. */
  readonly instanceCount: () => number;
  readonly now?: () => number;
}

const WINDOW_MILLISECONDS = 1000;
const BITS_PER_MEGABIT = 1_000_000;

interface Sent {
  readonly at: number;
  readonly bits: number;
}

export class DataCentreLinkLoad {
  readonly #options: CrossLinkLoadOptions;

  readonly #now: () => number;

  readonly #sent = new Map<string, Sent[]>();

  constructor(options: CrossLinkLoadOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /**
   * Notes that a request's activations cross a link.
   *
   * @param from - The data centre that they leave.
   * @param to - The data centre that they reach.
   * @param bits - How much.
   */
  recordTransfer(from: string, to: string, bits: number): void {
    this.#recent(from, to).push({ at: this.#now(), bits });
  }

  /**
   * Estimates a link's use by all instances.
   *
   * @param from - One end.
   * @param to - The other end.
   * @param megabitsPerSecond - What the link carries.
   * @returns The share in use; over 1 when more is asked of it.
   */
  estimateUtilisation(from: string, to: string, megabitsPerSecond: number): number {
    const bits = this.#recent(from, to).reduce((sum, sent) => sum + sent.bits, 0);
    return (bits * this.#options.instanceCount()) / (megabitsPerSecond * BITS_PER_MEGABIT);
  }

  /** The last second's crossings of a link, either way. */
  #recent(from: string, to: string): Sent[] {
    const key = [from, to].sort().join('/');
    const oldest = this.#now() - WINDOW_MILLISECONDS;
    const recent = (this.#sent.get(key) ?? []).filter(({ at }) => at > oldest);
    this.#sent.set(key, recent);
    return recent;
  }
}
