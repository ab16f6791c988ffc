/** Holds the newest record of each peer and decides which peers are alive. */
import { getOwnValue } from '../common/own-value.js';
import type { Logger } from '../telemetry/log.js';
import { OwnLateness } from './own-lateness.js';
import type { PeerRecord } from './peer-record.js';
import { PeerRounds, type RenewalMark } from './peer-rounds.js';
import { getHeartbeatInterval, getRemoteRecordInterval } from './record-interval.js';

/** Options of {@link PeerTable}. */
export interface PeerTableOptions {
  /** Name of this instance; its own record is never stored. */
  readonly instance: string;
  readonly dataCentre: string;
  readonly log: Logger;
  /** Called with the name of a peer when it is considered dead. */
  readonly onPeerLost?: (instance: string) => void;
  readonly now?: () => number;
}

interface PeerState {
  record: PeerRecord;
  /** When a newer record last arrived, in milliseconds on the monotonic clock. */
  updatedAt: number;
  /** The same, without what is discounted for the delays of this process. */
  readonly arrivedAt: number;
  readonly mark: RenewalMark;
  isAlive: boolean;
  /** When this instance itself found out that it is dead; undefined while it is alive. */
  lostAt?: number;
  /** Neighbours of it that have lost it since its record arrived. */
  readonly reporters: Set<string>;
}

/** A peer without a newer record for more heartbeats than this is considered dead. */
const SILENCE_LIMIT_HEARTBEATS = 5;
/**
 * Added to the limit for peers of other data centres for each heartbeat that their records are held
 * back beyond the first one.
 */
const HELD_BACK_HEARTBEATS = 2;
/** A check that comes this many heartbeats after the one before shows that this process was delayed. */
const CHECK_DELAY_HEARTBEATS = 2;
/** The retry counts of a peer that has gone silent still count for this long. */
const RETRY_COUNTS_MAX_AGE_MILLISECONDS = 10_000;
const FORGET_AFTER_MILLISECONDS = 60_000;
/** Other data centres are told of a lost peer for this long; by then they have noticed its silence themselves. */
const REPORT_LOST_MILLISECONDS = 15_000;
const MAXIMUM_REPORTED_LOST = 64;
/** Within a data centre, where each one can see by itself, so many others have to have lost a peer. */
const LOCAL_REPORTERS = 2;

/** Records of other data centres come less often. */
const LOCAL_GROUP = 'local';
const REMOTE_GROUP = 'remote';
type PeerGroup = typeof LOCAL_GROUP | typeof REMOTE_GROUP;

export class PeerTable {
  readonly #instance: string;

  readonly #dataCentre: string;

  #lastCheckAt: number | undefined;

  readonly #log: Logger;

  readonly #onPeerLost: (instance: string) => void;

  readonly #now: () => number;

  readonly #peers = new Map<string, PeerState>();

  readonly #rounds = new PeerRounds();

  readonly #lateness = new OwnLateness();

  /** Names of peers that are alive by their records, while other evidence says that they are not. */
  readonly #doubtful = new Set<string>();

  #heartbeat = getHeartbeatInterval(0);

  constructor(options: PeerTableOptions) {
    this.#instance = options.instance;
    this.#dataCentre = options.dataCentre;
    this.#log = options.log;
    this.#onPeerLost = options.onPeerLost ?? (() => undefined);
    this.#now = options.now ?? (() => performance.now());
  }

  /**
   * Stores a peer's record if it is newer than the stored one.
   *
   * @param record - The record. One with counter 0 comes from the store and does not prove that the
   *   peer is alive.
   * @returns Whether the record was stored.
   */
  accept(record: PeerRecord): boolean {
    if (record.instance === this.#instance) return false;
    const known = this.#peers.get(record.instance);
    if (known && !isNewer(record, known.record)) return false;
    const wasAlive = known?.isAlive ?? false;
    const isAlive = record.counter > 0;
    const now = this.#now();
    const time = { now, heartbeat: this.#heartbeat };
    const mark = this.#rounds.record(this.#getGroup(record), known?.mark, time);
    this.#peers.set(record.instance, {
      record,
      updatedAt: now,
      arrivedAt: now,
      mark,
      isAlive,
      reporters: new Set(),
    });
    if (isAlive && !wasAlive) this.#log.info('Peer is alive.', { peer: record.instance });
    // The record may have been under way since before its end.
    if (known && !known.isAlive && known.record.counter > 0) this.#doubtful.add(record.instance);
    this.#applyLossReports(record);
    return true;
  }

