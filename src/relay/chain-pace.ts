/** Records how an attempt of a stream went in the slow-start windows of its engines. */
import type { FleetServer } from '../fleet/fleet-server.js';
import type { ServerPace } from '../fleet/server-pace.js';
import type { EngineChain } from './chain-selector.js';

/** Options of {@link ChainPace}. */
export interface ChainPaceOptions {
  readonly serverPace: Pick<ServerPace, 'recordAnswer' | 'recordFailure'>;
  readonly chain: Pick<EngineChain, 'stages'>;
  /** The route's target for the first event; 0 for none. */
  readonly targetMilliseconds: number;
  /** Whether the exchange began as a replacement of an earlier attempt, so that its start isn't known here. */
  readonly hasBegun: boolean;
  readonly now?: () => number;
}

/** How an attempt ended, and the engines that caused it. */
export interface EndedAttempt {
  readonly kind: string;
  readonly engineIdsToAvoid?: readonly string[];
}

export class ChainPace {
  readonly #options: ChainPaceOptions;

  readonly #startedAt: number;

  #hasAnswered = false;

  constructor(options: ChainPaceOptions) {
    this.#options = options;
    this.#startedAt = (options.now ?? (() => performance.now()))();
  }

  /** Records the first event of the attempt, for the engines that it has passed. */
  recordFirstEvent(engines: readonly FleetServer[]): void {
    this.#hasAnswered = true;
    this.#recordAnswer(engines);
  }

  /** Records the end of the attempt. */
  recordEnd({ kind, engineIdsToAvoid = [] }: EndedAttempt): void {
    const { serverPace, chain } = this.#options;
    const engines = chain.stages.map(({ engine }) => engine.server);
    // The attempt was replaced because its first event was late.
    if (kind === 'replaced' && !this.#hasAnswered) this.#recordAnswer(engines);
    if (kind !== 'notRun' && kind !== 'broken') return;
    const reason = kind === 'notRun' ? 'refused' : 'failed';
    engines
      .filter(({ entry }) => engineIdsToAvoid.includes(entry.id))
      .forEach((engine) => serverPace.recordFailure(engine, this.#startedAt, reason));
  }

  #recordAnswer(servers: readonly FleetServer[]): void {
    const { serverPace, targetMilliseconds, hasBegun } = this.#options;
    if (hasBegun) return;
    const hasAnswered = this.#hasAnswered;
    serverPace.recordAnswer({ servers, sentAt: this.#startedAt, targetMilliseconds, hasAnswered });
  }
}
