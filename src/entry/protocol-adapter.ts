/**
 * The interface between the entry and the deployment's HTTP protocol. An adapter implements it with
 * the deployment's headers, engine reports and orders.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Address } from '../common/address.js';
import type { LayerRange } from '../fleet/server-entry.js';
import type { ServerStatements } from '../fleet/server-statements.js';

/** What the headers of a caller's request state. */
export interface RequestMetadata {
  /** Empty when the request has none. */
  readonly requestId: string;
  /** How long the caller waits, counted from when it sent the request. */
  readonly deadlineMilliseconds: number | undefined;
  readonly apiKey: string | undefined;
  /** The last event that the caller received, when it resumes a stream. */
  readonly lastEventId: number | undefined;
  readonly promptTokens: number | undefined;
  readonly maximumOutputTokens: number | undefined;
  readonly expectedOutputTokens: number | undefined;
  /**
   * Ids of the parts of the prompt that other requests may share, in order. Without the last part, which
   * belongs to this request or its session.
   */
  readonly sharedPromptParts: readonly string[];
}

/** A stage of a chain: the engine's address and the layers that it runs. */
export interface StageAddress {
  readonly address: Address;
  readonly layers: LayerRange;
}

/** What the entry adds to a request that it sends to a backend server. */
export interface BackendRequestMetadata {
  readonly remainingMilliseconds: number;
  /** The client account's name. */
  readonly account: string | undefined;
  /** The only backend server that may run the request; any other one refuses it. */
  readonly serverId: string;
  /** The chain to run over; undefined for plain services. */
  readonly chain: readonly StageAddress[] | undefined;
  readonly lastEventId: number | undefined;
  /** From 0 (most urgent) to 9. */
  readonly urgency: number | undefined;
  readonly bodyBytes: number;
}

/** What the headers of a backend server's response state. */
export interface ResponseMetadata extends ServerStatements {
  readonly requestId: string | undefined;
  /**
   * Whether the response carries the backend server's signature, which shows where it comes from.
   */
  readonly isSigned: boolean;
  /** Whether it states that the request did not run; what that proves is for `interpretResponse` to say. */
  readonly statesNotRun: boolean;
  /** `host:port` of the engine at fault, when the request ran over a chain. */
  readonly faultAddress: string | undefined;
  readonly load: { readonly running: number; readonly waiting: number } | undefined;
  /** Whether the body has a content encoding, so that it was altered on the way. */
  readonly isEncoded: boolean;
}

/** An engine's report about its state. */
export interface EngineReport {
  /** How many times slower than normal the engine runs; 1 is normal. */
  readonly slowdownFactor: number;
  /** Whether it is carrying out an order. */
  readonly isBusy: boolean;
  /** The number of orders that it has accepted. */
  readonly orderSequence: number;
  readonly layers: LayerRange | undefined;
  /** Requests that wait for another engine, with that engine's `host:port`. */
  readonly stalledRequests: readonly {
    readonly requestId: string;
    readonly faultAddress: string;
  }[];
}

/** An engine's answer to the question for a report. */
export interface EngineReportAnswer {
  readonly status: number;
  readonly statements: ServerStatements;
  /** Undefined if the engine answered with a failure. */
  readonly report: EngineReport | undefined;
}

/** An order to hold a range of layers. */
export interface PlacementOrder extends LayerRange {
  /** The engine accepts the order only if it has accepted this many orders before. */
  readonly expectedSequence: number;
}

/** An order to continue a running request over another chain. */
export interface RerouteOrder {
  readonly requestId: string;
  /** Starts with the same stage as the request's current chain. */
  readonly chain: readonly StageAddress[];
}

/** The result of an order to reroute a request. */
export type RerouteResult =
  | { readonly kind: 'done' }
  /** The engine does not run the request, or could not be reached. */
  | { readonly kind: 'failed' }
  /** An engine of the new chain cannot take the request. */
  | { readonly kind: 'conflict'; readonly faultAddress: string | undefined };

/** The result of a placement order; `unknown` means that no response arrived. */
export type PlacementResult = 'begun' | 'done' | 'conflict' | 'refused' | 'unknown';

/** Translates between the entry and the deployment's protocol. Timeouts are in milliseconds. */
export interface ProtocolAdapter {
  readonly parseRequestHeaders: (headers: IncomingHttpHeaders) => RequestMetadata;
  /** Returns the headers for a backend server as alternating names and values. */
  readonly buildBackendHeaders: (
    rawHeaders: readonly string[],
    metadata: BackendRequestMetadata,
  ) => string[];
  readonly parseResponseHeaders: (headers: IncomingHttpHeaders, status: number) => ResponseMetadata;
  /** Reads what any answer of a server says of the server. */
  readonly parseServerStatements: (headers: IncomingHttpHeaders) => ServerStatements;
  /** Rejects when the engine sends no valid answer in time. */
  readonly fetchEngineReport: (
    address: Address,
    timeoutMilliseconds: number,
  ) => Promise<EngineReportAnswer>;
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
