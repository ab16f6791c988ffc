/** A caller's request, as it is handed to a relay once its route and service are known. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RequestMemory } from '../memory/request-memory.js';
import type { RequestContent } from '../evidence/blocked-parts.js';
import type { RequestMetadata } from './protocol-adapter.js';
import type { RelayedRequest } from '../relay/relayed-request.js';
import type { ClientAccount, Route, Service } from './serving-configuration.js';

/** A caller's request that has been read completely and matched to a route. */
export interface EntryRequest {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly metadata: RequestMetadata;
  /** The path with its query, as the caller sent it. */
  readonly path: string;
  readonly route: Route;
  readonly service: Service;
  /** Version of the configuration that decided on the route and the service. */
  readonly configurationVersion: number;
  /** Undefined for public routes and where no accounts are configured. */
  readonly account: ClientAccount | undefined;
  readonly body: Buffer;
  /** Counts what is held for the request. */
  readonly memory: Pick<RequestMemory, 'hold'>;
  /** When the request was received, on the monotonic clock. */
  readonly receivedAt: number;
  /** When the response must be complete, on the monotonic clock. */
  readonly deadline: number;
  /** Aborts with an {@link AbortReason}. */
  readonly signal: AbortSignal;
  /** Whether it has ended or its time is over, by the clock: the timer that aborts the signal may be late. */
  readonly isOver: () => boolean;
  readonly content: RequestContent;
  /** What the instance states that passed the request on; undefined if the caller sent it here. */
  readonly relayed: RelayedRequest | undefined;
}

/** Why a request's signal was aborted: its caller left, its time is over, or the instance ends. */
export type AbortReason = 'callerGone' | 'deadline' | 'stopping';

/**
 * Returns why a request's signal was aborted.
 *
 * @param signal - The request's signal.
 * @returns The reason, or undefined while it is not aborted.
 */
export function getAbortReason(signal: AbortSignal): AbortReason | undefined {
  return signal.aborted ? (signal.reason as AbortReason) : undefined;
}

/**
 * Tells whether a request may run more than once.
 *
 * @param route - The request's route.
 * @returns Whether a repeated run has no further effect: safe routes and resumable streams.
 */
export function isIdempotent(route: Route): boolean {
  return route.kind === 'safe' || (route.kind === 'streaming' && route.isResumable);
}
