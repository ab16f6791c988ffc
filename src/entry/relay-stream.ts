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
import { AttemptBeside } from './attempt-beside.js';
import { CallerStream } from './caller-stream.js';
import { ChainSelector, type EngineChain } from './chain-selector.js';
import type { EntryContext } from './entry-context.js';
import type { EntryRequest } from './entry-request.js';
import type { PeerAnswer } from './peer-relay.js';
import type { EngineProfile } from './serving-configuration.js';
import { StreamAttempt, type StreamAttemptResult } from './stream-attempt.js';
import { StreamEnding } from './stream-ending.js';
import { StreamExchange, type AttemptResult } from './stream-exchange.js';
import { StreamLimits } from './stream-limits.js';
import { discard, type Begun, type BegunStream } from './stream-replacement.js';
import { StreamRuns } from './stream-runs.js';

const MAXIMUM_CHAIN_WAIT_MILLISECONDS = 1700;
const CHAIN_POLL_INTERVAL_MILLISECONDS = 60;
/** Callers come back to any instance, and others may reach the servers. */
const RETRY_AFTER_CUT_SECONDS = 0.2;

/** Relays one streaming request, from its first attempt to its outcome. */
class StreamRelay {
  readonly #context: EntryContext;

  readonly #request: EntryRequest;

  readonly #chainSelector: ChainSelector;

  readonly #caller: CallerStream;

  readonly #runs: StreamRuns;

  readonly #ending: StreamEnding;

  readonly #exchange: StreamExchange;

  readonly #limits: StreamLimits;

  readonly #beside: AttemptBeside;

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
    this.#limits = new StreamLimits({ request, runs: this.#runs, crashBlame: context.crashBlame });
    this.#beside = new AttemptBeside({
      context,
      request,
      chainSelector: this.#chainSelector,
      exchange: this.#exchange,
      runs: this.#runs,
      limits: this.#limits,
      chooseChain: () => this.#chooseChain(),
      passOn: (processKeys, signal) => this.#passOn(processKeys, signal),
      checkForEnd: (engine) => this.#checkForEnd(engine),
    });
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
      if (admission === 'try' && !this.#limits.isTrial) crashBlame.startTrial(content);
      this.#limits.isTrial = admission === 'try';
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
    const { retryBudget, logs, metrics } = this.#context;
    const { service, metadata } = this.#request;
    result.engineIdsToAvoid.forEach((id) => this.#chainSelector.avoidedEngineIds.add(id));
    if (result.kind === 'notRun') this.#limits.recordRefusal();
    else if (firstEngine) this.#runs.record(getProcessKey(firstEngine), true);
    // Whether the first engine still lives decides how many further engines may run the request.
    if (result.kind === 'broken' && firstEngine) await this.#checkForEnd(firstEngine);
    const isRetried = this.#limits.allowsRetry && retryBudget.tryAcquire(service.name);
    logs('routing').info(isRetried ? 'Retrying request.' : 'Request failed; not retrying.', {
      requestId: metadata.requestId,
      after: result.kind,
      message: result.message,
      engineIdsToAvoid: result.engineIdsToAvoid,
      first: firstEngine?.id,
      lastEventId: this.#caller.lastEventId,
      sharedPromptParts: metadata.sharedPromptParts,
      ...this.#limits.counts,
    });
    metrics.countEvent(isRetried ? 'retry' : 'given_up');
    if (isRetried) return undefined;
    return this.#ending.sendFailure('servers_refused');
  }

  async #checkForEnd(firstEngine: ServerEntry): Promise<void> {
    const { stallDetector, fleet } = this.#context;
    await stallDetector.checkEngine(firstEngine.id);
    const hasEnded = fleet.hasEnded(getProcessKey(firstEngine));
    if (hasEnded && !this.#exchange.wasWritten) this.#limits.recordEndAtBegin();
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
      decide: (suspectedEngineIds) => this.#beside.decide(firstEngine.entry, suspectedEngineIds),
      startReplacement: () => this.#beside.start(firstEngine.entry),
      tryTakeLateRetry: () => this.#limits.tryTakeLateRetry(),
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
