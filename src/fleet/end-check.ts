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

/** Whether the host at an address refuses a connection; false also if it doesn't answer in time. */
function isRefused({ host, port }: Address): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect({ host, port });
    const finish = (result: boolean): void => {
      cancelTimer();
      socket.destroy();
      resolve(result);
    };
    const cancelTimer = startPatientTimer(CONNECT_TIMEOUT_MILLISECONDS, () => finish(false));
    socket.once('connect', () => finish(false));
    socket.on('error', ({ code }: NodeJS.ErrnoException) => finish(code === 'ECONNREFUSED'));
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
    if (await isRefused(entry.address))
      this.#fleet.recordEnd(entry, 'a connection was refused right after one had broken off');
  }
}
