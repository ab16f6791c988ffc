/**
 * What an instance tells a peer about a request that it passes on to it, in one header. An instance passes a
 * request on while it reaches no backend server; the peer serves it as if the caller had sent it there, and
 * never passes it on itself.
 */
import { z } from 'zod';

/** The header's name, in lower case. */
export const RELAY_HEADER = 'relayed-request';

const MAXIMUM_SERVERS = 32;

export const RelayedRequest = z.object({
  /** The instance that the caller sent the request to. */
  from: z.string(),
  /** The configuration that this instance serves by; the peer needs the same or a newer one. */
  configurationVersion: z.number(),
  /** What is left of the time that the caller and the route allow. */
  remainingMilliseconds: z.number(),
  /** Processes of backend servers that may have run the request already. */
  processKeys: z.array(z.string()).max(MAXIMUM_SERVERS),
  /** The last event that the caller has, when a stream resumes. */
  lastEventId: z.number().optional(),
});
export type RelayedRequest = z.infer<typeof RelayedRequest>;

/** Writes the header's value. */
export function encodeRelayedRequest(relayed: RelayedRequest): string {
  return encodeURIComponent(JSON.stringify(relayed));
}

/**
 * Reads the header's value.
 *
 * @param value - The value, as received.
 * @returns What it states, or undefined if it is malformed.
 */
export function decodeRelayedRequest(value: string): RelayedRequest | undefined {
  try {
    return RelayedRequest.safeParse(JSON.parse(decodeURIComponent(value))).data;
  } catch {
    return undefined;
  }
}
