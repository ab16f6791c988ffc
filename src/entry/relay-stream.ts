/**
 * Serves a streaming request over a chain of engines. When an attempt fails, the stream resumes
 * over another chain after the last event that the caller received.
 */
import { sleep } from '../common/clock.js';
import { getErrorMessage } from '../common/http-client.js';
import { getHeldLayers, type FleetServer } from '../fleet/backend-fleet.js';
import { findExpectedRoom } from '../fleet/expected-room.js';
import { getProcessKey, type ServerEntry } from '../fleet/server-entry.js';
import { admitRequest } from './admission.js';
import { CallerStream } from './caller-stream.js';
import { ChainSelector, type EngineChain } from './chain-selector.js';
import type { EntryContext } from './entry-context.js';
import { isIdempotent, type EntryRequest } from './entry-request.js';
import type { PeerAnswer } from './peer-relay.js';
import type { EngineProfile } from './serving-configuration.js';
import type { WatchedStream } from './stall-detector.js';
import { StreamEnding } from './stream-ending.js';
import { StreamExchange, type AttemptResult } from './stream-exchange.js';
import { rerouteStream } from './stream-reroute.js';
import { StreamRuns } from './stream-runs.js';

const MAXIMUM_CHAIN_WAIT_MILLISECONDS = 1700;
const CHAIN_POLL_INTERVAL_MILLISECONDS = 60;
/** Limit on attempts that engines refuse; these do not count towards the route's maximum. */
const MAXIMUM_REFUSED_ATTEMPTS = 4;
/** Limit on attempts that may have run, whatever the route allows. */
const MAXIMUM_ATTEMPTS = 4;
/** Callers come back to any instance, and others may reach the servers. */
const RETRY_AFTER_CUT_SECONDS = 0.2;
/** A request under which so many engines ended as they began it is not sent to another one. */
const MAXIMUM_ENDS_AT_BEGIN = 2;
/**
 * Share of the route's target time after which a first event is late and another chain is tried.
 */
const FIRST_EVENT_TIMEOUT_SHARE = 0.7;
const MAXIMUM_LATE_RETRIES = 1;

/** A route without a target time has no timeout for the first event. */
function getFirstEventTimeout(targetMilliseconds: number): number {
  return targetMilliseconds > 0
    ? targetMilliseconds * FIRST_EVENT_TIMEOUT_SHARE
    : Number.POSITIVE_INFINITY;
}

/** Relays one streaming request, from its first attempt to its outcome. */
class StreamRelay {
  readonly #context: EntryContext;

  readonly #request: EntryRequest;

  readonly #chainSelector: ChainSelector;

  /** How often another chain was looked for because the first event was late. */
  #lateRetries = 0;

  readonly #caller: CallerStream;

  readonly #runs: StreamRuns;

  readonly #ending: StreamEnding;

  readonly #exchange: StreamExchange;

  #refusedAttempts = 0;

  /** Engines that ended as they began the request. */
  #endsAtBegin = 0;

  /** Whether the request is blocked, and runs to find out whether it should be. */
  #isTrial = false;

  /** Whether a retry of the budget has been taken for an attempt that is being abandoned. */
  #hasReservedRetry = false;

