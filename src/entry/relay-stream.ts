/**
 * Serves a streaming request over a chain of engines. When an attempt fails, the stream resumes
 * over another chain after the last event that the caller received.
 */
import { sleep } from '../common/clock.js';
import { getErrorMessage } from '../common/http-client.js';
import { getHeldLayers } from '../fleet/backend-fleet.js';
import { findExpectedRoom } from '../fleet/expected-room.js';
import { getProcessKey, type ServerEntry } from '../fleet/server-entry.js';
import { admitRequest } from './admission.js';
import { CallerStream } from './caller-stream.js';
import { ChainSelector, type EngineChain } from './chain-selector.js';
import type { EntryContext } from './entry-context.js';
import { isIdempotent, type EntryRequest } from './entry-request.js';
import type { PeerAnswer } from './peer-relay.js';
import type { EngineProfile } from './serving-configuration.js';
import { decideOnSuspicion, type SuspicionDecision } from './exchange-suspicion.js';
import { StreamAttempt, type StreamAttemptResult } from './stream-attempt.js';
import { StreamEnding } from './stream-ending.js';
import { StreamExchange, type AttemptResult } from './stream-exchange.js';
import {
  discard,
  startEngineReplacement,
  startPeerReplacement,
  type Begun,
  type BegunStream,
  type FailedReplacement,
  type StreamReplacement,
} from './stream-replacement.js';
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
const MAXIMUM_LATE_RETRIES = 1;

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

  /** Attempts beside a silent one that engines refused; they take nothing from the limit on the others. */
  #refusedReplacements = 0;

  /** Attempts beside a silent one that were cancelled since it went on. */
  #cancelledRuns = 0;

  /** Engines that ended as they began the request. */
  #endsAtBegin = 0;

  /** Whether the request is blocked, and runs to find out whether it should be. */
  #isTrial = false;

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
    let begun: BegunStream | undefined;
    for (;;) {
      if (!begun && serverReach.isCut) return this.#serveWhileCut();
      const chain = begun?.chain ?? (await this.#findChain());
      if (signal.aborted) return this.#endAborted(begun);
      if (!chain) return serverReach.isCut ? this.#serveWhileCut() : this.#endWithoutChain();
      if (admission === 'try' && !this.#isTrial) crashBlame.startTrial(content);
      this.#isTrial = admission === 'try';
      const result = await this.#attempt(chain, begun);
      if (signal.aborted)
        return this.#endAborted(result.kind === 'replaced' ? result.by : undefined);
      if (result.kind === 'completed' || result.kind === 'answered')
        return this.#ending.complete(result.kind);
      const successor = result.kind === 'replaced' ? result.by : undefined;
      if (successor?.kind === 'peer') return this.#relayFromPeer(successor.answer);
      begun = successor;
      const firstEngine = chain.stages[0]?.engine.server.entry;
      const outcome =
        result.kind === 'replaced' ? undefined : await this.#handleFault(result, firstEngine);
      if (outcome !== undefined) return outcome;
    }
  }

  /** Attempts that may have run and were not cancelled for the sake of another one. */
  get #countedAttempts(): number {
    return this.#runs.total - this.#cancelledRuns;
  }

  #endAborted(begun: Begun | undefined): string {
    if (begun) discard(begun);
    return this.#ending.sendTimeout();
  }

  /** Lets a peer serve the request, unless this instance is itself the peer of another one. */
  async #serveWhileCut(): Promise<string> {
    const answer: PeerAnswer = this.#request.relayed
      ? { kind: 'none' }
      : await this.#passOn(this.#runs.processKeys);
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
    result: Extract<AttemptResult, { kind: 'notRun' | 'broken' }>,
    firstEngine: ServerEntry | undefined,
  ): Promise<string | undefined> {
    const { crashBlame, retryBudget, logs, metrics } = this.#context;
    const { content, route, service, metadata } = this.#request;
    result.engineIdsToAvoid.forEach((id) => this.#chainSelector.avoidedEngineIds.add(id));
    if (result.kind === 'notRun') this.#refusedAttempts += 1;
    else if (firstEngine) this.#runs.record(getProcessKey(firstEngine), true);
    // Whether the first engine still lives decides how many further engines may run the request.
    if (result.kind === 'broken' && firstEngine) await this.#checkForEnd(firstEngine);
    const canRepeat = isIdempotent(route) || this.#runs.total === 0;
    const isContentAllowed =
      !crashBlame.isBlocked(content) || (this.#isTrial && this.#runs.total === 0);
    const isWithinLimits =
      this.#countedAttempts < MAXIMUM_ATTEMPTS && this.#refusedAttempts <= MAXIMUM_REFUSED_ATTEMPTS;
    const isHarmless = isContentAllowed && this.#endsAtBegin < MAXIMUM_ENDS_AT_BEGIN;
    const isRetried =
      canRepeat && isHarmless && isWithinLimits && retryBudget.tryAcquire(service.name);
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

  /** Decides on the suspicion that some engines of a running attempt have stalled. */
  #decideOnSuspicion(
    firstEngine: ServerEntry,
    suspectedEngineIds: readonly string[],
  ): SuspicionDecision {
    const { fleet, retryBudget, serverReach } = this.#context;
    const processKey = getProcessKey(firstEngine);
    // One engine must not run the request twice at a time.
    const engineIdsToAvoid = [...suspectedEngineIds, firstEngine.id];
    return decideOnSuspicion({
      hasServerEnded: fleet.hasEnded(processKey),
      mayRunAgain: this.#mayRunAgainAfter(processKey),
      hasAlternative: () =>
        serverReach.isCut
          ? this.#canPassOn()
          : this.#chainSelector.avoidIfPossible(engineIdsToAvoid),
      acquireRetry: () => retryBudget.tryAcquire(this.#request.service.name),
    });
  }

  /**
   * Starts another attempt beside the one that runs.
   *
   * @param processKey - The process of the first engine of that one.
   */
  #startReplacement(processKey: string): StreamReplacement | undefined {
    if (this.#context.serverReach.isCut)
      return startPeerReplacement(
        (signal) => this.#passOn([...this.#runs.processKeys, processKey], signal),
        (peer) => this.#runs.record(peer, false),
      );
    const chain = this.#chooseChain();
    const firstEngine = chain?.stages[0]?.engine.server;
    if (!chain || !firstEngine) return undefined;
    this.#context
      .logs('routing')
      .info('Chain chosen beside a silent one.', this.#chainSelector.describeForLog(chain));
    return startEngineReplacement({
      exchange: this.#exchange,
      chain,
      firstEngine,
      release: this.#chainSelector.reserve(chain),
      isAnswering: () => this.#isAnswering(firstEngine.entry),
      signal: this.#request.signal,
      onCancelled: () => {
        this.#cancelledRuns += 1;
        this.#runs.record(getProcessKey(firstEngine.entry), false);
      },
      onFailed: (result) => this.#recordFailedReplacement(result, firstEngine.entry),
    });
  }

  async #isAnswering({ id }: ServerEntry): Promise<boolean> {
    const { stallDetector, outlierEjection } = this.#context;
    await stallDetector.checkEngine(id);
    return !outlierEjection.isEjected(id);
  }

  #recordFailedReplacement(result: FailedReplacement, firstEngine: ServerEntry): void {
    const { logs } = this.#context;
    if (result.kind === 'notRun') this.#refusedReplacements += 1;
    else {
      this.#runs.record(getProcessKey(firstEngine), false);
      void this.#checkForEnd(firstEngine);
    }
    result.engineIdsToAvoid.forEach((id) => this.#chainSelector.avoidedEngineIds.add(id));
    logs('routing').info('The attempt beside a silent one failed.', {
      requestId: this.#request.metadata.requestId,
      first: firstEngine.id,
      after: result.kind,
      message: result.message,
      runs: this.#runs.countedServers,
      refusedTries: this.#refusedReplacements,
    });
  }

  /** Whether the request may be run once more after an attempt that is under way. */
  #mayRunAgainAfter(processKey: string): boolean {
    const { crashBlame } = this.#context;
    const { content, route } = this.#request;
    return (
      isIdempotent(route) &&
      !crashBlame.isBlocked(content) &&
      this.#countedAttempts + 1 < MAXIMUM_ATTEMPTS &&
      this.#refusedReplacements <= MAXIMUM_REFUSED_ATTEMPTS &&
      this.#endsAtBegin < MAXIMUM_ENDS_AT_BEGIN &&
      this.#runs.allowsAnotherAfter(processKey)
    );
  }

  /** @param processKeys - Processes of servers that may have run the request. */
  #passOn(
    processKeys: readonly string[],
    signal: AbortSignal = this.#request.signal,
  ): Promise<PeerAnswer> {
    const request = { ...this.#request, signal: AbortSignal.any([this.#request.signal, signal]) };
    return this.#context.peerRelay.relay(request, {
      processKeys,
      lastEventId: this.#caller.lastEventId,
    });
  }

  /** Whether a peer can take the request from an instance that reaches no server. */
  #canPassOn(): boolean {
    return !this.#request.relayed && this.#context.peerRelay.hasPeer;
  }

  #tryCountLateRetry(): boolean {
    if (this.#lateRetries >= MAXIMUM_LATE_RETRIES) return false;
    this.#lateRetries += 1;
    return true;
  }

  /** Finds a chain. A stream that has already started waits a limited time for one. */
  async #findChain(): Promise<EngineChain | undefined> {
    const until = performance.now() + MAXIMUM_CHAIN_WAIT_MILLISECONDS;
    for (;;) {
      const chain = this.#chooseChain();
      if (chain) return chain;
      if (!this.#caller.hasStarted || performance.now() > until) return undefined;
      if (this.#context.serverReach.isCut) return undefined;
      if (this.#request.signal.aborted) return undefined;
      await sleep(CHAIN_POLL_INTERVAL_MILLISECONDS, this.#request.signal);
    }
  }

  #chooseChain(): EngineChain | undefined {
    const chain = this.#chainSelector.choose({ hasStarted: this.#caller.hasStarted });
    // Counted in the same step as it is chosen, so that no other request takes the same room.
    const [first] = chain?.stages ?? [];
    if (first) this.#context.serverLimits.recordSend(first.engine.id);
    return chain;
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

  /** Sends the request over a chain, unless that has begun already as a replacement. */
  async #attempt(chain: EngineChain, begun: BegunStream | undefined): Promise<StreamAttemptResult> {
    const firstEngine = chain.stages[0]?.engine.server;
    if (!firstEngine)
      return { kind: 'notRun', engineIdsToAvoid: [], message: 'The chosen chain has no stages.' };
    const { logs } = this.#context;
    if (!begun) logs('routing').info('Chain chosen.', this.#chainSelector.describeForLog(chain));
    const attempt = new StreamAttempt({
      context: this.#context,
      request: this.#request,
      chainSelector: this.#chainSelector,
      exchange: this.#exchange,
      caller: this.#caller,
      chain,
      firstEngine,
      begun,
      decide: (suspectedEngineIds) =>
        this.#decideOnSuspicion(firstEngine.entry, suspectedEngineIds),
      startReplacement: () => this.#startReplacement(getProcessKey(firstEngine.entry)),
      mayRetryLate: () => this.#tryCountLateRetry(),
    });
    const result = await attempt.run();
    const successor = await this.#takeSuccessor(attempt, result);
    if (!successor) return result;
    if (result.kind !== 'notRun')
      this.#runs.record(getProcessKey(firstEngine.entry), attempt.hasEvents);
    if (result.kind === 'broken') void this.#checkForEnd(firstEngine.entry);
    return { kind: 'replaced', by: successor };
  }

  /** Returns what the stream goes on with, if its attempt was replaced, or failed before it was. */
  async #takeSuccessor(
    { pendingReplacement }: StreamAttempt,
    result: StreamAttemptResult,
  ): Promise<Begun | undefined> {
    if (result.kind === 'replaced') return result.by;
    if (!pendingReplacement) return undefined;
    const hasFailed = result.kind === 'broken' || result.kind === 'notRun';
    const isNeeded = hasFailed && !this.#request.signal.aborted;
    if (isNeeded) return pendingReplacement.begun;
    pendingReplacement.cancel();
    void pendingReplacement.begun.then((begun) => begun && discard(begun));
    return undefined;
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
