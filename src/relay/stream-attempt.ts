/**
 * One attempt of a streaming request: its exchange over a chain of engines. While engines are suspected of
 * having stalled, the stream is rerouted around them, or replaced by another attempt that runs beside it. It
 * stays open until that has begun to answer: whichever of the two answers first goes on.
 */
import { startPatientTimer } from '../common/patient-timer.js';
import type { FleetServer } from '../fleet/fleet-server.js';
import { recordAcceptance } from '../fleet/server-availability.js';
import type { CallerStream } from './caller-stream.js';
import { ChainPace } from './chain-pace.js';
import type { ChainSelector, EngineChain } from './chain-selector.js';
import type { EntryContext } from '../entry/entry-context.js';
import type { EntryRequest } from '../entry/entry-request.js';
import type { SuspicionDecision } from '../evidence/exchange-suspicion.js';
import type { WatchedStream } from '../evidence/stall-detector.js';
import { RecheckDelay } from './recheck-delay.js';
import type { AttemptResult, RelayedStream, StreamExchange } from './stream-exchange.js';
import {
  discard,
  type Begun,
  type BegunStream,
  type StreamReplacement,
} from './stream-replacement.js';
import { rerouteStream, type RerouteResult } from './stream-reroute.js';

/** Options of {@link StreamAttempt}. */
export interface StreamAttemptOptions {
  readonly context: EntryContext;
  readonly request: EntryRequest;
  readonly chainSelector: ChainSelector;
  readonly exchange: StreamExchange;
  readonly caller: CallerStream;
  readonly chain: EngineChain;
  /** The engine of the chain's first stage. */
  readonly firstEngine: FleetServer;
  /** The exchange, if it has begun as a replacement of an earlier attempt. */
  readonly begun?: BegunStream | undefined;
  /**
   * Decides on the suspicion that some engines have stalled; told whether another chain must stay inside a data centre
   * if the price of its crossing is too high.
   */
  readonly decide: (
    suspectedEngineIds: readonly string[],
    mustStayInside: boolean,
  ) => SuspicionDecision;
  /**
   * Starts another attempt, which avoids the suspected engines; undefined if there is none after all. It is told the
   * first suspected engine, unless nothing is suspected but a late first event.
   */
  readonly startReplacement: (
    suspectedEngineId: string | undefined,
  ) => StreamReplacement | undefined;
  /** Releases the chain's reservation. */
  readonly release: () => void;
  /** Takes the retry for a late first event; false if it has been taken. */
  readonly tryTakeLateRetry: () => boolean;
}

/**
 * Share of the route's target time after which a first event is late and another chain is tried.
 */
const FIRST_EVENT_TIMEOUT_SHARE = 0.7;
/** A replacement that has not begun after this long beside an open attempt is given up. */
const REPLACEMENT_TIMEOUT_MILLISECONDS = 2000;

/** A route without a target time has no timeout for the first event. */
function getFirstEventTimeout(targetMilliseconds: number): number {
  return targetMilliseconds > 0
    ? targetMilliseconds * FIRST_EVENT_TIMEOUT_SHARE
    : Number.POSITIVE_INFINITY;
}

function listServers({ stages }: EngineChain): FleetServer[] {
  return stages.map(({ engine }) => engine.server);
}

/** The result of an attempt, or what it was replaced by. */
export type StreamAttemptResult = AttemptResult | { readonly kind: 'replaced'; readonly by: Begun };

export class StreamAttempt implements WatchedStream, RelayedStream {
  chain: readonly FleetServer[];

  lastProgressAt = performance.now();

  isCallerBlocked = false;

  hasEvents = false;

  readonly firstEventTimeoutMilliseconds: number;

  readonly #options: StreamAttemptOptions;

  readonly #controller: AbortController;

  readonly #pace: ChainPace;

  #release: () => void;

  /** The chain that the stream was last sent over. */
  #engineChain: EngineChain;

  #replacement: StreamReplacement | undefined;

  #replacedBy: Begun | undefined;

  /** Set when the attempt is ended since its first engine has ended: what was suspected then. */
  #suspectedAtEnd: readonly string[] | undefined;

