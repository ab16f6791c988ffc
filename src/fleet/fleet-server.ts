/** A registered backend server with its load and state as this instance and its peers see it. */
import type { LayerRange, ServerEntry } from './server-entry.js';

/** Requests that run on a server. */
export interface ServerLoad {
  requests: number;
  /** KV cache reserved for these requests, in tokens times layers. */
  reservedTokenLayers: number;
}

/** The layers that an engine reported to hold. */
export interface LayerReport {
  readonly layers: LayerRange;
  /** When the report was read, in milliseconds on the monotonic clock. */
  readonly reportedAt: number;
}

/**
 * What a process of a server has said of itself to this instance. It outlasts the process's entry, which
 * may go and come back, also from an older copy of the store.
 */
export interface OwnWord {
  /** Whether it leaves, and wants no further request. */
  isLeaving: boolean;
  /** When it last asked for a pause, on the monotonic clock. */
  pausedSince: number;
  /** Until when it wants no requests from this instance. */
  pausedUntil: number;
}

/** A registered server and its current state. Times are on the monotonic clock. */
export interface FleetServer {
  entry: ServerEntry;
  /** Revision of the list or change with which it became known, of the current era of the store. */
  knownSinceRevision: number;
  ownWord: OwnWord;
  /** Requests sent by this instance. */
  readonly ownLoad: ServerLoad;
  /** Requests sent by all peers, from their last records. */
  readonly peerLoad: ServerLoad;
  /** How many times slower than usual for its kind it is, as it reported to this instance. */
  ownSlowdownFactor: number;
  /** The highest such factor in the records of the peers. */
  peerSlowdownFactor: number;
  /** The layers it reported to this instance, which may be newer than its registry entry. */
  ownLayerReport: LayerReport | undefined;
  /** The layers it reported to a peer, from that peer's record. */
  peerLayerReport: LayerReport | undefined;
  /** Until when it is assumed to have no capacity, because it has refused a request. */
  fullUntil: number;
  /** Whether it has told a peer that it leaves. */
  isLeavingByPeer: boolean;
  /** When the current run of refusals began; undefined if it accepted the last request. */
  refusingSince: number | undefined;
  /** Number of requests refused since it last accepted one. */
  consecutiveRefusals: number;
  /** While its entry is missing, but may come back: when the store was back, on the monotonic clock. */
  missingSince: number | undefined;
}

/** What is observed of one process of a server and doesn't hold for the next. */
export const STATE_OF_NEW_PROCESS = {
  ownSlowdownFactor: 1,
  peerSlowdownFactor: 1,
  ownLayerReport: undefined,
  peerLayerReport: undefined,
  fullUntil: 0,
  isLeavingByPeer: false,
  refusingSince: undefined,
  consecutiveRefusals: 0,
} satisfies Partial<FleetServer>;

/** After this long an engine's registry entry shows the reported layers. */
const LAYER_REPORT_MAX_AGE_MILLISECONDS = 6000;

/**
 * Returns the layers that an engine holds.
 *
 * @param server - The engine.
 * @returns The newest report of the last 6 s, otherwise the layers in its registry entry. Undefined
 *   if it holds none.
 */
export function getHeldLayers(server: FleetServer): LayerRange | undefined {
  const { ownLayerReport, peerLayerReport, entry } = server;
  const newest =
    (ownLayerReport?.reportedAt ?? 0) >= (peerLayerReport?.reportedAt ?? 0)
      ? ownLayerReport
      : peerLayerReport;
  if (!newest || performance.now() - newest.reportedAt > LAYER_REPORT_MAX_AGE_MILLISECONDS)
    return entry.layers;
  return newest.layers;
}
