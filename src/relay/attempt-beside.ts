/**
 * Makes further attempts of one streaming request beside an attempt that is suspected of having stalled: at
 * another chain, or through a peer while this instance reaches no backend server.
 */
import { getProcessKey, type ServerEntry } from '../fleet/server-entry.js';
import type { ChainSelector, EngineChain } from './chain-selector.js';
import type { EntryContext } from '../entry/entry-context.js';
import type { EntryRequest } from '../entry/entry-request.js';
import { decideOnSuspicion, type SuspicionDecision } from '../evidence/exchange-suspicion.js';
import type { PeerAnswer } from './peer-answer.js';
import type { StreamExchange } from './stream-exchange.js';
import type { StreamLimits } from './stream-limits.js';
import {
  startEngineReplacement,
  startPeerReplacement,
  type FailedReplacement,
  type StreamReplacement,
} from './stream-replacement.js';
import type { StreamRuns } from './stream-runs.js';

/** Options of {@link AttemptBeside}. */
export interface AttemptBesideOptions {
  readonly context: EntryContext;
  readonly request: EntryRequest;
  readonly chainSelector: ChainSelector;
  readonly exchange: StreamExchange;
  readonly runs: StreamRuns;
  readonly limits: StreamLimits;
  /** Chooses a chain and counts it as sent to. */
  readonly chooseChain: () => EngineChain | undefined;
  /** Passes the request on to a peer. */
  readonly passOn: (processKeys: readonly string[], signal: AbortSignal) => Promise<PeerAnswer>;
  /** Finds out whether an engine has ended under the request. */
  readonly checkForEnd: (engine: ServerEntry) => Promise<void>;
}

export class AttemptBeside {
  readonly #options: AttemptBesideOptions;

  constructor(options: AttemptBesideOptions) {
    this.#options = options;
  }

  /**
   * Decides on the suspicion that some engines of an open attempt have stalled.
   *
   * @param firstEngine - The first engine of that attempt.
   * @param suspectedEngineIds - The engines that are suspected.
   */
  decide(firstEngine: ServerEntry, suspectedEngineIds: readonly string[]): SuspicionDecision {
    const { context, request, chainSelector, limits } = this.#options;
    const { fleet, retryBudget, serverReach, peerRelay } = context;
    const processKey = getProcessKey(firstEngine);
    // One engine must not run the request twice at a time.
    const engineIdsToAvoid = [...suspectedEngineIds, firstEngine.id];
    return decideOnSuspicion({
      hasServerEnded: fleet.hasEnded(processKey),
      mayRunAgain: limits.allowsBeside(processKey),
      hasAlternative: () =>
        serverReach.isCut
          ? !request.relayed && peerRelay.hasPeer
          : chainSelector.avoidIfPossible(engineIdsToAvoid),
      acquireRetry: () => retryBudget.tryAcquire(request.service.name),
    });
  }

  /**
   * Starts another attempt.
   *
   * @param firstEngine - The first engine of the attempt that is open.
   * @returns The other attempt; undefined if there is none after all.
   */
  start(firstEngine: ServerEntry): StreamReplacement | undefined {
    return this.#options.context.serverReach.isCut
      ? this.#startAtPeer(getProcessKey(firstEngine))
      : this.#startAtEngine();
  }

  #startAtPeer(openProcessKey: string): StreamReplacement {
    const { runs, passOn } = this.#options;
    return startPeerReplacement(
      (signal) => passOn([...runs.processKeys, openProcessKey], signal),
      (peer) => runs.record(peer, false),
    );
  }

  #startAtEngine(): StreamReplacement | undefined {
    const { context, request, chainSelector, exchange, limits, chooseChain } = this.#options;
    const chain = chooseChain();
    const firstEngine = chain?.stages[0]?.engine.server;
    if (!chain || !firstEngine) return undefined;
    context
      .logs('routing')
      .info('Chain chosen beside a silent one.', chainSelector.describeForLog(chain));
    return startEngineReplacement({
      exchange,
      chain,
      firstEngine,
      release: chainSelector.reserve(chain),
      isAnswering: () => this.#isAnswering(firstEngine.entry),
      signal: request.signal,
      onCancelled: () => limits.recordCancelledBeside(firstEngine.entry),
      onFailed: (result) => this.#recordFailure(result, firstEngine.entry),
    });
  }

  async #isAnswering({ id }: ServerEntry): Promise<boolean> {
    const { stallDetector, outlierEjection } = this.#options.context;
    await stallDetector.checkEngine(id);
    return !outlierEjection.isEjected(id);
  }

  #recordFailure(result: FailedReplacement, firstEngine: ServerEntry): void {
    const { context, request, chainSelector, runs, limits, checkForEnd } = this.#options;
    if (result.kind === 'notRun') limits.recordRefusalBeside();
    else {
      runs.record(getProcessKey(firstEngine), false);
      void checkForEnd(firstEngine);
    }
    result.engineIdsToAvoid.forEach((id) => chainSelector.avoidedEngineIds.add(id));
    context.logs('routing').info('The attempt beside a silent one failed.', {
      requestId: request.metadata.requestId,
      first: firstEngine.id,
      after: result.kind,
      message: result.message,
      ...limits.counts,
    });
  }
}
