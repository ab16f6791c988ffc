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
  /** How long ago the last record of a live peer arrived; undefined while no peer is alive. */
  readonly recordAgeMilliseconds?: () => number | undefined;
  readonly now?: () => number;
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly random?: () => number;
}

/** A stream of this instance that uses a link, and what its pause target leaves for waiting there. */
export interface LinkStream {
  /** 0 if it has no pause target. */
  readonly pauseTargetMilliseconds: number;
  /** Pause target less the pause that is expected without waiting for other transfers. */
  readonly pauseLeftMilliseconds: number;
}

/** What is known of a link. */
export interface LinkState {
  /** Transfer time of the prompts of all instances that are under way over the link, in milliseconds. */
  readonly backlogMilliseconds: number;
  readonly instances: number;
  /** Streams of this instance on the link. */
  readonly streams: readonly LinkStream[];
  readonly recordAgeMilliseconds: number | undefined;
}

/** The utilisation that all instances together aim to stay below. */
const TARGET_UTILISATION = 0.45;
/** A bucket that holds more transfer time than this, in milliseconds, allows no further transfer. */
const BUCKET_MILLISECONDS = 200;
/**
 * A prompt's part of the backlog is varied by up to this share. Instances that moved streams at the same time, since an
 * engine crashed, would otherwise find the link free at the same time again: 20 of them sent in bursts of 1 s.
 */
const BACKLOG_JITTER_SHARE = 0.5;
const BITS_PER_MEGABIT = 1_000_000;

interface LinkLoad {
  /** Transfer time of all instances that this instance's transfers stand for, in milliseconds. */
  level: number;
  /** The same for prompts only, which are sent at once, varied at random. */
  backlog: number;
  updatedAt: number;
  readonly streams: Set<LinkStream>;
}

/**
 * Returns how long a link is occupied by a transfer.
 *
 * @param bits - Size of the transfer.
 * @param megabitsPerSecond - Bandwidth of the link.
 * @returns The time in milliseconds.
 */
export function computeTransferMilliseconds(bits: number, megabitsPerSecond: number): number {
  return (1000 * bits) / (megabitsPerSecond * BITS_PER_MEGABIT);
}

export class DataCentreLinkLoad {
  readonly #options: DataCentreLinkLoadOptions;

  readonly #now: () => number;

  readonly #random: () => number;

  readonly #links = new Map<string, LinkLoad>();

  constructor(options: DataCentreLinkLoadOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
    this.#random = options.random ?? Math.random;
  }

  /**
   * Records that a request's activations are sent over a link.
   *
   * @param from - Name of the data centre at one end.
   * @param to - Name of the data centre at the other end.
   * @param bits - Size of the activations in bits.
   * @param megabitsPerSecond - Bandwidth of the link.
   * @param promptBits - The part of them that is sent at once; the rest follows token by token.
   */
  recordTransfer(
    from: string,
    to: string,
    bits: number,
    megabitsPerSecond: number,
    promptBits = bits,
  ): void {
    const instances = this.#options.instanceCount();
    const link = this.#drain(from, to);
    link.level += computeTransferMilliseconds(bits, megabitsPerSecond) * instances;
    const jitter = 1 + BACKLOG_JITTER_SHARE * (2 * this.#random() - 1);
    link.backlog += computeTransferMilliseconds(promptBits, megabitsPerSecond) * instances * jitter;
  }

  /**
   * Adds a stream to a link.
   *
   * @param from - Name of the data centre at one end.
   * @param to - Name of the data centre at the other end.
   * @param stream - The stream.
   * @returns A function that removes it.
   */
  addStream(from: string, to: string, stream: LinkStream): () => void {
    const { streams } = this.#drain(from, to);
    const added = { ...stream };
    streams.add(added);
    return () => streams.delete(added);
  }

  /**
   * Describes a link.
   *
   * @param from - Name of the data centre at one end.
   * @param to - Name of the data centre at the other end.
   */
  describe(from: string, to: string): LinkState {
    const { backlog, streams } = this.#drain(from, to);
    return {
      backlogMilliseconds: backlog,
      instances: this.#options.instanceCount(),
      streams: [...streams],
      recordAgeMilliseconds: this.#options.recordAgeMilliseconds?.(),
    };
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

  #drain(from: string, to: string): LinkLoad {
    const key = [from, to].sort().join('/');
    const now = this.#now();
    const link = this.#links.get(key) ?? {
      level: 0,
      backlog: 0,
      updatedAt: now,
      streams: new Set<LinkStream>(),
    };
    const elapsed = now - link.updatedAt;
    link.level = Math.max(0, link.level - TARGET_UTILISATION * elapsed);
    // At the full rate of the link, a burst of all instances would never drain while they go on sending.
    link.backlog = Math.max(0, link.backlog - TARGET_UTILISATION * elapsed);
    link.updatedAt = now;
    this.#links.set(key, link);
    return link;
  }
}
