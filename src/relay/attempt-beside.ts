/**
 * Makes further attempts of one streaming request beside an attempt that is suspected of having stalled: at
 * another chain, or through a peer while this instance reaches no backend server.
 */
import { sleep } from '../common/clock.js';
import { getProcessKey, type ServerEntry } from '../fleet/server-entry.js';
import type { CallerStream } from './caller-stream.js';
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
  type ReplacementCheck,
  type StreamReplacement,
} from './stream-replacement.js';
import type { StreamRuns } from './stream-runs.js';

/** Options of {@link AttemptBeside}. */
export interface AttemptBesideOptions {
  readonly context: EntryContext;
  readonly request: EntryRequest;
  readonly caller: Pick<CallerStream, 'hasStarted'>;
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

/** How long the open attempt's engine may answer after the other one: an engine that answers does so in a few ms. */
const OPEN_ANSWER_MILLISECONDS = 60;

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
   * @param mustStayInside - Whether another chain must stay inside a data centre if the price of its crossing is too high.
   */
  decide(
    firstEngine: ServerEntry,
    suspectedEngineIds: readonly string[],
    mustStayInside: boolean,
  ): SuspicionDecision {
    const { context, request, caller, chainSelector, limits } = this.#options;
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
          : chainSelector.avoidIfPossible(engineIdsToAvoid, caller.hasStarted, mustStayInside),
      acquireRetry: () => retryBudget.tryAcquire(request.service.name),
    });
  }

  /**
   * Starts another attempt.
   *
   * @param firstEngine - The first engine of the attempt that is open.
   * @param suspectedEngineId - The engine that is suspected first; undefined if nothing is but a late first event.
   * @returns The other attempt; undefined if there is none after all.
   */
  start(
    firstEngine: ServerEntry,
    suspectedEngineId: string | undefined,
  ): StreamReplacement | undefined {
    if (this.#options.context.serverReach.isCut)
      return this.#startAtPeer(getProcessKey(firstEngine));
    // That a later engine is suspected isn't refuted by the first one's answer.
    return this.#startAtEngine(suspectedEngineId === firstEngine.id ? firstEngine : undefined);
  }

  #startAtPeer(openProcessKey: string): StreamReplacement {
    const { runs, passOn } = this.#options;
    return startPeerReplacement(
      (signal) => passOn([...runs.processKeys, openProcessKey], signal),
      (peer) => runs.record(peer, false),
    );
  }

  /** @param silent - The first engine of the open attempt, if it is the one that is suspected. */
  #startAtEngine(silent: ServerEntry | undefined): StreamReplacement | undefined {
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
      check: () => this.#check(firstEngine.entry, silent),
      signal: request.signal,
      onCancelled: () => limits.recordCancelledBeside(firstEngine.entry),
      onFailed: (result) => this.#recordFailure(result, firstEngine.entry),
    });
  }

  /** Asks the first engine of the other attempt, and beside it that of the open one: both may go on together. */
  async #check({ id }: ServerEntry, silent: ServerEntry | undefined): Promise<ReplacementCheck> {
    const { context, request } = this.#options;
    const { stallDetector, outlierEjection } = context;
    const isOpenServing = silent
      ? stallDetector.isServing(silent.id, request.metadata.requestId)
      : Promise.resolve(false);
    await stallDetector.checkEngine(id);
    if (outlierEjection.isEjected(id)) return 'silent';
    const isServing = await Promise.race([isOpenServing, sleep(OPEN_ANSWER_MILLISECONDS)]);
    return isServing === true ? 'openOneAnswers' : 'useful';
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
