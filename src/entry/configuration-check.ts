/**
 * Confirms on demand that an instance has the newest configuration, before a request is denied for a
 * route or API key that the configuration lacks. Handles storms of unknown keys, and a store that is
 * slow or away: requests that arrive during a check share it, its result holds for as long as the
 * evidence is young enough, and after a check without a result the next one waits a moment.
 */
import { sleep } from '../common/clock.js';
import type { Logger } from '../telemetry/log.js';
import type { ActiveConfiguration } from './active-configuration.js';

/** Asks one source; applies what is newer there, and notes what shows that nothing is. Never rejects. */
export type ConfigurationSource = () => Promise<void>;

/** Options of {@link ConfigurationCheck}. */
export interface ConfigurationCheckOptions {
  readonly configuration: ActiveConfiguration;
  /** Returns the sources in the order in which they are asked, until one of them settles it. */
  readonly sources: () => readonly ConfigurationSource[];
  readonly log: Logger;
  readonly now?: () => number;
}

/** Callers do not wait longer for a denial. */
const CHECK_TIMEOUT_MILLISECONDS = 500;
const PAUSE_AFTER_FAILURE_MILLISECONDS = 300;

export class ConfigurationCheck {
  readonly #options: ConfigurationCheckOptions;

  readonly #now: () => number;

  #running: Promise<void> | undefined;

  #failedAt = Number.NEGATIVE_INFINITY;

  constructor(options: ConfigurationCheckOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /**
   * Makes sure that the configuration is confirmed to be the newest one; it may be replaced meanwhile.
   *
   * @returns Whether a request may be denied by it now. Resolves within 500 ms.
   */
  async confirm(): Promise<boolean> {
    const { configuration } = this.#options;
    if (configuration.isFresh()) return true;
    if (this.#now() - this.#failedAt < PAUSE_AFTER_FAILURE_MILLISECONDS) return false;
    this.#running ??= this.#askSources().finally(() => {
      this.#running = undefined;
    });
    await Promise.race([this.#running, sleep(CHECK_TIMEOUT_MILLISECONDS)]);
    if (configuration.isFresh()) return true;
    this.#failedAt = this.#now();
    return false;
  }

  async #askSources(): Promise<void> {
    const { configuration, sources, log } = this.#options;
    const startedAt = this.#now();
    const ageMilliseconds = configuration.ageMilliseconds();
    for (const ask of sources()) {
      await ask();
      if (configuration.isFresh()) break;
    }
    log.info('Configuration checked before a denial.', {
      version: configuration.current?.version,
      isConfirmed: configuration.isFresh(),
      evidence: configuration.upToDateEvidence,
      ageBeforeMilliseconds: Number.isFinite(ageMilliseconds)
        ? Math.round(ageMilliseconds)
        : undefined,
      tookMilliseconds: Math.round(this.#now() - startedAt),
    });
  }
}
