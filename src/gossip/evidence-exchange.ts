/**
 * Tracks how much of this instance's evidence against requests each peer has, and how much of a peer's this instance has.
 * Only the receiver knows what has arrived: an instance names what it has in its requests, and the answer to a request
 * confirms what came with it. Handles exchanges that fail halfway, and restarts of either side: what isn't confirmed is sent again.
 */
import { LruMap } from '../common/lru-map.js';
import { NO_EVIDENCE, type EvidenceChanges } from '../evidence/evidence-changes.js';
import type { ExchangeTarget } from './exchange-targets.js';
import type { EvidencePosition, PeerRecord } from './peer-record.js';

/** A position in the evidence of one run of an instance. */
interface KnownPosition {
  readonly incarnation: number;
  readonly position: EvidencePosition;
}

/** What a request names: the run of the receiver whose evidence the sender has, and the position that it has reached. */
export type NamedPosition = [incarnation: number, ...position: EvidencePosition];

/** More than the instances of a fleet, with those that were replaced. */
const MAXIMUM_PEERS = 2000;

/** The position that a peer has named, if it is one of this run of the instance. */
function getPosition(
  { incarnation }: PeerRecord,
  [namedIncarnation, ...position]: NamedPosition,
): EvidencePosition {
  return namedIncarnation === incarnation ? position : NO_EVIDENCE;
}

export class EvidenceExchange {
  readonly #changes: EvidenceChanges;

  /** By peer: the position in this instance's evidence that it has confirmed. */
  readonly #sent = new LruMap<string, KnownPosition>(MAXIMUM_PEERS);

  /** By peer: the position in its evidence that this instance has reached. */
  readonly #received = new LruMap<string, KnownPosition>(MAXIMUM_PEERS);

  readonly #now: () => number;

  /**
   * @param changes - The evidence of this instance.
   * @param now - Current time on the monotonic clock, in milliseconds.
   */
  constructor(changes: EvidenceChanges, now = () => Math.round(performance.now())) {
    this.#changes = changes;
    this.#now = now;
  }

  /**
   * Returns a record for a request.
   *
   * @param record - The record of this instance.
   * @param target - The receiver; one whose name isn't known is sent all.
   */
  attachFor(record: PeerRecord, { instance, incarnation }: ExchangeTarget): PeerRecord {
    const sent = instance === undefined ? undefined : this.#sent.get(instance);
    const isSameRun = sent !== undefined && sent.incarnation === incarnation;
    return this.#attach(record, isSameRun ? sent.position : NO_EVIDENCE);
  }

  /**
   * Returns a record for an answer.
   *
   * @param record - The record of this instance.
   * @param named - What the receiver has named in its request.
   */
  attachForAnswer(record: PeerRecord, named: NamedPosition): PeerRecord {
    return this.#attach(record, getPosition(record, named));
  }

  /**
   * Whether the evidence of this instance has more than a peer has named.
   *
   * @param record - The record of this instance.
   * @param named - What the peer has named in its request.
   */
  hasMoreThan(record: PeerRecord, named: NamedPosition): boolean {
    return this.#changes.hasMoreThan(getPosition(record, named));
  }

  /**
   * Notes that a peer has answered, and so has what came with the request.
   *
   * @param target - The peer, with its run as of the request: one that has started since has received nothing.
   * @param position - Up to where the request reached; undefined if it held no evidence.
   */
  confirm({ instance, incarnation }: ExchangeTarget, position: EvidencePosition | undefined): void {
    if (instance === undefined || incarnation === undefined || !position) return;
    this.#sent.set(instance, { incarnation, position });
  }

  /**
   * Takes the evidence of a record that its own instance has sent.
   *
   * @param record - The record. One of an older build holds all, and is read with the rest of the record.
   * @param isForThisRun - Whether the sender knew this run of the instance. Otherwise the record may hold only what
   *   followed the evidence that an earlier run had been sent, and its position doesn't count.
   */
  accept(record: PeerRecord, isForThisRun = true): void {
    const { instance, incarnation, evidencePosition } = record;
    if (!evidencePosition) return;
    this.#changes.merge(record);
    if (isForThisRun) this.#received.set(instance, { incarnation, position: evidencePosition });
  }

  /**
   * Names what this instance has of a peer.
   *
   * @param instance - Name of the peer.
   */
  getNamedPosition(instance: string | undefined): NamedPosition {
    const received = instance === undefined ? undefined : this.#received.get(instance);
    return received ? [received.incarnation, ...received.position] : [0, ...NO_EVIDENCE];
  }

  #attach(record: PeerRecord, position: EvidencePosition): PeerRecord {
    const evidence = this.#changes.since(position);
    // The times in it are read against the clock, which would otherwise be as old as the record.
    const { clock } = record;
    return { ...record, ...evidence, ...(clock === undefined ? {} : { clock: this.#now() }) };
  }
}

/**
 * Leaves out the evidence of a record that is passed on: whoever passes it on has taken it over into its own.
 *
 * @param record - The record of another instance.
 */
export function omitEvidence(record: PeerRecord): PeerRecord {
  return {
    ...record,
    crashes: {},
    crashesWhileWritten: undefined,
    promptParts: undefined,
    evidencePosition: undefined,
  };
}
