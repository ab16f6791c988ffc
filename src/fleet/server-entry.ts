/** What a backend server has registered of itself. */
import type { Address } from '../common/address.js';

/** Layers of a model that a server holds, `to` exclusive. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

export interface ServerEntry {
  /** Names one life of the server's process. */
  readonly id: string;
  readonly service: string;
  readonly address: Address;
  readonly dataCentre: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** The accelerator's kind, for model engines. */
  readonly kind: string | undefined;
  readonly layers: LayerRange | undefined;
}