  constructor(context: EntryContext, request: EntryRequest, profile: EngineProfile) {
    this.#context = context;
    this.#request = request;
    this.#runs = new StreamRuns({
      maximumServers: request.route.maximumAttempts,
      hasEnded: (processKey) => context.fleet.hasEnded(processKey),
    });
    request.relayed?.processKeys.forEach((key) => this.#runs.record(key, true));
    this.#chainSelector = new ChainSelector(
      context,
      request,
      profile,
      (entry) => this.#runs.allows(getProcessKey(entry)) && context.serverLimits.hasRoom(entry.id),
    );
    this.#caller = new CallerStream(request);
    this.#ending = new StreamEnding({ context, request, caller: this.#caller, runs: this.#runs });
    this.#exchange = new StreamExchange({ context, request, caller: this.#caller });
  }

  async serve(): Promise<string> {
    const { crashBlame, retryBudget, serverReach } = this.#context;
    const { content, service, signal, relayed } = this.#request;
    const admission = admitRequest(this.#context, this.#request);
    if (admission === 'refuse') return this.#ending.refuseBlocked();
    if (!relayed) retryBudget.recordFirstAttempt(service.name);
    for (;;) {
      if (serverReach.isCut) return this.#serveWhileCut();
      const chain = await this.#findChain();
      if (signal.aborted) return this.#ending.sendTimeout();
      if (!chain) return serverReach.isCut ? this.#serveWhileCut() : this.#endWithoutChain();
      if (admission === 'try' && !this.#isTrial) crashBlame.startTrial(content);
      this.#isTrial = admission === 'try';
      const firstEngine = chain.stages[0]?.engine.server.entry;
      const result = await this.#attempt(chain);
      if (signal.aborted) return this.#ending.sendTimeout();
      if (result.kind === 'completed' || result.kind === 'answered')
        return this.#ending.complete(result.kind);
      const outcome = await this.#handleFault(result, firstEngine);
      if (outcome !== undefined) return outcome;
    }
  }

  /** Lets a peer serve the request, unless this instance is itself the peer of another one. */
  async #serveWhileCut(): Promise<string> {
    const { peerRelay } = this.#context;
    const answer: PeerAnswer = this.#request.relayed
      ? { kind: 'none' }
      : await peerRelay.relay(this.#request, {
          processKeys: this.#runs.processKeys,
          lastEventId: this.#caller.lastEventId,
        });
    if (this.#request.signal.aborted) return this.#ending.sendTimeout();
    if (answer.kind === 'none')
      return this.#ending.sendFailure('servers_unreachable', RETRY_AFTER_CUT_SECONDS);
    if (answer.kind === 'ended') return this.#ending.sendPeerResponse(answer.response);
    if (answer.kind === 'lost') return this.#ending.sendPeerLost();
    return this.#relayFromPeer(answer);
  }

  async #relayFromPeer({
    message,
    status,
  }: Extract<PeerAnswer, { kind: 'served' }>): Promise<string> {
    const { signal, metadata } = this.#request;
    try {
      const result = await this.#exchange.relayFromPeer(message, status);
      return this.#ending.complete(result.kind === 'answered' ? 'answered' : 'completed');
    } catch (error) {
      if (signal.aborted) return this.#ending.sendTimeout();
      this.#context.logs('routing').info('The answer of the peer broke off.', {
        requestId: metadata.requestId,
        lastEventId: this.#caller.lastEventId,
        message: getErrorMessage(error),
      });
      return this.#ending.sendPeerLost();
    }
  }

  /**
   * Decides on a retry after a failed attempt; returns the request's outcome when there is none.
   */
  async #handleFault(
    result: Extract<AttemptResult, { kind: 'notRun' | 'late' | 'broken' }>,
    firstEngine: ServerEntry | undefined,
  ): Promise<string | undefined> {
    const { crashBlame, logs, metrics } = this.#context;
    const { content, route, metadata } = this.#request;
    result.engineIdsToAvoid.forEach((id) => this.#chainSelector.avoidedEngineIds.add(id));
    if (result.kind === 'notRun') this.#refusedAttempts += 1;
    else if (firstEngine) this.#runs.record(getProcessKey(firstEngine), result.kind === 'broken');
    // Whether the first engine still lives decides how many further engines may run the request.
    if (result.kind === 'broken' && firstEngine) await this.#checkForEnd(firstEngine);
    const canRepeat = isIdempotent(route) || this.#runs.total === 0;
    const isContentAllowed =
      !crashBlame.isBlocked(content) || (this.#isTrial && this.#runs.total === 0);
    const isWithinLimits =
      this.#runs.total < MAXIMUM_ATTEMPTS && this.#refusedAttempts <= MAXIMUM_REFUSED_ATTEMPTS;
    const isHarmless = isContentAllowed && this.#endsAtBegin < MAXIMUM_ENDS_AT_BEGIN;
    const isRetried = canRepeat && isHarmless && isWithinLimits && this.#tryAcquireRetry();
    logs('routing').info(isRetried ? 'Retrying request.' : 'Request failed; not retrying.', {
      requestId: metadata.requestId,
      after: result.kind,
      message: result.message,
      engineIdsToAvoid: result.engineIdsToAvoid,
      first: firstEngine?.id,
      lastEventId: this.#caller.lastEventId,
      sharedPromptParts: metadata.sharedPromptParts,
      attempts: this.#runs.total,
      runs: this.#runs.countedServers,
      endedServers: this.#runs.endedProcessKeys,
      endsAtBegin: this.#endsAtBegin,
      refusedTries: this.#refusedAttempts,
    });
    metrics.countEvent(isRetried ? 'retry' : 'given_up');
    if (isRetried) return undefined;
    return this.#ending.sendFailure('servers_refused');
  }

  async #checkForEnd(firstEngine: ServerEntry): Promise<void> {
    const { stallDetector, fleet } = this.#context;
    await stallDetector.checkEngine(firstEngine.id);
    const hasEnded = fleet.hasEnded(getProcessKey(firstEngine));
    if (hasEnded && !this.#exchange.wasWritten) this.#endsAtBegin += 1;
  }

  /**
   * Whether an attempt without an event may be abandoned for another chain. Everything that a retry
   * needs is secured first, since a late answer is better than none.
   */
  #canRetryElsewhere(chosen: EngineChain): boolean {
    const { crashBlame, retryBudget } = this.#context;
    const { content, route, service } = this.#request;
    if (!isIdempotent(route) || crashBlame.isBlocked(content)) return false;
    if (this.#runs.total + 1 >= MAXIMUM_ATTEMPTS) return false;
    const firstEngine = chosen.stages[0]?.engine.server.entry;
    const engineIds = chosen.stages.map(({ engine }) => engine.id);
    if (!firstEngine || !this.#runs.allowsAnotherAfter(getProcessKey(firstEngine))) return false;
    if (!this.#chainSelector.avoidIfPossible(engineIds)) return false;
    this.#hasReservedRetry = retryBudget.tryAcquire(service.name);
    return this.#hasReservedRetry;
  }

  /** Uses the retry that was reserved before the attempt was abandoned, or one of the budget. */
  #tryAcquireRetry(): boolean {
    const { retryBudget } = this.#context;
    if (!this.#hasReservedRetry) return retryBudget.tryAcquire(this.#request.service.name);
    this.#hasReservedRetry = false;
    return true;
  }

  /** Finds a chain. A stream that has already started waits a limited time for one. */
  async #findChain(): Promise<EngineChain | undefined> {
    const until = performance.now() + MAXIMUM_CHAIN_WAIT_MILLISECONDS;
    for (;;) {
      const chain = this.#chainSelector.choose({ hasStarted: this.#caller.hasStarted });
      if (chain) {
        // Counted in the same step as it is chosen, so that no other request takes the same room.
        const [first] = chain.stages;
        if (first) this.#context.serverLimits.recordSend(first.engine.id);
        return chain;
      }
      if (!this.#caller.hasStarted || performance.now() > until) return undefined;
      if (this.#context.serverReach.isCut) return undefined;
      if (this.#request.signal.aborted) return undefined;
      await sleep(CHAIN_POLL_INTERVAL_MILLISECONDS, this.#request.signal);
    }
  }

  #endWithoutChain(): string {
    const { fleet, serverLimits } = this.#context;
    const servers = fleet
      .listForService(this.#request.service.name)
      .filter((server) => getHeldLayers(server)?.from === 0);
    const room = findExpectedRoom({ servers, serverLimits, now: performance.now() });
    return room
      ? this.#ending.sendFailure(room.code, room.seconds)
      : this.#ending.sendFailure('no_chain');
  }

  /** Sends the request over a chain, watching for stalls until the attempt ends. */
  async #attempt(chosen: EngineChain): Promise<AttemptResult> {
    const { stallDetector, logs } = this.#context;
    const { metadata, signal } = this.#request;
    const firstEngine = chosen.stages[0]?.engine.server;
    if (!firstEngine)
      return { kind: 'notRun', engineIdsToAvoid: [], message: 'The chosen chain has no stages.' };
    logs('routing').info('Chain chosen.', this.#chainSelector.describeForLog(chosen));
    const attempt = new AbortController();
    const abort = (): void => attempt.abort();
    signal.addEventListener('abort', abort, { once: true });
    let release = this.#chainSelector.reserve(chosen);
    let engineIdsToAvoid: readonly string[] | undefined;
    let isRerouting = false;
    let isEnded = false;
    const listServers = (chain: EngineChain): FleetServer[] =>
      chain.stages.map(({ engine }) => engine.server);
    const watched: WatchedStream = {
      requestId: metadata.requestId,
      chain: listServers(chosen),
      lastProgressAt: performance.now(),
      isCallerBlocked: false,
      hasEvents: false,
      firstEventTimeoutMilliseconds: getFirstEventTimeout(this.#request.route.targetMilliseconds),
      retryElsewhere: () => {
        if (isRerouting || this.#lateRetries >= MAXIMUM_LATE_RETRIES) return;
        this.#lateRetries += 1;
        if (!this.#canRetryElsewhere(chosen)) return;
        engineIdsToAvoid = chosen.stages.map(({ engine }) => engine.id);
        attempt.abort();
      },
      routeAround: (faultyEngineIds) => {
        if (isRerouting) return;
        isRerouting = true;
        faultyEngineIds.forEach((id) => this.#chainSelector.avoidedEngineIds.add(id));
        const faultyEngine = this.#context.fleet.find(faultyEngineIds[0] ?? '');
        if (faultyEngine) this.#exchange.recordStall(faultyEngine.entry);
        void rerouteStream(this.#context, this.#chainSelector, {
          requestId: metadata.requestId,
          chain: chosen,
          faultyEngineIds,
          hasStarted: this.#caller.hasStarted,
          lastEventId: this.#caller.lastEventId,
        }).then((chain) => {
          isRerouting = false;
          if (isEnded) return;
          if (!chain) {
            engineIdsToAvoid = faultyEngineIds;
            attempt.abort();
            return;
          }
          release();
          release = this.#chainSelector.reserve(chain);
          watched.chain = listServers(chain);
          watched.lastProgressAt = performance.now();
        });
      },
    };
    stallDetector.add(watched);
    const { entry } = firstEngine;
    try {
      return await this.#exchange.relay(chosen, firstEngine, watched, attempt.signal);
    } catch (error) {
      if (engineIdsToAvoid && !watched.hasEvents) {
        return {
          kind: 'late',
          engineIdsToAvoid,
          message: 'No event arrived before the attempt was abandoned.',
        };
      }
      if (engineIdsToAvoid)
        return {
          kind: 'broken',
          engineIdsToAvoid,
          message: 'The stream stalled and could not be rerouted.',
        };
      return this.#exchange.classifyError(entry, error);
    } finally {
      isEnded = true;
      release();
      stallDetector.remove(watched);
      signal.removeEventListener('abort', abort);
      attempt.abort();
    }
  }
}

/**
 * Serves a streaming request until it has an outcome.
 *
 * @param context - What the instance shares between requests.
 * @param request - The request, which the response is written to as well.
 * @param profile - The timing and memory of the service's engines.
 * @returns The outcome, as counted in the metrics.
 */
export function relayStream(
  context: EntryContext,
  request: EntryRequest,
  profile: EngineProfile,
): Promise<string> {
  return new StreamRelay(context, request, profile).serve();
}
