/** The registry entry with which a backend server describes itself. */
import type { Address } from '../common/address.js';

/** A range of consecutive layers of a model; `to` is exclusive. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** The registry entry of one server. */
export interface ServerEntry {
  /** Names the server. A server that starts again may get a new id or keep its own. */
  readonly id: string;
  /** Which start under its id this is; undefined where each start has an id of its own. */
  readonly incarnation?: string | undefined;
  readonly service: string;
  readonly address: Address;
  readonly dataCentre: string;
  /** Number of requests that it runs at once. */
  readonly slots: number;
  /** Whether it is shutting down and should get no new requests. */
  readonly isLeaving: boolean;
  /** Name of the accelerator kind; undefined if the server is not a model engine. */
  readonly kind: string | undefined;
  /** The layers that it holds; undefined if it holds none or is not a model engine. */
  readonly layers: LayerRange | undefined;
  /** Revision of the store at which the entry was last written. Absent in lists of older builds. */
  readonly revision?: number | undefined;
}

/**
 * Names one run of a server's process. What holds only for that run, such as the requests that it runs,
 * is kept by this key; the id alone also means the process that takes its place.
 *
 * @param entry - The server's entry.
 * @returns A key that no other process of a server has.
 */
export function getProcessKey({
  id,
  incarnation,
}: Pick<ServerEntry, 'id' | 'incarnation'>): string {
  return incarnation === undefined ? id : `${id}/${incarnation}`;
}
