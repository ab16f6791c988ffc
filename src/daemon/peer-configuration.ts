/**
 * Fetches the configuration from peers that have a newer one. Handles changes in quick succession: a version that is
 * named while another one is fetched comes next, and those that it has overtaken are not fetched.
 */
import type { Address } from '../common/address.js';
import type { ActiveConfiguration } from '../entry/active-configuration.js';
import type { PeerRecord } from '../gossip/peer-record.js';
import type { EntryPlatform } from './entry-platform.js';

/** Path under which peers read the stored configuration. */
export const CONFIGURATION_PATH = '/configuration';

/** A peer, and the version that it has. */
export type ConfigurationHolder = Pick<PeerRecord, 'instance' | 'peers' | 'configurationVersion'>;

/** Options of {@link PeerConfiguration}. */
export interface PeerConfigurationOptions {
  readonly configuration: ActiveConfiguration;
  readonly parseConfiguration: EntryPlatform['parseConfiguration'];
  /** Reads a document of a peer; resolves to undefined when the peer does not provide it. */
  readonly fetch: (peer: Address, path: string) => Promise<unknown>;
  /** Called when this instance has got a newer configuration. */
  readonly onNews: () => void;
}

export class PeerConfiguration {
  readonly #options: PeerConfigurationOptions;

  /** Whoever has the newest version that has been named and is not being fetched. */
  #next: ConfigurationHolder | undefined;

  #running: Promise<void> | undefined;

  constructor(options: PeerConfigurationOptions) {
    this.#options = options;
  }

  /**
   * Fetches the configuration of a peer if it is newer. One is fetched at a time.
   *
   * @param holder - The peer.
   * @returns Resolves once no version that was named is left to fetch, whether or not peers provided it.
   */
  async fetchNewer(holder: ConfigurationHolder): Promise<void> {
    if (!this.#isNewer(holder)) return;
    if (holder.configurationVersion >= (this.#next?.configurationVersion ?? -1))
      this.#next = holder;
    this.#running ??= this.#fetchAll();
    await this.#running;
  }

  #isNewer({ configurationVersion }: ConfigurationHolder): boolean {
    return configurationVersion > (this.#options.configuration.current?.version ?? -1);
  }

  async #fetchAll(): Promise<void> {
    try {
      while (this.#next) {
        const holder = this.#next;
        this.#next = undefined;
        if (this.#isNewer(holder)) await this.#fetch(holder);
      }
    } finally {
      // In the same turn as the last look, so that no version is named in between.
      this.#running = undefined;
    }
  }

  async #fetch({ instance, peers }: ConfigurationHolder): Promise<void> {
    const { configuration, parseConfiguration, fetch, onNews } = this.#options;
    const value = await fetch(peers, CONFIGURATION_PATH);
    if (value === undefined) return;
    parseConfiguration(value).ifRight((parsed) => {
      configuration.applyIfNewer(parsed, value, instance);
      onNews();
    });
  }
}
