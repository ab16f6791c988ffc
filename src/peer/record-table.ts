/**
 * The table of records that this instance knows. Each accepted record gets the next index, so
 * that a peer can be sent just what it has not confirmed yet.
 */
import { EventEmitter } from 'node:events';
import { isNewer, type PeerRecord, type RecordKind } from './record.js';

interface TableEntry {
  readonly record: PeerRecord;
  readonly index: number;
  /** The peer's table that it came from; it is not sent back there. */
  readonly source: string;
}

/** Records to send to one peer and the index that they reach up to. */
export interface RecordBatch {
  readonly records: PeerRecord[];
  readonly index: number;
}

const MINIMUM_COMPACTED_LENGTH = 1024;

/** Kinds that are sent at once rather than with the next regular exchange. */
const URGENT_KINDS: ReadonlySet<RecordKind> = new Set(['configuration', 'cordon', 'suspicion']);

export class RecordTable {
  readonly #entries = new Map<string, TableEntry>();

  readonly #events = new EventEmitter().setMaxListeners(0);

  #updateLog: { index: number; name: string }[] = [];

  #index = 0;

  /** The highest index given out. */
  get index(): number {
    return this.#index;
  }

  /** How many records are held. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Puts a record into the table if it is later than what is there.
   *
   * @param record - The record.
   * @param source - The peer's table that it came from, or the empty string for this instance.
   * @param urgent - Whether peers should hear at once; by default so for urgent kinds.
   * @returns Whether it was taken in.
   */
  put(record: PeerRecord, source = '', urgent = URGENT_KINDS.has(record.kind)): boolean {
    const name = `${record.kind}/${record.key}`;
    const current = this.#entries.get(name);
    if (current && !isNewer(record, current.record)) return false;
    this.#index += 1;
    this.#entries.set(name, { record, index: this.#index, source });
    this.#updateLog.push({ index: this.#index, name });
    this.#compact();
    this.#events.emit(record.kind, record, source);
    if (urgent) this.#events.emit('urgent');
    return true;
  }

  /**
   * Reads one record.
   *
   * @param kind - The kind.
   * @param key - The key.
   * @returns The record, if there is one.
   */
  get(kind: RecordKind, key: string): PeerRecord | undefined {
    return this.#entries.get(`${kind}/${key}`)?.record;
  }

  /**
   * Drops a record; it comes back if a peer still sends it.
   *
   * @param kind - The kind.
   * @param key - The key.
   */
  drop(kind: RecordKind, key: string): void {
    this.#entries.delete(`${kind}/${key}`);
  }

  /**
   * Gathers what a peer has not confirmed.
   *
   * @param after - The index that the peer has confirmed.
   * @param peerSourceId - The peer's table; what came from it is left out.
   * @param isInScope - Which kinds the peer is sent.
   * @param limit - The most records in one batch.
   * @returns The records in the order of their index, and the index they reach.
   */
  since(
    after: number,
    peerSourceId: string,
    isInScope: (kind: RecordKind) => boolean,
    limit = 500,
  ): RecordBatch {
    const records: PeerRecord[] = [];
    let index = after;
    for (let at = this.#findFirstAfter(after); at < this.#updateLog.length; at += 1) {
      const logged = this.#updateLog[at];
      const entry = logged && this.#entries.get(logged.name);
      if (logged && records.length < limit) {
        const isCurrent = entry?.index === logged.index;
        if (isCurrent && entry.source !== peerSourceId && isInScope(entry.record.kind)) {
          records.push(entry.record);
        }
        index = logged.index;
      }
    }
    return { records, index };
  }

  /**
   * Calls back for each record of a kind that is taken in.
   *
   * @param kind - The kind.
   * @param listener - Gets the record and the peer that it came from.
   */
  onRecord(kind: RecordKind, listener: (record: PeerRecord, source: string) => void): void {
    this.#events.on(kind, listener);
  }

  /**
   * Waits for an urgent record or for time to pass.
   *
   * @param milliseconds - The longest wait.
   * @param signal - Ends the wait early when it aborts.
   */
  waitForUrgent(milliseconds: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.#events.off('urgent', finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, milliseconds);
      this.#events.once('urgent', finish);
      signal.addEventListener('abort', finish, { once: true });
      if (signal.aborted) finish();
    });
  }

  #findFirstAfter(index: number): number {
    let low = 0;
    let high = this.#updateLog.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.#updateLog[middle]?.index ?? 0) <= index) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  #compact(): void {
    if (
      this.#updateLog.length < MINIMUM_COMPACTED_LENGTH ||
      this.#updateLog.length < this.#entries.size * 2
    )
      return;
    this.#updateLog = this.#updateLog.filter(
      ({ index, name }) => this.#entries.get(name)?.index === index,
    );
  }
}
