/** The registry entry with which a backend server describes itself. */
import type { Address } from '../common/address.js';

/** A range of consecutive layers of a model; `to` is exclusive. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

export interface ServerEntry {
  /** Unique id of this run of the server's process; changes when the server restarts. */
  readonly id: string;
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
}
