/** A pool of channels to peers. */
import { formatAddress, type Address } from '../common/address.js';
import { PeerClient } from './peer-client.js';

const MAXIMUM_CLIENTS = 16;

/** Channels to peers that are called now and then; the least recently used are closed. */
export class PeerClients {
  readonly #clients = new Map<string, PeerClient>();

  /**
   * Gives the channel to an address.
   *
   * @param address - The peer's address.
   * @returns A channel, made if there was none.
   */
  to(address: Address): PeerClient {
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
