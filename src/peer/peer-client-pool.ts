/** A pool of channels to peers. */
import { formatAddress, type Address } from '../common/address.js';
import { PeerClient } from './peer-client.js';

const MAXIMUM_CLIENTS = 16;

/**
 * Keeps channels open to the peers that were called most recently. The least recently used channel
 * is closed when the pool is full.
 */
export class PeerClientPool {
  readonly #clients = new Map<string, PeerClient>();

  /**
   * Returns the channel to a peer, which is created if there is none.
   *
   * @param address - The peer's address.
   */
  getClient(address: Address): PeerClient {
    const name = formatAddress(address);
    const client = this.#clients.get(name) ?? new PeerClient(address);
    this.#clients.delete(name);
    this.#clients.set(name, client);
    const [oldest] = this.#clients.keys();
    if (this.#clients.size > MAXIMUM_CLIENTS && oldest !== undefined) {
      this.#clients.get(oldest)?.close();
      this.#clients.delete(oldest);
    }
    return client;
  }

  close(): void {
    this.#clients.forEach((client) => client.close());
    this.#clients.clear();
  }
}
