/** The configuration in force: never an older one than before, and how fresh it is. */
import type { Logger } from '../telemetry/log.js';
import { RouteTable, type ServingConfiguration } from './serving-configuration.js';

/** Options of {@link ActiveConfiguration}. */
export interface ActiveConfigurationOptions {
  readonly log: Logger;
  readonly now?: () => number;
}

/** Older than this, the configuration is not relied on to say that something doesn't exist. */
const FRESHNESS_LIMIT_MILLISECONDS = 6000;

export class ActiveConfiguration {
  readonly #log: Logger;

  readonly #now: () => number;

  readonly #listeners: ((configuration: ServingConfiguration) => void)[] = [];

  #currentConfiguration: ServingConfiguration | undefined;

  #routes = new RouteTable([]);

  #upToDateAt = Number.NEGATIVE_INFINITY;

  /** The stored value that the current configuration was decoded from, for peers. */
  storedValue: unknown;

  constructor(options: ActiveConfigurationOptions) {
    this.#log = options.log;
    this.#now = options.now ?? (() => performance.now());
  }

  get current(): ServingConfiguration | undefined {
    return this.#currentConfiguration;
  }

  get routes(): RouteTable {
    return this.#routes;
  }

  /** Calls a listener for each configuration that comes into force. */
  onChange(listener: (configuration: ServingConfiguration) => void): void {
    this.#listeners.push(listener);
    if (this.#currentConfiguration) listener(this.#currentConfiguration);
  }

  /** Notes that the store, or a peer in touch with it, knows no newer version. */
  markUpToDate(): void {
    this.#upToDateAt = this.#now();
  }

  /** Milliseconds since the configuration was last known to be the newest. */
  ageMilliseconds(): number {
    return this.#now() - this.#upToDateAt;
  }

  /** Whether the configuration may be relied on to say that something doesn't exist. */
  isFresh(): boolean {
    return this.ageMilliseconds() < FRESHNESS_LIMIT_MILLISECONDS;
  }

  /**
   * Puts a configuration into force, unless a newer or the same one is.
   *
   * @param configuration - The configuration.
   * @param source - The stored value that it was decoded from.
   * @param origin - Where it came from, for the log.
   */
  applyIfNewer(configuration: ServingConfiguration, source: unknown, origin: string): void {
    const version = this.#currentConfiguration?.version ?? -1;
    if (configuration.version <= version) return;
    this.#currentConfiguration = configuration;
    this.#routes = new RouteTable(configuration.routes);
    this.storedValue = source;
    this.#log.info('Configuration in force.', {
      version: configuration.version,
      before: version,
      routes: configuration.routes.length,
      origin,
    });
    this.#listeners.forEach((listener) => listener(configuration));
  }
}
