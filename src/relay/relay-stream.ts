/**
 * Serves a streaming request over a chain of engines. When an attempt fails, the stream resumes
 * over another chain after the last event that the caller received.
 */
import { getProcessKey, type ServerEntry } from '../fleet/server-entry.js';
import { admitRequest } from '../entry/admission.js';
import { AttemptBeside } from './attempt-beside.js';
import { CallerStream } from './caller-stream.js';
import { ChainSelector } from './chain-selector.js';
import { decideOnEndedRun, type EndedRunDecision } from './ended-run.js';
import { EndsAtBegin } from './ends-at-begin.js';
import type { EntryContext } from '../entry/entry-context.js';
import type { EntryRequest } from '../entry/entry-request.js';
import type { EngineProfile } from '../entry/serving-configuration.js';
import { StreamAtPeer } from './stream-at-peer.js';
import { StreamAttempt, type StreamAttemptResult } from './stream-attempt.js';
import { StreamEnding } from './stream-ending.js';
import { StreamExchange, type AttemptResult } from './stream-exchange.js';
import { StreamLimits } from './stream-limits.js';
import { discard, type Begun, type BegunStream } from './stream-replacement.js';
import { StreamRuns } from './stream-runs.js';
import { StreamWayFinder, type ChainWay, type Way } from './stream-way.js';

/** What is logged and counted for each decision on a request whose run has ended. */
const ENDED_RUN_MESSAGES: Readonly<Record<EndedRunDecision['kind'], string>> = {
  end: 'Request failed; not retrying.',
  retry: 'Retrying request.',
  wait: 'Request waits for room.',
};
const ENDED_RUN_EVENTS: Readonly<Record<EndedRunDecision['kind'], string>> = {
  end: 'given_up',
  retry: 'retry',
  wait: 'waits_for_room',
};

function getBegunWay(begun: BegunStream | undefined): Way | undefined {
  return begun && { kind: 'chain', chain: begun.chain, release: begun.release };
}

/** Relays one streaming request, from its first attempt to its outcome. */
class StreamRelay {
  readonly #context: EntryContext;

  readonly #request: EntryRequest;

  readonly #chainSelector: ChainSelector;

  readonly #caller: CallerStream;

  readonly #runs: StreamRuns;

  readonly #ending: StreamEnding;

  readonly #exchange: StreamExchange;

  readonly #endsAtBegin: EndsAtBegin;

  readonly #limits: StreamLimits;

  readonly #wayFinder: StreamWayFinder;

  readonly #atPeer: StreamAtPeer;

  readonly #beside: AttemptBeside;

  /** An attempt that took over from the one before and has begun to answer. */
  #begun: BegunStream | undefined;

