/**
 * Asks the store, or peers that reach it, whether an instance has the newest configuration, and answers
 * peers that ask the same. Handles a store that turns this instance away, and storms of questions: peers
 * that ask meanwhile share one question to the store.
 */
import { z } from 'zod';
import type { Address } from '../common/address.js';
import type { ActiveConfiguration } from '../entry/active-configuration.js';
import type { ConfigurationSource } from '../entry/configuration-check.js';
import type { PeerRecord } from '../gossip/peer-record.js';
import type { ConfigurationHolder } from './peer-configuration.js';
import type { ObjectStore, StoredObject } from '../store/object-store.js';

/** Options of {@link ConfigurationEvidence}. */
export interface ConfigurationEvidenceOptions {
  readonly store: ObjectStore;
  readonly configurationKind: string;
  readonly configurationName: string;
  readonly configuration: ActiveConfiguration;
  /** Name of this instance's data centre. */
  readonly dataCentre: string;
  readonly listPeers: () => readonly PeerRecord[];
  /** Reads a document of a peer; resolves to undefined when the peer does not provide it. */
  readonly fetch: (peer: Address, path: string) => Promise<unknown>;
  /** Whether peers follow the store on behalf of this instance, so that it need not call it. */
  readonly isFollowedByPeers: () => boolean;
  /** Applies an object of the configuration's kind; false if its configuration can't be read. */
  readonly apply: (object: StoredObject) => boolean;
  /** Fetches the configuration of a peer that has a newer one. */
  readonly fetchConfiguration: (holder: ConfigurationHolder) => Promise<void>;
}

/** Path under which peers read how old the evidence of an instance is. */
export const CONFIGURATION_STATE_PATH = '/configuration-state';
/** Peers that are asked at a time whether there is a newer configuration. */
const ASKED_PEERS = 2;

/** What an instance knows of the newest configuration, as it tells peers that ask. */
const ConfigurationState = z.object({
  version: z.number(),
  /** How long ago the store confirmed that there is no newer version. */
  ageMilliseconds: z.number().min(0),
});

/** Where the evidence comes from that the configuration of one instance is the newest. */
export class ConfigurationEvidence {
  readonly #options: ConfigurationEvidenceOptions;

  /** A question to the store on behalf of peers, shared by all that ask meanwhile. */
  #stateCheck: Promise<void> | undefined;

  constructor(options: ConfigurationEvidenceOptions) {
    this.#options = options;
  }

  /**
   * Where to ask whether the configuration is the newest one: peers first while they follow the store
   * for this instance, otherwise the store.
   */
  get sources(): readonly ConfigurationSource[] {
    const askStore = (): Promise<void> => this.#askStore();
    const askPeers = (): Promise<void> => this.#askPeers();
    return this.#options.isFollowedByPeers() ? [askPeers, askStore] : [askStore, askPeers];
  }

  /**
   * Answers a peer; asks the store first if this instance's own evidence is too old to be of use.
   *
   * @returns The version and the age of its evidence; undefined without young evidence.
   */
  async describe(): Promise<unknown> {
    const { configuration } = this.#options;
    if (!configuration.isFresh()) {
      this.#stateCheck ??= this.#askStore().finally(() => {
        this.#stateCheck = undefined;
      });
      await this.#stateCheck;
    }
    if (!configuration.current || !configuration.isFresh()) return undefined;
    const ageMilliseconds = configuration.ageMilliseconds();
    return { version: configuration.current.version, ageMilliseconds };
  }

  /**
   * Reads the one object that holds the configuration. A watch from where this instance last watched would bring every
   * version since, and may be cut short before the newest one.
   */
  async #askStore(): Promise<void> {
    const { store, configurationKind, configurationName, configuration, apply } = this.#options;
    const askedAt = performance.now();
    const read = await store.read(configurationKind, configurationName);
    if (read.kind !== 'found') return;
    if (!apply(read.object)) return;
    configuration.markUpToDate('store answer', performance.now() - askedAt);
  }

  /** Asks peers that reach the store, those of this data centre first. */
  async #askPeers(): Promise<void> {
    const { dataCentre, listPeers } = this.#options;
    const asked = listPeers()
      .filter(({ isStoreReachable, isReady }) => isStoreReachable && isReady)
      .sort(
        (one, other) =>
          Number(other.dataCentre === dataCentre) - Number(one.dataCentre === dataCentre),
      )
      .slice(0, ASKED_PEERS);
    await Promise.all(asked.map((peer) => this.#askPeer(peer)));
  }

  async #askPeer(peer: PeerRecord): Promise<void> {
    const { configuration, fetch, fetchConfiguration } = this.#options;
    const askedAt = performance.now();
    const answer = ConfigurationState.safeParse(await fetch(peer.peers, CONFIGURATION_STATE_PATH));
    if (!answer.success) return;
    const { version, ageMilliseconds } = answer.data;
    await fetchConfiguration({ ...peer, configurationVersion: version });
    if (version !== configuration.current?.version) return;
    // The peer answered after it was asked, so its evidence is at most this old.
    configuration.markUpToDate(peer.instance, ageMilliseconds + performance.now() - askedAt);
  }
}
