/** Holds the newest configuration that the instance has received, and how up to date it is. */
import type { Logger } from '../telemetry/log.js';
import { RouteTable, type ServingConfiguration } from './serving-configuration.js';

/** Options of {@link ActiveConfiguration}. */
export interface ActiveConfigurationOptions {
  readonly log: Logger;
  readonly now?: () => number;
}

/**
 * A route or API key that the configuration lacks is only reported as unknown while the
 * configuration was confirmed to be the newest within this time. A peer that confirms it may itself
 * have heard from the store 5 s ago; together that is below the 10 s in which a change is in force.
 */
const FRESHNESS_LIMIT_MILLISECONDS = 4500;

/** The configuration by which an instance serves requests. It is never replaced by an older one. */
export class ActiveConfiguration {
  readonly #log: Logger;

  readonly #now: () => number;

  readonly #listeners: ((configuration: ServingConfiguration) => void)[] = [];

  #currentConfiguration: ServingConfiguration | undefined;

  #routes = new RouteTable([]);

  #upToDateAt = Number.NEGATIVE_INFINITY;

  #upToDateEvidence = 'none';

  /** The stored value that the current configuration was decoded from; peers fetch it. */
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

  /** Calls the listener with the current configuration, if any, and with each later one. */
  onChange(listener: (configuration: ServingConfiguration) => void): void {
    this.#listeners.push(listener);
    if (this.#currentConfiguration) listener(this.#currentConfiguration);
  }

  /**
   * Records that the store, or a peer that can reach it, has no newer version.
   *
   * @param evidence - What shows it: `store answer` or the name of the peer.
   */
  markUpToDate(evidence: string): void {
    this.#upToDateAt = this.#now();
    this.#upToDateEvidence = evidence;
  }

  /** What last showed that the configuration is the newest, for the log. */
  get upToDateEvidence(): string {
    return this.#upToDateEvidence;
  }

  /**
   * Milliseconds since the configuration was last known to be the newest; infinite if it never was.
   */
  ageMilliseconds(): number {
    return this.#now() - this.#upToDateAt;
  }

  /** Whether a route or API key that the configuration lacks can be reported as unknown. */
  isFresh(): boolean {
    return this.ageMilliseconds() < FRESHNESS_LIMIT_MILLISECONDS;
  }

  /**
   * Makes a configuration the current one, unless its version is the same or older.
   *
   * @param storedValue - The stored value that the configuration was decoded from.
   * @param origin - `store` or the name of the peer that it came from, for the log.
   */
  applyIfNewer(configuration: ServingConfiguration, storedValue: unknown, origin: string): void {
    const previousVersion = this.#currentConfiguration?.version ?? -1;
    if (configuration.version <= previousVersion) return;
    this.#currentConfiguration = configuration;
    this.#routes = new RouteTable(configuration.routes);
    this.storedValue = storedValue;
    this.#log.info('Configuration activated.', {
      version: configuration.version,
      before: previousVersion,
      routes: configuration.routes.length,
      origin,
    });
    this.#listeners.forEach((listener) => listener(configuration));
  }
}
