/** What the entry asks of the deployment's protocol; an adapter spells it. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Address } from '../common/address.js';
import type { LayerRange } from '../fleet/server-entry.js';

/** What a caller's request says of itself. */
export interface RequestMetadata {
  readonly requestId: string;
  /** How long the caller waits, from when it sent the request. */
  readonly deadlineMilliseconds: number | undefined;
  readonly apiKey: string | undefined;
  readonly lastEventId: number | undefined;
  readonly promptTokens: number | undefined;
  readonly maximumOutputTokens: number | undefined;
  readonly expectedOutputTokens: number | undefined;
}

/** One engine's part of a chain, by its address. */
export interface StageAddress {
  readonly address: Address;
  readonly layers: LayerRange;
}

/** What the product adds to a request on its way to a backend server. */
export interface BackendRequestMetadata {
  readonly remainingMilliseconds: number;
  /** The client account's name. */
  readonly account: string | undefined;
  /** The only server that may run the request. */
  readonly serverId: string;
  readonly chain: readonly StageAddress[] | undefined;
  readonly lastEventId: number | undefined;
  /** From 0, the most urgent, to 9. */
  readonly urgency: number | undefined;
  readonly bodyBytes: number;
}

/** What the head of a backend server's answer says. */
export interface ResponseMetadata {
  readonly requestId: string | undefined;
  /** Whether the server vouches for the answer. */
  readonly isSigned: boolean;
  /** Whether the server states that it did not run the request. */
  readonly isNotExecuted: boolean;
  /** `host:port` of the server at fault, for a chain. */
  readonly faultAddress: string | undefined;
  readonly load: { readonly running: number; readonly waiting: number } | undefined;
  /** Whether the body has been encoded on its way. */
  readonly isEncoded: boolean;
}

/** What an engine says of itself. */
export interface EngineReport {
  /** Over 1 means slow. */
  readonly slowdownFactor: number;
  readonly isBusy: boolean;
  readonly orderSequence: number;
  readonly layers: LayerRange | undefined;
  readonly stalledRequests: readonly {
    readonly requestId: string;
    readonly faultAddress: string;
  }[];
}

/** An order to hold a range of layers. */
export interface PlacementOrder extends LayerRange {
  /** The count of accepted orders that the engine must have. */
  readonly expectedSequence: number;
}

/** An order to lead a request that is under way over another chain. */
export interface RerouteOrder {
  readonly requestId: string;
  /** Begins with the part that the request's chain began with. */
  readonly chain: readonly StageAddress[];
}

/** What became of an order to lead a request over another chain. */
export type RerouteResult =
  | { readonly kind: 'done' }
  /** The engine doesn't run the request, or can't be asked. */
  | { readonly kind: 'failed' }
  /** A part of the new chain can't take the request. */
  | { readonly kind: 'conflict'; readonly faultAddress: string | undefined };

/** What became of an order. */
export type PlacementResult = 'begun' | 'done' | 'conflict' | 'refused' | 'unknown';

export interface ProtocolAdapter {
  readonly parseRequestHeaders: (headers: IncomingHttpHeaders) => RequestMetadata;
  /** Gives the header lines for a backend server, names and values in turn. */
  readonly buildBackendHeaders: (
    rawHeaders: readonly string[],
    terms: BackendRequestMetadata,
  ) => string[];
  readonly parseResponseHeaders: (headers: IncomingHttpHeaders, status: number) => ResponseMetadata;
  readonly fetchEngineReport: (
    address: Address,
    timeoutMilliseconds: number,
  ) => Promise<EngineReport>;
  readonly sendPlacementOrder: (
    address: Address,
    order: PlacementOrder,
    timeoutMilliseconds: number,
  ) => Promise<PlacementResult>;
  readonly rerouteStream: (
    address: Address,
    order: RerouteOrder,
    timeoutMilliseconds: number,
  ) => Promise<RerouteResult>;
}
