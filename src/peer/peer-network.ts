/** Keeps one link task for each peer that the overlay names. */
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
  /** Peer addresses known from elsewhere: settings and the instance list. */
  readonly knownAddresses: () => readonly Address[];
  readonly log: Logger;
  readonly signal: AbortSignal;
  readonly reviewIntervalMilliseconds?: number;
}

interface Link {
  readonly address: Address;
  readonly stop: AbortController;
  readonly done: Promise<void>;
}

const FAILURES_BEFORE_SUSPICION = 2;
const REVIEWS_PER_CONTACT = 5;

class PeerNetwork {
  readonly #options: PeerNetworkOptions;

  readonly #links = new Map<string, Link>();

  readonly #progress = new Map<string, LinkProgress>();

  constructor(options: PeerNetworkOptions) {
    this.#options = options;
  }

  /** Starts links to new neighbours and stops those to former ones. */
  updateLinks(): void {
    const { membership } = this.#options;
    const { self } = membership;
    const reachable = membership.members.filter((member) => member.state !== 'gone');
    const wanted = new Set(chooseNeighbours(self, reachable));
    this.#links.forEach((link, peer) => {
      const address = membership.find(peer)?.peerAddress;
      const isSame = address && formatAddress(address) === formatAddress(link.address);
      if (wanted.has(peer) && isSame) return;
      link.stop.abort();
      this.#links.delete(peer);
    });
    wanted.forEach((peer) => {
      if (!this.#links.has(peer)) this.#startLink(peer);
    });
  }

  /**
   * Exchanges once with an address that no live member has: at the start, and after a cut.
   */
  contactUnknownAddress(): void {
    const { membership, knownAddresses, signal } = this.#options;
    const reached = new Set(
      membership.members
        .filter((member) => member.state !== 'gone')
        .map((member) => formatAddress(member.peerAddress)),
    );
    const gone = membership.members.filter((member) => member.state === 'gone');
    const candidates = [...knownAddresses(), ...gone.map((member) => member.peerAddress)];
    const unknown = candidates.filter((address) => !reached.has(formatAddress(address)));
    const address = unknown[Math.floor(Math.random() * unknown.length)];
    if (!address) return;
    const stop = new AbortController();
    const end = (): void => stop.abort();
    signal.addEventListener('abort', end, { once: true });
    void runLink({
      context: this.#options.context,
      peer: '',
      peerRegion: undefined,
      address,
      progress: { peerTableId: 0, receivedIndex: 0, confirmedIndex: 0 },
      onFailure: end,
      onAnswer: end,
      signal: stop.signal,
    }).finally(() => signal.removeEventListener('abort', end));
  }

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
 * Runs the peer network until the signal aborts.
 *
 * @param options - The membership, the table and the addresses to start from.
 */
export async function runPeerNetwork(options: PeerNetworkOptions): Promise<void> {
  const { membership, signal, reviewIntervalMilliseconds: reviewMilliseconds = 500 } = options;
  const network = new PeerNetwork(options);
  let reviews = 0;
  membership.onChanged(() => network.updateLinks());
  while (!signal.aborted) {
    membership.expireMembers();
    network.updateLinks();
    const isAlone = membership.members.length <= 1;
    if (isAlone || reviews % REVIEWS_PER_CONTACT === 0) network.contactUnknownAddress();
    reviews += 1;
    await sleep(reviewMilliseconds, signal);
  }
  await network.stop();
}
