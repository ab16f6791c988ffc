/**
 * Finds out whether a backend server that broke a connection off has ended. A live server may break off
 * one answer, and a reset on the way looks the same, so the server's host is asked with a new connection
 * that carries no request.
 */
import { probeConnection } from '../common/connection-probe.js';
import type { BackendFleet } from './backend-fleet.js';
import { getProcessKey, type ServerEntry } from './server-entry.js';

/** A process that is ending may accept a connection just before it closes all of them. */
const HOLD_MILLISECONDS = 50;
const MAXIMUM_CONNECTIONS = 2;

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
      const result = await probeConnection(entry.address, {
        holdMilliseconds: HOLD_MILLISECONDS,
      });
      if (result === 'refused')
        this.#fleet.recordEnd(entry, 'a connection was refused right after one had broken off');
      if (result !== 'closed') return;
    }
  }
}
