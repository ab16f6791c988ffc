/**
 * Keeps the chains of all instances together from overloading the links between data centres. Each
 * instance has an equal share of each link, as a leaky bucket of transfer time: what it sends fills its
 * bucket by the time that the transfer takes, times the number of instances, and the bucket drains at
 * the target utilisation. Needed when one data centre lacks some layers: if every request ran them in
 * another one, the links would be overloaded, all of these requests would be late, and their callers
 * would give up and come again. Counts that cover a fixed second are too coarse for this: in a large
 * fleet an instance sends over a link only every few seconds, and in between would find it free.
 */

/** Options of {@link DataCentreLinkLoad}. */
export interface DataCentreLinkLoadOptions {
  /** Number of instances, including this one, whose chains use the links. */
  readonly instanceCount: () => number;
  readonly now?: () => number;
}

/** The utilisation that all instances together aim to stay below. */
const TARGET_UTILISATION = 0.45;
/** A bucket that holds more transfer time than this, in milliseconds, allows no further transfer. */
const BUCKET_MILLISECONDS = 200;
const BITS_PER_MEGABIT = 1_000_000;

interface Bucket {
  /** Transfer time of all instances that this instance's transfers stand for, in milliseconds. */
  level: number;
  updatedAt: number;
}

export class DataCentreLinkLoad {
  readonly #options: DataCentreLinkLoadOptions;

  readonly #now: () => number;

  readonly #buckets = new Map<string, Bucket>();

  constructor(options: DataCentreLinkLoadOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /**
   * Records that a request's activations are sent over a link.
   *
   * @param from - Name of the data centre at one end.
   * @param to - Name of the data centre at the other end.
   * @param bits - Size of the activations in bits.
   * @param megabitsPerSecond - Bandwidth of the link.
   */
  recordTransfer(from: string, to: string, bits: number, megabitsPerSecond: number): void {
    const milliseconds = (1000 * bits) / (megabitsPerSecond * BITS_PER_MEGABIT);
    this.#drain(from, to).level += milliseconds * this.#options.instanceCount();
  }

  /**
   * Estimates a link's utilisation by all instances.
   *
   * @param from - Name of the data centre at one end.
   * @param to - Name of the data centre at the other end.
   * @returns From 0; at the target utilisation or above, this instance's share of the link is used up.
   */
  estimateUtilisation(from: string, to: string): number {
    return (TARGET_UTILISATION * this.#drain(from, to).level) / BUCKET_MILLISECONDS;
  }

  /** Whether this instance's share of a link is used up. */
  isBusy(from: string, to: string): boolean {
    return this.estimateUtilisation(from, to) >= TARGET_UTILISATION;
  }

  #drain(from: string, to: string): Bucket {
    const key = [from, to].sort().join('/');
    const now = this.#now();
    const bucket = this.#buckets.get(key) ?? { level: 0, updatedAt: now };
    bucket.level = Math.max(0, bucket.level - TARGET_UTILISATION * (now - bucket.updatedAt));
    bucket.updatedAt = now;
    this.#buckets.set(key, bucket);
    return bucket;
  }
}