  /**
   * Takes peers for dead that their neighbours report as lost. Of another data centre one is enough, as it hears of them
   * oftener; of this one it takes two, so that one that is late or cut off doesn't speak for all. A newer record of such a
   * peer takes that back.
   */
  #applyLossReports({ instance: reporter, dataCentre, lost = {} }: PeerRecord): void {
    const neededReporters = dataCentre === this.#dataCentre ? LOCAL_REPORTERS : 1;
    Object.entries(lost).forEach(([instance, [incarnation, counter]]) => {
      const known = this.#peers.get(instance);
      if (!known?.isAlive || known.record.dataCentre !== dataCentre) return;
      if (known.record.incarnation === incarnation) this.#doubtful.add(instance);
      if (isNewer(known.record, { incarnation, counter })) return;
      known.reporters.add(reporter);
      if (known.reporters.size < neededReporters) return;
      known.isAlive = false;
      const silenceMilliseconds = Math.round(this.#now() - known.arrivedAt);
      this.#log.warn('Peers of its data centre have lost the peer; considered dead.', {
        peer: instance,
        reporters: [...known.reporters],
        counter,
        silenceMilliseconds,
      });
      this.#onPeerLost(instance);
    });
  }

  /**
   * Takes a peer for dead whose address refused a connection: no process listens there any more.
   *
   * @param instance - Name of the peer.
   * @param askedAt - When the connection was asked for, on the monotonic clock. A record that has arrived since is newer
   *   evidence.
   */
  recordRefusal(instance: string, askedAt: number): void {
    const known = this.#peers.get(instance);
    if (!known?.isAlive || known.arrivedAt > askedAt) return;
    this.#log.warn('The address of the peer refused a connection; considered dead.', {
      peer: instance,
      counter: known.record.counter,
      silenceMilliseconds: Math.round(this.#now() - known.arrivedAt),
    });
    this.#lose(instance, known);
  }

  #lose(instance: string, known: PeerState): void {
    known.isAlive = false;
    known.lostAt = this.#now();
    this.#onPeerLost(instance);
  }

  /**
   * Marks peers that have gone silent as dead, and forgets them after a minute of silence. Time in
   * which this process itself stood still or was late is not counted as silence of its peers, unless the others
   * have renewed their records meanwhile.
   */
  expireSilentPeers(): void {
    const now = this.#now();
    const sinceLastCheck = now - (this.#lastCheckAt ?? now);
    this.#lastCheckAt = now;
    const heartbeat = getHeartbeatInterval(this.memberCount);
    this.#heartbeat = heartbeat;
    if (sinceLastCheck > CHECK_DELAY_HEARTBEATS * heartbeat) {
      this.#peers.forEach((known) => {
        known.updatedAt = Math.min(now, known.updatedAt + sinceLastCheck);
      });
    } else this.#lateness.recordCheck(sinceLastCheck, heartbeat);
    const localLimit = SILENCE_LIMIT_HEARTBEATS * heartbeat;
    const heldBackHeartbeats = getRemoteRecordInterval(this.memberCount) - 1;
    const remoteLimit = localLimit + HELD_BACK_HEARTBEATS * heldBackHeartbeats * heartbeat;
    const others = this.#countOthers();
    this.#peers.forEach((known, instance) => {
      const silence = now - known.updatedAt;
      const group = this.#getGroup(known.record);
      const limit = group === LOCAL_GROUP ? localLimit : remoteLimit;
      const rounds = this.#rounds.countSince(group, known.mark, others[group]);
      const isOutlived = now - known.arrivedAt > limit && rounds > SILENCE_LIMIT_HEARTBEATS;
      const isSilent = silence > this.#lateness.patience * limit;
      if (known.isAlive && (isSilent || isOutlived)) {
        this.#log.warn('No newer record from the peer; considered dead.', {
          peer: instance,
          silenceMilliseconds: Math.round(now - known.arrivedAt),
          discountedMilliseconds: Math.round(known.updatedAt - known.arrivedAt),
          roundsOfOthers: Math.round(rounds),
          patience: this.#lateness.patience,
        });
        this.#lose(instance, known);
      }
      if (silence > FORGET_AFTER_MILLISECONDS) this.#peers.delete(instance);
    });
  }

  #getGroup({ dataCentre }: PeerRecord): PeerGroup {
    return dataCentre === this.#dataCentre ? LOCAL_GROUP : REMOTE_GROUP;
  }

  /** For each group, the peers that are alive, but for the one that is looked at. */
  #countOthers(): Readonly<Record<PeerGroup, number>> {
    const alive = this.aliveRecords;
    const local = alive.filter((record) => this.#getGroup(record) === LOCAL_GROUP).length;
    return { [LOCAL_GROUP]: local - 1, [REMOTE_GROUP]: alive.length - local - 1 };
  }

  /**
   * Takes the next peer that should be asked itself whether it lives, since there is evidence for both.
   *
   * @returns Its record, or undefined if there is none.
   */
  takeDoubtful(): PeerRecord | undefined {
    for (const instance of this.#doubtful) {
      this.#doubtful.delete(instance);
      const record = this.findAlive(instance);
      if (record) return record;
    }
    return undefined;
  }

  /** Number of peers that are alive. */
  get aliveCount(): number {
    let count = 0;
    this.#peers.forEach(({ isAlive }) => {
      if (isAlive) count += 1;
    });
    return count;
  }

  /**
   * Number of peers that have sent a record within a minute, alive or not. How often records come follows from it: by
   * the number of live peers, each one that is taken for dead would shorten the silence that the others are allowed.
   */
  get memberCount(): number {
    let count = 0;
    this.#peers.forEach(({ record }) => {
      if (record.counter > 0) count += 1;
    });
    return count;
  }

  /** Peers of this data centre that this instance has lately taken for dead, with their last records' numbers. */
  get reportedLost(): NonNullable<PeerRecord['lost']> {
    const oldest = this.#now() - REPORT_LOST_MILLISECONDS;
    const lost = [...this.#peers]
      .filter(([, { isAlive, lostAt = Number.NEGATIVE_INFINITY }]) => !isAlive && lostAt >= oldest)
      .filter(([, { record }]) => this.#getGroup(record) === LOCAL_GROUP)
      .slice(-MAXIMUM_REPORTED_LOST);
    return Object.fromEntries(
      lost.map(([instance, { record }]) => [instance, [record.incarnation, record.counter]]),
    );
  }

  /** Milliseconds since the last record of a live peer arrived; undefined while no peer is alive. */
  get recordAgeMilliseconds(): number | undefined {
    let latest: number | undefined;
    this.#peers.forEach(({ isAlive, arrivedAt }) => {
      if (isAlive) latest = Math.max(latest ?? arrivedAt, arrivedAt);
    });
    return latest === undefined ? undefined : this.#now() - latest;
  }

  /** Records of the peers that are alive. */
  get aliveRecords(): PeerRecord[] {
    return [...this.#peers.values()].filter(({ isAlive }) => isAlive).map(({ record }) => record);
  }

  /** Records of all known peers, alive or dead. */
  get allRecords(): PeerRecord[] {
    return [...this.#peers.values()].map(({ record }) => record);
  }

  /**
   * Sums the retry counts of a service over all peers with a recent record, alive or dead.
   *
   * @param service - Name of the service.
   * @returns First attempts and retries within the window of the retry budget.
   */
  sumRetries(service: string): [firstAttempts: number, retries: number] {
    let firstAttempts = 0;
    let retries = 0;
    const oldest = this.#now() - RETRY_COUNTS_MAX_AGE_MILLISECONDS;
    this.#peers.forEach(({ record, updatedAt }) => {
      const counts = getOwnValue(record.retries, service);
      if (!counts || updatedAt < oldest) return;
      firstAttempts += counts[0];
      retries += counts[1];
    });
    return [firstAttempts, retries];
  }

  /** Returns a peer's record, or undefined if the peer is unknown or considered dead. */
  findAlive(instance: string): PeerRecord | undefined {
    const known = this.#peers.get(instance);
    return known?.isAlive ? known.record : undefined;
  }
}

type RecordNumber = Pick<PeerRecord, 'incarnation' | 'counter'>;

function isNewer(candidate: RecordNumber, stored: RecordNumber): boolean {
  if (candidate.incarnation !== stored.incarnation)
    return candidate.incarnation > stored.incarnation;
  return candidate.counter > stored.counter;
}
