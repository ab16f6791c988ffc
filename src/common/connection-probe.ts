/** Opens a connection that carries no request, to see whether a process listens at an address. */
import net from 'node:net';
import type { Address } from './address.js';
import { startPatientTimer } from './patient-timer.js';

/** What becomes of a new connection; `unknown` if the host doesn't answer in time. */
export type ConnectionResult = 'held' | 'closed' | 'refused' | 'unknown';

/** Options of {@link probeConnection}. */
export interface ConnectionProbeOptions {
  /** How long the connection has to last; 0 by default. */
  readonly holdMilliseconds?: number;
}

const CONNECT_TIMEOUT_MILLISECONDS = 300;

/**
 * Connects, and closes the connection after holding it for a moment.
 *
 * @param address - Where to connect to.
 * @param options - How long to hold the connection.
 * @returns What became of it, after 300 ms and the holding time at the latest.
 */
export function probeConnection(
  { host, port }: Address,
  { holdMilliseconds = 0 }: ConnectionProbeOptions = {},
): Promise<ConnectionResult> {
  return new Promise((resolve) => {
    const socket = net.connect({ host, port });
    const finish = (result: ConnectionResult): void => {
      cancelTimer();
      socket.destroy();
      resolve(result);
    };
    let cancelTimer = startPatientTimer(CONNECT_TIMEOUT_MILLISECONDS, () => finish('unknown'));
    socket.once('connect', () => {
      cancelTimer();
      cancelTimer = startPatientTimer(holdMilliseconds, () => finish('held'));
    });
    socket.on('end', () => finish('closed'));
    socket.on('error', ({ code }: NodeJS.ErrnoException) =>
      finish(code === 'ECONNREFUSED' ? 'refused' : 'closed'),
    );
    socket.resume();
  });
}