  constructor(context: EntryContext, request: EntryRequest, profile: EngineProfile) {
    this.#context = context;
    this.#request = request;
    this.#runs = new StreamRuns({
      maximumServers: request.route.maximumAttempts,
      elsewhere: request.relayed?.processKeys,
      hasEnded: (processKey) => context.fleet.hasEnded(processKey),
      mayHaveEnded: (processKey) =>
        context.fleet.servers.some(
          ({ entry }) =>
            getProcessKey(entry) === processKey && context.outlierEjection.isEjected(entry.id),
        ),
    });
    this.#chainSelector = new ChainSelector(
      context,
      request,
      profile,
      (entry) =>
        !this.#endsAtBegin.isLikely &&
        this.#runs.allows(getProcessKey(entry)) &&
        context.serverLimits.hasRoom(entry.id),
    );
    this.#caller = new CallerStream(request);
    this.#ending = new StreamEnding({ context, request, caller: this.#caller, runs: this.#runs });
    this.#exchange = new StreamExchange({ context, request, caller: this.#caller });
    this.#endsAtBegin = new EndsAtBegin({
      hasEnded: (processKey) => context.fleet.hasEnded(processKey),
      isEndUnconfirmed: (processKey) => context.endCheck.isUnconfirmed(processKey),
    });
    this.#limits = new StreamLimits({
      request,
      runs: this.#runs,
      crashBlame: context.crashBlame,
      endsAtBegin: this.#endsAtBegin,
    });
    this.#wayFinder = new StreamWayFinder({
      context,
      request,
      caller: this.#caller,
      chainSelector: this.#chainSelector,
      limits: this.#limits,
    });
    this.#atPeer = new StreamAtPeer({
      context,
      request,
      caller: this.#caller,
      exchange: this.#exchange,
      ending: this.#ending,
      runs: this.#runs,
      limits: this.#limits,
      mayGoOn: (run) => this.#decideOnEndedRun(run),
    });
    this.#beside = new AttemptBeside({
      context,
      request,
      caller: this.#caller,
      chainSelector: this.#chainSelector,
      exchange: this.#exchange,
      runs: this.#runs,
      limits: this.#limits,
      chooseChain: () => this.#wayFinder.chooseChain(),
      passOn: (processKeys, signal) => this.#atPeer.passOn(processKeys, signal),
      checkForEnd: (engine) => this.#checkForEnd(engine),
    });
  }

  async serve(): Promise<string> {
    const { crashBlame, retryBudget } = this.#context;
    const { content, service, relayed } = this.#request;
    const admission = admitRequest(this.#context, this.#request);
    if (admission === 'refuse') return this.#ending.refuseBlocked();
    if (!relayed) retryBudget.recordFirstAttempt(service.name);
    for (;;) {
      const begun = this.#takeBegun();
      if (this.#request.isOver()) return this.#endAborted(begun);
      const way = getBegunWay(begun) ?? (await this.#wayFinder.find());
      if (way.kind === 'chain') {
        if (admission === 'try' && !this.#limits.isTrial) crashBlame.startTrial(content);
        this.#limits.isTrial = admission === 'try';
      }
      const outcome =
        way.kind === 'chain'
          ? await this.#serveOver(way, begun)
          : await this.#serveWithoutChain(way);
      if (outcome !== undefined) return outcome;
    }
  }

  #takeBegun(): BegunStream | undefined {
    const begun = this.#begun;
    this.#begun = undefined;
    return begun;
  }

  /** Attempts the request over a chain; returns its outcome, or undefined if it is to go on. */
  async #serveOver(
    { chain, release }: ChainWay,
    begun: BegunStream | undefined,
  ): Promise<string | undefined> {
    const { signal } = this.#request;
    if (signal.aborted) {
      if (!begun) release();
      return this.#endAborted(begun);
    }
    const result = await this.#attempt({ chain, release }, begun);
    if (signal.aborted) return this.#endAborted(result.kind === 'replaced' ? result.by : undefined);
    if (result.kind === 'completed' || result.kind === 'answered')
      return this.#ending.complete(result.kind);
    if (result.kind !== 'replaced')
      return this.#handleFault(result, chain.stages[0]?.engine.server.entry);
    if (result.by.kind === 'peer') return this.#atPeer.relay(result.by.answer);
    this.#begun = result.by;
    return undefined;
  }

  async #serveWithoutChain(way: Exclude<Way, { kind: 'chain' }>): Promise<string | undefined> {
    if (this.#request.signal.aborted) return this.#ending.sendTimeout();
    if (way.kind === 'notAdmitted') return this.#ending.refuseUnadmitted(way.refusal);
    return way.kind === 'peers' ? this.#atPeer.serve() : this.#ending.refuseWithoutChain();
  }

  #endAborted(begun: Begun | undefined): string {
    if (begun) discard(begun);
    return this.#ending.sendTimeout();
  }

  /** Records a failed attempt; returns the request's outcome if it is not to go on. */
  async #handleFault(
    result: Extract<AttemptResult, { kind: 'notRun' | 'broken' }>,
    firstEngine: ServerEntry | undefined,
  ): Promise<string | undefined> {
    result.engineIdsToAvoid.forEach((id) => this.#chainSelector.avoidedEngineIds.add(id));
    if (result.kind === 'notRun') this.#limits.recordRefusal();
    else if (firstEngine) this.#limits.recordRun(getProcessKey(firstEngine));
    // Whether the first engine still lives decides how many further engines may run the request.
    if (result.kind === 'broken' && firstEngine) await this.#checkForEnd(firstEngine);
    const isGoingOn = this.#decideOnEndedRun({
      after: result.kind,
      message: result.message,
      engineIdsToAvoid: result.engineIdsToAvoid,
      first: firstEngine?.id,
    });
    return isGoingOn ? undefined : this.#ending.sendFailure('servers_refused');
  }

  /**
   * Decides what becomes of the request after an attempt that failed.
   *
   * @param run - The run that ended, for the log.
   * @returns Whether the request goes on.
   */
  #decideOnEndedRun(run: Readonly<Record<string, unknown>>): boolean {
    const { retryBudget, logs, metrics } = this.#context;
    const { service, metadata } = this.#request;
    this.#wayFinder.forgetRetry();
    const decision = decideOnEndedRun({
      hasStarted: this.#caller.hasStarted,
      proof: this.#limits.proof,
      isRefusedTooOften: this.#limits.isRefusedTooOften,
      acquireRetry: () => retryBudget.tryAcquire(service.name),
    });
    logs('routing').info(ENDED_RUN_MESSAGES[decision.kind], {
      requestId: metadata.requestId,
      ...run,
      reason: decision.kind === 'end' ? decision.reason : undefined,
      lastEventId: this.#caller.lastEventId,
      sharedPromptParts: metadata.sharedPromptParts,
      ...this.#limits.counts,
    });
    metrics.countEvent(ENDED_RUN_EVENTS[decision.kind]);
    return decision.kind !== 'end';
  }

  async #checkForEnd(firstEngine: ServerEntry): Promise<void> {
    const { stallDetector } = this.#context;
    const processKey = getProcessKey(firstEngine);
    if (!this.#exchange.wasWrittenAt(processKey)) this.#endsAtBegin.record(processKey);
    await this.#endsAtBegin.settle(stallDetector.checkEngine(firstEngine.id));
  }

  /** Sends the request over a chain, unless that has begun already as a replacement. */
  async #attempt(
    { chain, release }: ChainWay,
    begun: BegunStream | undefined,
  ): Promise<StreamAttemptResult> {
    const firstEngine = chain.stages[0]?.engine.server;
    if (!firstEngine) {
      release();
      return { kind: 'notRun', engineIdsToAvoid: [], message: 'The chosen chain has no stages.' };
    }
    const { logs, metrics } = this.#context;
    if (!begun) logs('routing').info('Chain chosen.', this.#chainSelector.describeForLog(chain));
    if ((chain.highestShareUse ?? 0) > 1) metrics.countEvent('engine_share_exceeded');
    const attempt = new StreamAttempt({
      context: this.#context,
      request: this.#request,
      chainSelector: this.#chainSelector,
      exchange: this.#exchange,
      caller: this.#caller,
      chain,
      firstEngine,
      release,
      begun,
      decide: (...suspicion) => this.#beside.decide(firstEngine.entry, ...suspicion),
      startReplacement: (suspectedEngineId) =>
        this.#beside.start(firstEngine.entry, suspectedEngineId),
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
