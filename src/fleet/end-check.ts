/**
 * Finds out whether a backend server that broke a connection off has ended. A live server may break off
 * one answer, and a reset on the way looks the same, so the server's host is asked with a new connection
 * that carries no request.
 */
import net from 'node:net';
import type { Address } from '../common/address.js';
import { startPatientTimer } from '../common/patient-timer.js';
import type { BackendFleet } from './backend-fleet.js';
import { getProcessKey, type ServerEntry } from './server-entry.js';

const CONNECT_TIMEOUT_MILLISECONDS = 300;
/** A process that is ending may accept a connection just before it closes all of them. */
const HOLD_MILLISECONDS = 50;
const MAXIMUM_CONNECTIONS = 2;

/** What becomes of a new connection; `unknown` if the host doesn't answer in time. */
type ConnectionResult = 'held' | 'closed' | 'refused' | 'unknown';

/** Connects, and closes the connection after holding it for a moment. */
function tryConnection({ host, port }: Address): Promise<ConnectionResult> {
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
      cancelTimer = startPatientTimer(HOLD_MILLISECONDS, () => finish('held'));
    });
    socket.on('end', () => finish('closed'));
    socket.on('error', ({ code }: NodeJS.ErrnoException) =>
      finish(code === 'ECONNREFUSED' ? 'refused' : 'closed'),
    );
    socket.resume();
  });
}

export class EndCheck {
  readonly #fleet: BackendFleet;

  /** By process; requests that lose their connections at the same moment share one check. */
  readonly #running = new Map<string, Promise<void>>();

  constructor(fleet: BackendFleet) {
    this.#fleet = fleet;
  }

  /**
   * Connects to a server and records in the fleet what that shows.
   *
   * @param entry - The entry of the process that broke a connection off.
   */
  async check(entry: ServerEntry): Promise<void> {
    const processKey = getProcessKey(entry);
    const running = this.#running.get(processKey) ?? this.#connect(entry);
    this.#running.set(processKey, running);
    await running;
    this.#running.delete(processKey);
  }

  async #connect(entry: ServerEntry): Promise<void> {
    for (let connection = 1; connection <= MAXIMUM_CONNECTIONS; connection += 1) {
      const result = await tryConnection(entry.address);
      if (result === 'refused')
        this.#fleet.recordEnd(entry, 'a connection was refused right after one had broken off');
      if (result !== 'closed') return;
    }
  }
}
