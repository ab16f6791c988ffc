/**
 * Takes over whole lists of backend servers, from the store or from peers. Handles peers that are ahead while an
 * own watch hangs, lists of other builds, and a store that is back from an older copy.
 */
import type { Address } from '../common/address.js';
import { sleep } from '../common/clock.js';
import type { BackendFleet } from '../fleet/backend-fleet.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import type { PeerRecord } from '../gossip/peer-record.js';
import { isLater, type StorePosition } from '../store/store-position.js';
import type { Logger } from '../telemetry/log.js';
import { decodeFleetDocument } from './fleet-document.js';

/** Options of {@link ServerList}. */
export interface ServerListOptions {
  readonly fleet: BackendFleet;
  /** Name of this instance's data centre. */
  readonly dataCentre: string;
  /** Reads a document of a peer; resolves to undefined when the peer does not provide it. */
  readonly fetch: (peer: Address, path: string) => Promise<unknown>;
  /** Whether this instance follows the store itself and gets answers. */
  readonly isStoreReachable: () => boolean;
  /** Called when this instance has got a newer list of servers. */
  readonly onNews: () => void;
  /** Called when the store is back from an older copy: what this instance wrote there since is gone. */
  readonly onEra: () => void;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

/** Path under which peers read the list of backend servers. */
export const FLEET_PATH = '/fleet';
/** How long news of a peer may take to arrive from the store or a nearer peer. */
const NEWS_DELAY_MILLISECONDS = 400;
const MAXIMUM_LOGGED_ENTRIES = 5;

/** The lists of backend servers that one instance takes over. */
export class ServerList {
  readonly #options: ServerListOptions;

  #isFetching = false;

  #isWaitingForNews = false;

  #hasList = false;

  /** Whether the store has come back from an older copy since this instance started. */
  #hasBegunEra = false;

  constructor(options: ServerListOptions) {
    this.#options = options;
  }

  /** Whether a list has been received. */
  get hasList(): boolean {
    return this.#hasList;
  }

  /** The list, as peers read it. */
  describe(): unknown {
    const { fleet } = this.#options;
    return {
      revision: fleet.revision,
      era: fleet.era,
      entries: fleet.servers.map(({ entry }) => entry),
      missingMilliseconds: fleet.missingMilliseconds,
    };
  }

  /**
   * Fetches the list of a peer that has a later one. At once if peers of the same data centre follow the store
   * for this instance, and otherwise if this instance is still behind a moment later: its own watch of the
   * store, or a peer that is nearer, usually brings the news first, but a watch may hang without an error.
   *
   * @param record - The latest record of the peer.
   */
  catchUpWithPeer(record: PeerRecord): void {
    if (!this.#isBehind(record)) return;
    const { dataCentre, isStoreReachable } = this.#options;
    const isExpected = record.dataCentre === dataCentre && !isStoreReachable();
    if (isExpected || !this.#hasList) void this.#fetch(record);
    else void this.#fetchIfStillBehind(record);
  }

  /** Takes over a whole list, unless a later one has been taken over. */
  replace(entries: readonly ServerEntry[], { era, revision }: StorePosition): void {
    const { fleet, onNews, onEra } = this.#options;
    const isFirstWithEra = this.#isFirstWithEra(era);
    if (!isFirstWithEra && isLater(fleet, { era, revision })) return;
    if (isFirstWithEra) fleet.revision = 0;
    if (era !== undefined && fleet.era !== undefined && era > fleet.era) {
      this.#hasBegunEra = true;
      fleet.replaceAllInEra(entries, revision, era);
      onEra();
    } else {
      fleet.era = era ?? fleet.era;
      fleet.replaceAll(entries, revision);
    }
    this.#hasList = true;
    onNews();
  }

  /** Whether a peer has a later list. An older build doesn't tell the era, so its revision may be that of a list before. */
  #isBehind({ fleetEra: era, fleetRevision: revision }: PeerRecord): boolean {
    const { fleet, isStoreReachable } = this.#options;
    if (era === undefined && this.#hasBegunEra && isStoreReachable()) return false;
    return this.#isFirstWithEra(era) || isLater({ era, revision }, fleet);
  }

  /** Whether only older builds have told a revision so far, which can't be compared with that of a known era. */
  #isFirstWithEra(era: number | undefined): boolean {
    return era !== undefined && this.#options.fleet.era === undefined;
  }

  async #fetchIfStillBehind(record: PeerRecord): Promise<void> {
    if (this.#isWaitingForNews) return;
    this.#isWaitingForNews = true;
    await sleep(NEWS_DELAY_MILLISECONDS, this.#options.signal);
    this.#isWaitingForNews = false;
    if (this.#isBehind(record)) await this.#fetch(record);
  }

  /** Takes over a peer's list, unless this instance's list is as new. */
  async #fetch(record: PeerRecord): Promise<void> {
    const { fleet, fetch, log } = this.#options;
    if (this.#isFetching) return;
    this.#isFetching = true;
    try {
      const value = await fetch(record.peers, FLEET_PATH);
      if (value === undefined) return;
      const peer = record.instance;
      const document = decodeFleetDocument(value);
      if (!document) log.warn('Servers from a peer cannot be read; ignored.', { peer });
      if (!document) return;
      if (!this.#isFirstWithEra(document.era) && !isLater(document, fleet)) return;
      const { entries, missingMilliseconds, messages } = document;
      if (messages.length > 0)
        log.warn('Some servers from a peer cannot be read; ignored.', {
          peer,
          messages: messages.slice(0, MAXIMUM_LOGGED_ENTRIES),
        });
      this.replace(entries, document);
      fleet.markMissing(missingMilliseconds);
    } finally {
      this.#isFetching = false;
    }
  }
}
