/** A caller's request, read whole and led to its route. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RequestMetadata } from './protocol-adapter.js';
import type { ClientAccount, Route, Service } from './serving-configuration.js';

export interface EntryRequest {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly metadata: RequestMetadata;
  readonly route: Route;
  readonly service: Service;
  readonly account: ClientAccount | undefined;
  readonly body: Buffer;
  /** When it came, on the monotonic clock. */
  readonly receivedAt: number;
  /** When its final answer is due, on the monotonic clock. */
  readonly deadline: number;
  /** Aborts when the caller leaves or the deadline passes. */
  readonly signal: AbortSignal;
  /** Names the request's content, the same on all instances. */
  readonly contentHash: string;
}

/** Why a request's signal was aborted. */
export type AbortReason = 'callerGone' | 'deadline';

/**
 * Tells why a request's signal was aborted.
 *
 * @param signal - The request's signal.
 * @returns The reason, or undefined while it isn't.
 */
export function abortReasonOf(signal: AbortSignal): AbortReason | undefined {
  return signal.aborted ? (signal.reason as AbortReason) : undefined;
}

/**
 * Tells whether a request may be run more than once.
 *
 * @param route - The request's route.
 * @returns Whether repeating it has no effect.
 */
export function isIdempotent(route: Route): boolean {
  return route.kind === 'safe' || (route.kind === 'streaming' && route.isResumable);
}
