/** The newest record of each instance, and which instances are alive. */
import type { Logger } from '../telemetry/log.js';
import type { PeerRecord } from './peer-record.js';

/** Options of {@link PeerTable}. */
export interface PeerTableOptions {
  readonly instance: string;
  readonly log: Logger;
  /** Called when an instance is taken for dead. */
  readonly onPeerLost?: (instance: string) => void;
  readonly now?: () => number;
}

interface Known {
  record: PeerRecord;
  /** When its counter last grew, on the monotonic clock. */
  heardAt: number;
  isAlive: boolean;
}

/** An instance that is silent for longer is taken for dead. */
const SILENCE_MILLISECONDS = 1500;
/** What a silent instance last told of its retries counts for this long. */
const RETRIES_KEPT_MILLISECONDS = 10_000;
const FORGET_MILLISECONDS = 60_000;

export class PeerTable {
  readonly #instance: string;

  readonly #log: Logger;

  readonly #onLost: (instance: string) => void;

  readonly #now: () => number;

  readonly #known = new Map<string, Known>();

  constructor(options: PeerTableOptions) {
    this.#instance = options.instance;
    this.#log = options.log;
    this.#onLost = options.onPeerLost ?? (() => undefined);
    this.#now = options.now ?? (() => performance.now());
  }

  /**
   * Takes in a record, if it is newer than what is known.
   *
   * @param record - A peer's record.
   * @returns Whether it was newer.
   */
  accept(record: PeerRecord): boolean {
    if (record.instance === this.#instance) return false;
    const known = this.#known.get(record.instance);
    if (known && !isNewer(record, known.record)) return false;
    const wasAlive = known?.isAlive ?? false;
    const isAlive = record.counter > 0;
    this.#known.set(record.instance, { record, heardAt: this.#now(), isAlive });
    if (isAlive && !wasAlive) this.#log.info('Peer regained.', { peer: record.instance });
    return true;
  }

  /** Notes instances that have fallen silent. */
  expireSilentPeers(): void {
    const now = this.#now();
    this.#known.forEach((known, instance) => {
      const silence = now - known.heardAt;
      if (known.isAlive && silence > SILENCE_MILLISECONDS) {
        known.isAlive = false;
        this.#log.warn('Peer lost.', { peer: instance, silenceMilliseconds: Math.round(silence) });
        this.#onLost(instance);
      }
      if (silence > FORGET_MILLISECONDS) this.#known.delete(instance);
    });
  }

  /** Records of peers that are alive. */
  get aliveRecords(): PeerRecord[] {
    return [...this.#known.values()].filter(({ isAlive }) => isAlive).map(({ record }) => record);
  }

  /** Records of every peer that was heard of. */
  get allRecords(): PeerRecord[] {
    return [...this.#known.values()].map(({ record }) => record);
  }

  /**
   * Sums what peers tell of a service's retries.
   *
   * @param service - The service.
   * @returns First tries and repeats within the window.
   */
  sumRetries(service: string): [first: number, repeated: number] {
    let first = 0;
    let repeated = 0;
    const oldest = this.#now() - RETRIES_KEPT_MILLISECONDS;
    this.#known.forEach(({ record, heardAt }) => {
      const counts = record.retries[service];
      if (!counts || heardAt < oldest) return;
      first += counts[0];
      repeated += counts[1];
    });
    return [first, repeated];
  }

  /** Finds a peer's record, if it is alive. */
  findAlive(instance: string): PeerRecord | undefined {
    const known = this.#known.get(instance);
    return known?.isAlive ? known.record : undefined;
  }
}

function isNewer(left: PeerRecord, right: PeerRecord): boolean {
  if (left.incarnation !== right.incarnation) return left.incarnation > right.incarnation;
  return left.counter > right.counter;
}
