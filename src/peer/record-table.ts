/**
 * Stores the newest record of each kind and key. Every record that is stored gets the next index,
 * so that a peer can be sent just the records that it has not confirmed yet.
 */
import { EventEmitter } from 'node:events';
import { isNewer, PeerRecord, type RecordKind } from './record.js';

interface TableEntry {
  readonly record: PeerRecord;
  readonly index: number;
  /** The id of the peer's table that sent the record, to which it is not sent back. */
  readonly source: string;
}

/** Records to send to one peer. */
export interface RecordBatch {
  readonly records: PeerRecord[];
  /** The index up to which the peer's copy is complete once it has stored the records. */
  readonly index: number;
}

/** An update log shorter than this is not compacted. */
const MINIMUM_COMPACTED_LENGTH = 1024;

/** Kinds that are sent at once instead of with the next regular exchange. */
const URGENT_KINDS: ReadonlySet<RecordKind> = new Set(['configuration', 'cordon', 'suspicion']);

/** The records known to one instance. */
export class RecordTable {
  readonly #entries = new Map<string, TableEntry>();

  readonly #events = new EventEmitter().setMaxListeners(0);

  /** The stored updates by rising index; entries of replaced records remain until compaction. */
  #updateLog: { index: number; name: string }[] = [];

  #index = 0;

  /** The index of the record stored last, 0 while the table is empty. */
  get index(): number {
    return this.#index;
  }

  /** The number of stored records. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Stores a record if it is newer than the stored one of the same kind and key.
   *
   * @param source - The id of the peer's table that sent it, or an empty string if it was created
   *   by this instance.
   * @param urgent - Whether to send it to peers at once; by default this depends on its kind.
   * @returns Whether it was stored.
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
   * Stores the newer ones among the records that a peer sent. One that does not match the schema,
   * for example of a kind that a newer build has added, is left out and not passed on.
   *
   * @param source - The id of the peer's table that sent them.
   */
  putReceived(records: readonly unknown[], source: string): void {
    records.forEach((record) => {
      const parsed = PeerRecord.safeParse(record);
      if (parsed.success) this.put(parsed.data, source);
      else this.#events.emit('unreadable', parsed.error.message, source);
    });
  }

  /**
   * Registers a listener that is called for each received record that does not match the schema.
   *
   * @param listener - Receives the reason and the record's source, see {@link put}.
   */
  onUnreadable(listener: (reason: string, source: string) => void): void {
    this.#events.on('unreadable', listener);
  }

  /** Returns the stored record of a kind and key, if there is one. */
  get(kind: RecordKind, key: string): PeerRecord | undefined {
    return this.#entries.get(`${kind}/${key}`)?.record;
  }

  /** Removes a record. It is stored again if a peer still sends it. */
  remove(kind: RecordKind, key: string): void {
    this.#entries.delete(`${kind}/${key}`);
  }

  /**
   * Collects the records that a peer has not confirmed.
   *
   * @param after - The index that the peer has confirmed.
   * @param peerSourceId - The id of the peer's table; records that came from it are skipped.
   * @param isInScope - Selects the kinds of record that the peer may be sent.
   * @param limit - The largest number of records in one batch.
   * @returns The records by rising index, and the index that they reach.
   */
  collectUnconfirmed(
    after: number,
    peerSourceId: string,
    isInScope: (kind: RecordKind) => boolean,
    limit = 500,
  ): RecordBatch {
    const records: PeerRecord[] = [];
    let index = after;
    for (
      let position = this.#findFirstAfter(after);
      position < this.#updateLog.length;
      position += 1
    ) {
      const update = this.#updateLog[position];
      const entry = update && this.#entries.get(update.name);
      if (update && records.length < limit) {
        const isCurrent = entry?.index === update.index;
        if (isCurrent && entry.source !== peerSourceId && isInScope(entry.record.kind)) {
          records.push(entry.record);
        }
        index = update.index;
      }
    }
    return { records, index };
  }

  /**
   * Registers a listener that is called for each record of a kind when it is stored.
   *
   * @param listener - Receives the record and its source, see {@link put}.
   */
  onRecord(kind: RecordKind, listener: (record: PeerRecord, source: string) => void): void {
    this.#events.on(kind, listener);
  }

  /**
   * Waits until an urgent record is stored, the time has passed or the signal aborts.
   *
   * @param milliseconds - The longest wait.
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

  /** Finds the first position in the update log whose index is above the given one. */
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

  /** Drops log entries of replaced records once they make up at least half of the log. */
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
