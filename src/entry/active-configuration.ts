/** Holds the newest configuration that the instance has received, and how up to date it is. */
import type { Logger } from '../telemetry/log.js';
import { RouteTable, type ServingConfiguration } from './serving-configuration.js';

/** Options of {@link ActiveConfiguration}. */
export interface ActiveConfigurationOptions {
  readonly log: Logger;
  /** The time after its acknowledgement at which a configuration must be in force everywhere. */
  readonly changeBoundMilliseconds: number;
  readonly now?: () => number;
}

/** For the way of the store's answer to this process, which is not part of the evidence's age. */
const EVIDENCE_MARGIN_MILLISECONDS = 500;
/** Where the bound is short, evidence may have this share of it. */
const MINIMUM_EVIDENCE_SHARE = 0.5;

/**
 * Returns how old the evidence may be that the configuration is the newest one, for a request to be
 * denied by it.
 *
 * @param changeBoundMilliseconds - The time in which a change must be in force.
 * @returns Milliseconds, less than the bound.
 */
export function getEvidenceLimit(changeBoundMilliseconds: number): number {
  return Math.max(
    MINIMUM_EVIDENCE_SHARE * changeBoundMilliseconds,
    changeBoundMilliseconds - EVIDENCE_MARGIN_MILLISECONDS,
  );
}

/** The configuration by which an instance serves requests. It is never replaced by an older one. */
export class ActiveConfiguration {
  readonly #log: Logger;

  readonly #now: () => number;

  readonly #listeners: ((configuration: ServingConfiguration) => void)[] = [];

  #currentConfiguration: ServingConfiguration | undefined;

  #routes = new RouteTable([]);

  readonly #evidenceLimitMilliseconds: number;

  #upToDateAt = Number.NEGATIVE_INFINITY;

  #upToDateEvidence = 'none';

  /** The stored value that the current configuration was decoded from; peers fetch it. */
  storedValue: unknown;

  constructor(options: ActiveConfigurationOptions) {
    this.#log = options.log;
    this.#now = options.now ?? (() => performance.now());
    this.#evidenceLimitMilliseconds = getEvidenceLimit(options.changeBoundMilliseconds);
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
   * @param ageMilliseconds - How long ago the store said so at the latest.
   */
  markUpToDate(evidence: string, ageMilliseconds = 0): void {
    const confirmedAt = this.#now() - ageMilliseconds;
    if (confirmedAt < this.#upToDateAt) return;
    this.#upToDateAt = confirmedAt;
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

  /** Whether a request for a route or API key that the configuration lacks may be denied. */
  isFresh(): boolean {
    return this.ageMilliseconds() < this.#evidenceLimitMilliseconds;
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
