/** What a peer answers to a request that was passed on to it. */
import type { IncomingMessage } from 'node:http';
import { z } from 'zod';
import { readBody } from '../common/http-client.js';
import type { LocalResponse } from '../entry/entry-response.js';

/** What became of a request that was passed on. */
export type PeerAnswer =
  /** A backend server's answer, whose body can be read from `message`. */
  | {
      readonly kind: 'served';
      readonly peer: string;
      readonly incarnation: number;
      readonly status: number;
      readonly message: IncomingMessage;
      /** Other peers that may have run the request in the same attempt to pass it on. */
      readonly otherPeers: readonly string[];
    }
  /** The peer ended the request itself. */
  | { readonly kind: 'ended'; readonly peer: string; readonly response: LocalResponse }
  /** The peer was lost; the request may have run. */
  | { readonly kind: 'lost'; readonly peer: string; readonly message: string }
  /** No peer took the request; it didn't run. */
  | { readonly kind: 'none' };

/** Codes with which a peer refuses what another peer may be able to serve. */
const DECLINING_CODES: ReadonlySet<string> = new Set([
  'bad_relay',
  'memory_exceeded',
  'no_configuration',
  'relay_full',
  'servers_unreachable',
  'stale_configuration',
  'stopping',
]);

const MAXIMUM_LOCAL_RESPONSE_BYTES = 65_536;

const LocalResponseBody = z.object({
  error: z.object({ code: z.string(), message: z.string() }),
});

/**
 * Tells whether a peer only refuses for itself.
 *
 * @param localResponse - Its response.
 */
export function isDeclined({ status, code }: LocalResponse): boolean {
  return status === 503 && DECLINING_CODES.has(code);
}

/** Tells whether an answer states that the request has not run. */
export function isRefusal(answer: PeerAnswer): boolean {
  return answer.kind === 'ended' && answer.response.status === 503;
}

/** Reads a response that the peer created itself. */
export async function readLocalResponse(message: IncomingMessage): Promise<LocalResponse> {
  const body = await readBody(message, MAXIMUM_LOCAL_RESPONSE_BYTES);
  const { error } = LocalResponseBody.parse(JSON.parse(body.toString()));
  const retryAfterSeconds = Number(message.headers['retry-after']);
  return {
    status: message.statusCode ?? 0,
    ...error,
    ...(Number.isFinite(retryAfterSeconds) ? { retryAfterSeconds } : {}),
  };
}
