/** Runs a link to each peer that the overlay chooses, and contacts instances not known yet. */
import { formatAddress, type Address } from '../common/address.js';
import { sleep } from '../common/clock.js';
import type { Logger } from '../telemetry/log.js';
import { runLink, type LinkContext, type LinkProgress } from './link-task.js';
import type { Membership } from './membership.js';
import { chooseNeighbours } from './overlay.js';

/** Options of {@link runPeerNetwork}. */
export interface PeerNetworkOptions {
  readonly context: LinkContext;
  readonly membership: Membership;
  /** Lists the peer addresses from the settings and the instance list. */
  readonly listSeedAddresses: () => readonly Address[];
  readonly log: Logger;
  readonly signal: AbortSignal;
  readonly reviewIntervalMilliseconds?: number;
}

/** A running link to one peer. */
interface Link {
  readonly address: Address;
  readonly stop: AbortController;
  readonly done: Promise<void>;
}

const FAILURES_BEFORE_SUSPICION = 2;
/** While other members are known, an unknown address is contacted at every fifth review only. */
const REVIEWS_PER_CONTACT = 5;

class PeerNetwork {
  readonly #options: PeerNetworkOptions;

  readonly #links = new Map<string, Link>();

  /** Kept when a link stops, so that a new link to the same peer continues from there. */
  readonly #progress = new Map<string, LinkProgress>();

  constructor(options: PeerNetworkOptions) {
    this.#options = options;
  }

  /**
   * Starts links to the peers that the overlay chooses now, and stops the links to other peers and
   * to addresses that have changed.
   */
  updateLinks(): void {
    const { membership } = this.#options;
    const { self } = membership;
    const reachable = membership.members.filter((member) => member.state !== 'gone');
    const neighbours = new Set(chooseNeighbours(self, reachable));
    this.#links.forEach((link, peer) => {
      const address = membership.find(peer)?.peerAddress;
      const isSame = address && formatAddress(address) === formatAddress(link.address);
      if (neighbours.has(peer) && isSame) return;
      link.stop.abort();
      this.#links.delete(peer);
    });
    neighbours.forEach((peer) => {
      if (!this.#links.has(peer)) this.#startLink(peer);
    });
  }

  /**
   * Exchanges records once with a random address that belongs to no reachable member. This is how
   * an instance finds its first peers, and how the two sides of a network partition find each other
   * again.
   */
  contactUnknownAddress(): void {
    const { membership, listSeedAddresses, signal } = this.#options;
    const memberAddresses = new Set(
      membership.members
        .filter((member) => member.state !== 'gone')
        .map((member) => formatAddress(member.peerAddress)),
    );
    const gone = membership.members.filter((member) => member.state === 'gone');
    const candidates = [...listSeedAddresses(), ...gone.map((member) => member.peerAddress)];
    const unknown = candidates.filter((address) => !memberAddresses.has(formatAddress(address)));
    const address = unknown[Math.floor(Math.random() * unknown.length)];
    if (!address) return;
    const stop = new AbortController();
    const stopLink = (): void => stop.abort();
    signal.addEventListener('abort', stopLink, { once: true });
    void runLink({
      context: this.#options.context,
      peer: '',
      peerRegion: undefined,
      address,
      progress: { peerTableId: 0, receivedIndex: 0, confirmedIndex: 0 },
      onFailure: stopLink,
      onAnswer: stopLink,
      signal: stop.signal,
    }).finally(() => signal.removeEventListener('abort', stopLink));
  }

  /** Stops every link and waits until all have ended. */
  async stop(): Promise<void> {
    const links = [...this.#links.values()];
    links.forEach((link) => link.stop.abort());
    await Promise.all(links.map((link) => link.done));
  }

  #startLink(peer: string): void {
    const { membership, context } = this.#options;
    const member = membership.find(peer);
    if (!member) return;
    const stop = new AbortController();
    const progress = this.#progress.get(peer) ?? {
      peerTableId: 0,
      receivedIndex: 0,
      confirmedIndex: 0,
    };
    this.#progress.set(peer, progress);
    const done = runLink({
      context,
      peer,
      peerRegion: member.region,
      address: member.peerAddress,
      progress,
      onFailure: (failures) => {
        if (failures >= FAILURES_BEFORE_SUSPICION) membership.markSuspect(peer);
      },
      onAnswer: () => undefined,
      signal: stop.signal,
    });
    this.#links.set(peer, { address: member.peerAddress, stop, done });
  }
}

/**
 * Runs the links to peers until the signal aborts, and waits until they have ended.
 *
 * @param options - The membership, the record table and the addresses to start from.
 */
export async function runPeerNetwork(options: PeerNetworkOptions): Promise<void> {
  const { membership, signal, reviewIntervalMilliseconds = 500 } = options;
  const network = new PeerNetwork(options);
  let reviews = 0;
  membership.onChanged(() => network.updateLinks());
  while (!signal.aborted) {
    membership.expireMembers();
    network.updateLinks();
    const isAlone = membership.members.length <= 1;
    if (isAlone || reviews % REVIEWS_PER_CONTACT === 0) network.contactUnknownAddress();
    reviews += 1;
    await sleep(reviewIntervalMilliseconds, signal);
  }
  await network.stop();
}