  #isRerouting = false;

  #hasEnded = false;

  readonly #recheckDelay = new RecheckDelay();

  readonly #suspectedEngineIds = new Set<string>();

  constructor(options: StreamAttemptOptions) {
    const { chain, request } = options;
    this.#options = options;
    this.#engineChain = chain;
    this.chain = listServers(chain);
    this.firstEventTimeoutMilliseconds = getFirstEventTimeout(request.route.targetMilliseconds);
    this.#controller = options.begun?.controller ?? new AbortController();
    this.#release = options.release;
    this.#pace = new ChainPace({
      serverPace: options.context.serverPace,
      chain,
      targetMilliseconds: request.route.targetMilliseconds,
      hasBegun: options.begun !== undefined,
    });
  }

  get requestId(): string {
    return this.#options.request.metadata.requestId;
  }

  /** The replacement that is under way, if the attempt failed before that has begun to answer. */
  get pendingReplacement(): StreamReplacement | undefined {
    return this.#replacement;
  }

  /** Sends the request over the chain, watching for stalls until the attempt ends. */
  async run(): Promise<StreamAttemptResult> {
    const { context, request } = this.#options;
    const abort = (): void => this.#controller.abort();
    request.signal.addEventListener('abort', abort, { once: true });
    context.stallDetector.add(this);
    try {
      const result = await this.#relay();
      if (this.#replacedBy) discard(this.#replacedBy);
      this.#pace.recordEnd(result);
      return result;
    } catch (error) {
      const result = this.#classifyError(error);
      this.#pace.recordEnd(result);
      return result;
    } finally {
      this.#hasEnded = true;
      this.#release();
      context.stallDetector.remove(this);
      request.signal.removeEventListener('abort', abort);
      this.#controller.abort();
    }
  }

  async #relay(): Promise<AttemptResult> {
    const { exchange, chain, firstEngine, begun } = this.#options;
    const opened =
      begun?.stream ?? (await exchange.open(chain, firstEngine, this.#controller.signal));
    return opened.kind === 'notRun' ? opened : exchange.relay(opened, firstEngine, this);
  }

  recordProgress(): void {
    this.lastProgressAt = performance.now();
    this.#replacement?.cancel();
    this.#replacement = undefined;
  }

  recordFirstEvent(): void {
    this.chain.forEach(recordAcceptance);
    this.#pace.recordFirstEvent(this.chain);
  }

  /** Tries another chain beside this one, since the first event is late. */
  retryElsewhere(): void {
    const { chain, tryTakeLateRetry } = this.#options;
    if (this.#isRerouting || this.#replacement || !tryTakeLateRetry()) return;
    this.#actOnSuspicion(
      chain.stages.map(({ engine }) => engine.id),
      undefined,
    );
  }

  /**
   * Reroutes the stream around engines that are suspected. Does nothing while a reroute or a
   * replacement is under way, or soon after one that was impossible.
   *
   * @param suspectedEngineIds - The engines; empty if the first engine didn't name one that is known.
   */
  routeAround(suspectedEngineIds: readonly string[]): void {
    if (this.#isRerouting || this.#replacement || this.#recheckDelay.isInEffect) return;
    this.#isRerouting = true;
    void this.#reroute(suspectedEngineIds).finally(() => {
      this.#isRerouting = false;
    });
  }

  async #reroute(suspectedEngineIds: readonly string[]): Promise<void> {
    const { context, chainSelector, caller } = this.#options;
    const suspectedAt = performance.now();
    suspectedEngineIds.forEach((id) => chainSelector.avoidedEngineIds.add(id));
    this.#recordStall(suspectedEngineIds[0]);
    const reroute = (isResumeImpossible: boolean): Promise<RerouteResult> =>
      rerouteStream(context, chainSelector, {
        requestId: this.requestId,
        chain: this.#engineChain,
        faultyEngineIds: suspectedEngineIds,
        hasStarted: caller.hasStarted,
        lastEventId: caller.lastEventId,
        isResumeImpossible,
      });
    const isSilent = (): boolean => !this.#hasEnded && this.lastProgressAt <= suspectedAt;
    let result = await reroute(false);
    if (result.kind === 'tooExpensive' && caller.hasStarted) {
      if (!isSilent()) return;
      const decision = this.#actOnSuspicion(suspectedEngineIds, suspectedEngineIds[0], true);
      if (decision !== 'wait') return;
      // It can't be resumed inside a data centre, and must not be given up because of the price.
      result = await reroute(true);
    }
    if (this.#hasEnded) return;
    if (result.kind === 'rerouted') this.#useChain(result);
    else if (isSilent()) this.#actOnSuspicion(suspectedEngineIds, suspectedEngineIds[0]);
  }

  #useChain({ chain, recordedTokens }: Extract<RerouteResult, { kind: 'rerouted' }>): void {
    this.#release();
    this.#release = this.#options.chainSelector.reserve(chain, recordedTokens);
    this.#engineChain = chain;
    this.chain = listServers(chain);
    this.lastProgressAt = performance.now();
    this.#recheckDelay.reset();
  }

  /**
   * @param mustStayInside - Whether another chain must stay inside a data centre if its price is too high.
   * @returns What was decided; undefined for a request that is over.
   */
  #actOnSuspicion(
    suspectedEngineIds: readonly string[],
    silentEngineId: string | undefined,
    mustStayInside = false,
  ): SuspicionDecision['kind'] | undefined {
    const { context, decide, caller, request } = this.#options;
    if (request.signal.aborted) return undefined;
    const decision = decide(suspectedEngineIds, mustStayInside);
    context.logs('routing').info('Decided on a silent exchange.', {
      requestId: this.requestId,
      decision: decision.kind,
      mustStayInside,
      lacking: decision.kind === 'wait' ? decision.lacking : undefined,
      suspectedEngineIds,
      silenceMilliseconds: Math.round(performance.now() - this.lastProgressAt),
      lastEventId: caller.lastEventId,
    });
    context.metrics.countEvent(
      decision.kind === 'wait' ? `silent_wait_${decision.lacking}` : `silent_${decision.kind}`,
    );
    if (decision.kind === 'end') {
      this.#suspectedAtEnd = suspectedEngineIds;
      this.#controller.abort();
    } else if (decision.kind === 'tryBeside') void this.#replace(silentEngineId);
    else this.#recheckDelay.extend();
    return decision.kind;
  }

  /** Starts another attempt beside this one, which ends once the other has begun to answer. */
  async #replace(silentEngineId: string | undefined): Promise<void> {
    const replacement = this.#options.startReplacement(silentEngineId);
    this.#replacement = replacement;
    // So that another one can be tried while this attempt is still open.
    const cancelTimer = startPatientTimer(REPLACEMENT_TIMEOUT_MILLISECONDS, () => {
      if (!this.#hasEnded) replacement?.cancel();
    });
    const begun = await replacement?.begun;
    cancelTimer();
    const isCancelled = this.#replacement !== replacement;
    if (isCancelled && begun) discard(begun);
    // Once this attempt has ended, whoever ran it takes the replacement.
    if (isCancelled || this.#hasEnded) return;
    this.#replacement = undefined;
    if (begun) {
      this.#replacedBy = begun;
      this.#controller.abort();
    } else this.#recheckDelay.extend();
  }

  #recordStall(engineId: string | undefined): void {
    if (engineId === undefined || this.#suspectedEngineIds.has(engineId)) return;
    this.#suspectedEngineIds.add(engineId);
    const engine = this.#options.context.fleet.find(engineId);
    if (engine) this.#options.exchange.recordStall(engine.entry);
  }

  #classifyError(error: unknown): StreamAttemptResult {
    const { exchange, firstEngine } = this.#options;
    if (this.#replacedBy) return { kind: 'replaced', by: this.#replacedBy };
    if (this.#suspectedAtEnd === undefined) return exchange.classifyError(firstEngine.entry, error);
    return {
      kind: 'broken',
      engineIdsToAvoid: this.#suspectedAtEnd,
      message: 'The first engine ended while the stream was silent.',
    };
  }
}
