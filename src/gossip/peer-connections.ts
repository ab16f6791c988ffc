/**
 * Keeps connections to peers open between calls. Handles connections that go silent without a reset, when a firewall
 * is replaced for example: a call over such a one is made once more over a new connection, so that a fleet whose
 * instances call each other seldom isn't silent for as long as it takes to notice each connection by itself. Handles
 * overload, too, in which peers answer late over any connection: further calls would add to it.
 */
import http from 'node:http';
import type { Address } from '../common/address.js';
import {
  fetchResponse,
  isKeptConnectionSilent,
  type HttpRequest,
  type HttpResponse,
} from '../common/http-client.js';
import type { Logger } from '../telemetry/log.js';

/** No call is made once more for this long after one was made in vain. */
const PAUSE_MILLISECONDS = 5000;

export class PeerConnections {
  readonly #agent = new http.Agent({ keepAlive: true });

  readonly #log: Logger;

  /** On the monotonic clock. */
  #repeatsFrom = Number.NEGATIVE_INFINITY;

  constructor(log: Logger) {
    this.#log = log;
  }

  /**
   * Sends a request that may be repeated to a peer, and reads its response.
   *
   * @param request - The request. Its timeout applies again to the call over a new connection.
   * @returns The response, whatever its status.
   * @throws HttpRequestError with the phase that the last call had reached.
   */
  async fetch(request: Omit<HttpRequest, 'agent'>): Promise<HttpResponse> {
    try {
      return await fetchResponse({ ...request, agent: this.#agent });
    } catch (error) {
      if (!isKeptConnectionSilent(error) || performance.now() < this.#repeatsFrom) throw error;
      const dropped = this.#dropIdle(request.address);
      this.#log.info('A kept connection to the peer is silent; calling over a new one.', {
        ...request.address,
        path: request.path,
        dropped,
      });
      return this.#repeat(request);
    }
  }

  async #repeat(request: Omit<HttpRequest, 'agent'>): Promise<HttpResponse> {
    try {
      return await fetchResponse({ ...request, agent: this.#agent });
    } catch (error) {
      this.#repeatsFrom = performance.now() + PAUSE_MILLISECONDS;
      throw error;
    }
  }

  /** What silenced one connection to a peer may have silenced the others that are open. */
  #dropIdle({ host, port }: Address): number {
    const idle = this.#agent.freeSockets[this.#agent.getName({ host, port })] ?? [];
    const count = idle.length;
    [...idle].forEach((socket) => socket.destroy());
    return count;
  }
}
