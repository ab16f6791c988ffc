/** The connection to the platform's object API. */
import http from 'node:http';
import type { Address } from '../common/address.js';
import type { PlatformCallCounts } from './object.js';

/** The address, sockets and call counts that the queries and commands of the object API share. */
export interface PlatformConnection {
  readonly address: Address;
  /** The time allowed for one call, without the waiting time of a watch. */
  readonly timeoutMilliseconds: number;
  readonly agent: http.Agent;
  readonly counts: PlatformCallCounts;
}

const MAXIMUM_SOCKETS = 16;

/**
 * Creates a connection. Sockets are opened when they are first needed.
 *
 * @param options - The address of the object API and the time allowed for one call.
 */
export function createPlatformConnection(options: {
  readonly address: Address;
  readonly timeoutMilliseconds?: number;
}): PlatformConnection {
  const { address, timeoutMilliseconds = 1000 } = options;
  return {
    address,
    timeoutMilliseconds,
    agent: new http.Agent({ keepAlive: true, maxSockets: MAXIMUM_SOCKETS }),
    counts: { reads: 0, writes: 0, watches: 0 },
  };
}
