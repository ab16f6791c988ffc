/** Reads records that peers have sent, each by itself. */
import { LruMap } from '../common/lru-map.js';
import type { Logger } from '../telemetry/log.js';
import { PeerRecord } from './peer-record.js';
import { parseTolerantly } from './tolerant-parse.js';

const MAXIMUM_LOGGED = 200;

function readInstance(value: unknown): string {
  if (typeof value !== 'object' || value === null || !('instance' in value)) return '';
  return String(value.instance);
}

/** Reads records; logs once for each instance what it can't read, as records come several times a second. */
export class PeerRecordDecoder {
  readonly #log: Logger;

  readonly #logged = new LruMap<string, true>(MAXIMUM_LOGGED);

  constructor(log: Logger) {
    this.#log = log;
  }

  /**
   * Reads one record.
   *
   * @param value - What the peer sent.
   * @returns The record without entries and optional fields that don't match; undefined if a required field
   *   doesn't.
   */
  decode(value: unknown): PeerRecord | undefined {
    const { value: record, message } = parseTolerantly(PeerRecord, value);
    if (message !== undefined) this.#report(readInstance(value), message, record !== undefined);
    return record;
  }

  /**
   * Reads the records in an answer of a peer.
   *
   * @param value - What the peer sent.
   * @returns Those that can be read.
   */
  decodeAll(value: unknown): PeerRecord[] {
    if (Array.isArray(value))
      return value.map((item) => this.decode(item)).filter((record) => record !== undefined);
    this.#report('', 'not a list', false);
    return [];
  }

  #report(instance: string, message: string, isPartlyRead: boolean): void {
    const key = `${instance} ${message}`;
    if (this.#logged.get(key)) return;
    this.#logged.set(key, true);
    this.#log.warn(
      isPartlyRead
        ? 'Parts of a record from a peer do not match the schema; ignored.'
        : 'A record from a peer does not match the schema; ignored.',
      { peer: instance, message },
    );
  }
}
