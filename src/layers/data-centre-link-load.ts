/**
 * Estimates the utilisation of the links between data centres by the activations that chains send
 * over them. Needed when one data centre lacks some layers: if every request ran them in another
 * data centre, the links would be overloaded and all of these requests would be delayed.
 */

/** Options of {@link DataCentreLinkLoad}. */
export interface DataCentreLinkLoadOptions {
  /** Number of instances, including this one, whose chains use the links. */
  readonly instanceCount: () => number;
  readonly now?: () => number;
}

/** Must stay 1 s: the bits in the window are compared with the link's bits per second. */
const WINDOW_MILLISECONDS = 1000;
const BITS_PER_MEGABIT = 1_000_000;

interface Transfer {
  readonly at: number;
  readonly bits: number;
}

export class DataCentreLinkLoad {
  readonly #options: DataCentreLinkLoadOptions;

  readonly #now: () => number;

  readonly #transfers = new Map<string, Transfer[]>();

  constructor(options: DataCentreLinkLoadOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /**
   * Records that a request's activations are sent over a link.
   *
   * @param from - Name of the sending data centre.
   * @param to - Name of the receiving data centre.
   * @param bits - Size of the activations in bits.
   */
  recordTransfer(from: string, to: string, bits: number): void {
    this.#recentTransfers(from, to).push({ at: this.#now(), bits });
  }

  /**
   * Estimates a link's utilisation by all instances: this instance's transfers of the last second,
   * multiplied by the number of instances.
   *
   * @param from - Name of the data centre at one end.
   * @param to - Name of the data centre at the other end.
   * @param megabitsPerSecond - Bandwidth of the link.
   * @returns Utilisation from 0; above 1 the link is overloaded.
   */
  estimateUtilisation(from: string, to: string, megabitsPerSecond: number): number {
    const bits = this.#recentTransfers(from, to).reduce((sum, transfer) => sum + transfer.bits, 0);
    return (bits * this.#options.instanceCount()) / (megabitsPerSecond * BITS_PER_MEGABIT);
  }

  /**
   * Returns a function that estimates utilisations as {@link DataCentreLinkLoad.estimateUtilisation}
   * does, each link at most once; for decisions that weigh the same links many times.
   *
   * @param megabitsPerSecond - Bandwidth of each link.
   */
  snapshot(megabitsPerSecond: number): (from: string, to: string) => number {
    const known = new Map<string, number>();
    return (from, to) => {
      const key = `${from}/${to}`;
      const utilisation = known.get(key) ?? this.estimateUtilisation(from, to, megabitsPerSecond);
      known.set(key, utilisation);
      return utilisation;
    };
  }

  /** Returns the transfers of the last second in both directions, and discards older ones. */
  #recentTransfers(from: string, to: string): Transfer[] {
    const key = [from, to].sort().join('/');
    const oldest = this.#now() - WINDOW_MILLISECONDS;
    const recent = (this.#transfers.get(key) ?? []).filter(({ at }) => at > oldest);
    this.#transfers.set(key, recent);
    return recent;
  }
}
