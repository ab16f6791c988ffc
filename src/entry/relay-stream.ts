/** Serves a streaming request over chains of engines, going on after the last event on a fault. */
import type { IncomingMessage } from 'node:http';
import { sleep } from '../common/clock.js';
import { HttpRequestError, getErrorMessage } from '../common/http-client.js';
import { recordRefusal, recordAcceptance, type FleetServer } from '../fleet/backend-fleet.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import {
  endToEndHeaders,
  sendLocalResponse,
  appendHeaders,
  type LocalResponse,
} from './entry-response.js';
import type { EntryContext } from './entry-context.js';
import { abortReasonOf, isIdempotent, type EntryRequest } from './entry-request.js';
import { EventSplitter } from './event-splitter.js';
import { isBodyDelimited, sendBackendRequest } from './backend-request.js';
import type { EngineProfile } from './serving-configuration.js';
import type { WatchedStream } from './stall-detector.js';
import { stageAddressesOf, ChainSelector, type EngineChain } from './chain-selector.js';

/** How one attempt ended. */
type AttemptResult =
  | { readonly kind: 'completed' }
  /** The engine answered with a failure of its own, which the caller has been given. */
  | { readonly kind: 'answered'; readonly status: number }
  | { readonly kind: 'notRun'; readonly culprits: readonly string[]; readonly message: string }
  /** No event came in time; an engine begins to run a request with its first event. */
  | { readonly kind: 'late'; readonly culprits: readonly string[]; readonly message: string }
  | { readonly kind: 'broken'; readonly culprits: readonly string[]; readonly message: string };

const MAXIMUM_CHAIN_WAIT_MILLISECONDS = 1700;
const CHAIN_POLL_INTERVAL_MILLISECONDS = 60;
/** Tries beyond the route's maximum that engines have refused to run. */
const MAXIMUM_REFUSED_ATTEMPTS = 4;
const MAXIMUM_ATTEMPTS = 4;
/** Of a route's target, after which a first event is late enough to look elsewhere. */
const FIRST_EVENT_TIMEOUT_SHARE = 0.7;
const MAXIMUM_LATE_RETRIES = 1;
const MAXIMUM_REROUTES = 3;
const REROUTE_TIMEOUT_MILLISECONDS = 300;
const RETRY_AFTER_NO_CHAIN_SECONDS = 0.6;
const RETRY_AFTER_BLOCKED_SECONDS = 30;

/** One streaming request from its first attempt to its end. */
class StreamRelay {
  readonly #context: EntryContext;

  readonly #request: EntryRequest;

  readonly #chainSelector: ChainSelector;

  #lastEventId: number | undefined;

  /** Times that the request was led elsewhere because its first event was late. */
  #lateRetries = 0;

  #hasStarted = false;

  #firstEventAt: number | undefined;

  /** Attempts that may have run. */
  #possibleRuns = 0;

  /** Of them, those whose first engine lives; the route bounds them. */
  #countedRuns = 0;

  #refusedAttempts = 0;

  constructor(context: EntryContext, request: EntryRequest, profile: EngineProfile) {
    this.#context = context;
    this.#request = request;
    this.#chainSelector = new ChainSelector(context, request, profile);
    this.#lastEventId = request.metadata.lastEventId;
  }

  async serve(): Promise<string> {
    const { crashRecords: crashes, retryBudget: retries } = this.#context;
    const { contentHash: content, service, signal } = this.#request;
    if (crashes.isBlocked(content)) {
      return this.#sendLocalResponse('convicted', {
        status: 503,
        code: 'crashes_servers',
        message: 'Requests like this one have crashed several servers; it was not run.',
        retryAfterSeconds: RETRY_AFTER_BLOCKED_SECONDS,
      });
    }
    retries.recordFirstAttempt(service.name);
    for (;;) {
      const chain = await this.#findChain();
      if (signal.aborted) return this.#sendTimeout();
      if (!chain) return this.#sendRefusal('no_chain');
      const end = await this.#attempt(chain);
      if (signal.aborted) return this.#sendTimeout();
      if (end.kind === 'completed' || end.kind === 'answered') return this.#complete(end);
      const stop = this.#handleFault(end, chain);
      if (stop !== undefined) return stop;
    }
  }

  /** Decides whether to try again after a fault; gives the outcome when not. */
  #handleFault(
    end: Extract<AttemptResult, { kind: 'notRun' | 'late' | 'broken' }>,
    chain: EngineChain,
  ): string | undefined {
    const { crashRecords: crashes, retryBudget: retries, logs, metrics } = this.#context;
    const { contentHash: content, route, service, metadata: terms } = this.#request;
    end.culprits.forEach((id) => this.#chainSelector.avoidedEngineIds.add(id));
    if (end.kind === 'notRun') this.#refusedAttempts += 1;
    else this.#possibleRuns += 1;
    const first = chain.parts[0]?.engine.id;
    const isFirstLost = first === undefined || this.#context.outlierEjection.isEjected(first);
    if (end.kind === 'broken' && !isFirstLost) this.#countedRuns += 1;
    const mayRun = isIdempotent(route) || this.#possibleRuns === 0;
    const isSafeToRun = !crashes.isBlocked(content);
    const isWithinTries =
      this.#countedRuns < route.maximumAttempts &&
      this.#possibleRuns < MAXIMUM_ATTEMPTS &&
      this.#refusedAttempts <= MAXIMUM_REFUSED_ATTEMPTS;
    const isRetried = mayRun && isSafeToRun && isWithinTries && retries.tryAcquire(service.name);
    logs('routing').info(isRetried ? 'Trying again.' : 'Giving up.', {
      requestId: terms.requestId,
      after: end.kind,
      message: end.message,
      culprits: end.culprits,
      first: chain.parts[0]?.engine.id,
      lastEventId: this.#lastEventId,
      attempts: this.#possibleRuns,
      runs: this.#countedRuns,
      refusedTries: this.#refusedAttempts,
    });
    metrics.countEvent(isRetried ? 'retry' : 'given_up');
    if (isRetried) return undefined;
    if (this.#possibleRuns === 0) return this.#sendRefusal('servers_refused');
    return this.#sendLocalResponse('broken', {
      status: 502,
      code: 'engine_failed',
      message: 'An engine failed while it ran the request.',
    });
  }

  /** Finds a chain; a stream that has begun waits a little for one. */
  async #findChain(): Promise<EngineChain | undefined> {
    const until = performance.now() + MAXIMUM_CHAIN_WAIT_MILLISECONDS;
    for (;;) {
      const chain = this.#chainSelector.choose();
      if (chain) return chain;
      if (!this.#hasStarted || performance.now() > until) return undefined;
      if (this.#request.signal.aborted) return undefined;
      await sleep(CHAIN_POLL_INTERVAL_MILLISECONDS, this.#request.signal);
    }
  }

  async #attempt(chosen: EngineChain): Promise<AttemptResult> {
    const { stallDetector: stallWatch, logs } = this.#context;
    const { metadata: terms, signal } = this.#request;
    const first = chosen.parts[0]?.engine.server;
    if (!first) return { kind: 'notRun', culprits: [], message: 'The chain is empty.' };
    logs('routing').info('Chain chosen.', this.#chainSelector.logFields(chosen));
    const attempt = new AbortController();
    const abort = (): void => attempt.abort();
    signal.addEventListener('abort', abort, { once: true });
    let release = this.#chainSelector.reserve(chosen);
    let culprits: readonly string[] | undefined;
    let isRepathing = false;
    let isEnded = false;
    const serversOf = (chain: EngineChain): FleetServer[] =>
      chain.parts.map(({ engine }) => engine.server);
    const watched: WatchedStream = {
      requestId: terms.requestId,
      chain: serversOf(chosen),
      lastProgressAt: performance.now(),
      isCallerBlocked: false,
      hasEvents: false,
      firstEventTimeoutMilliseconds:
        this.#request.route.targetMilliseconds * FIRST_EVENT_TIMEOUT_SHARE,
      retryElsewhere: () => {
        if (isRepathing || this.#lateRetries >= MAXIMUM_LATE_RETRIES) return;
        this.#lateRetries += 1;
        const passed = chosen.parts.map(({ engine }) => engine.id);
        if (!this.#chainSelector.avoidIfPossible(passed)) return;
        culprits = passed;
        attempt.abort();
      },
      routeAround: (found) => {
        if (isRepathing) return;
        isRepathing = true;
        found.forEach((id) => this.#chainSelector.avoidedEngineIds.add(id));
        void this.#reroute(chosen, found).then((chain) => {
          isRepathing = false;
          if (isEnded) return;
          if (!chain) {
            culprits = found;
            attempt.abort();
            return;
          }
          release();
          release = this.#chainSelector.reserve(chain);
          watched.chain = serversOf(chain);
          watched.lastProgressAt = performance.now();
        });
      },
    };
    stallWatch.add(watched);
    try {
      return await this.#relayEvents(chosen, first, watched, attempt.signal);
    } catch (error) {
      if (culprits && !watched.hasEvents) {
        return { kind: 'late', culprits, message: 'The first event is late.' };
      }
      if (culprits) return { kind: 'broken', culprits, message: 'The stream stalled.' };
      return this.#classifyError(first.entry, error);
    } finally {
      isEnded = true;
      release();
      stallWatch.remove(watched);
      signal.removeEventListener('abort', abort);
      attempt.abort();
    }
  }

  /** Leads the stream round engines at fault without running it anew; undefined when it can't be. */
  async #reroute(
    chosen: EngineChain,
    culprits: readonly string[],
  ): Promise<EngineChain | undefined> {
    const { protocol: dialect, fleet, logs, metrics } = this.#context;
    const [pinned] = chosen.parts;
    if (!pinned || culprits.length === 0 || culprits.includes(pinned.engine.id)) return undefined;
    for (let tries = 0; tries < MAXIMUM_REROUTES; tries += 1) {
      const chain = this.#chainSelector.choose(pinned);
      if (!chain) return undefined;
      const result = await dialect.rerouteStream(
        pinned.engine.server.entry.address,
        { requestId: this.#request.metadata.requestId, chain: stageAddressesOf(chain) },
        REROUTE_TIMEOUT_MILLISECONDS,
      );
      logs('routing').info('Chain changed under way.', {
        ...this.#chainSelector.logFields(chain),
        culprits,
        result: result.kind,
        lastEventId: this.#lastEventId,
      });
      metrics.countEvent(`repath_${result.kind}`);
      if (result.kind === 'done') return chain;
      if (result.kind === 'failed' || result.faultAddress === undefined) return undefined;
      const fault = fleet.findByAddress(result.faultAddress);
      if (!fault) return undefined;
      this.#chainSelector.avoidedEngineIds.add(fault.entry.id);
    }
    return undefined;
  }

  #classifyError(first: ServerEntry, error: unknown): AttemptResult {
    const { outlierEjection: suspicions, crashRecords: crashes } = this.#context;
    const culprits = [first.id];
    const message = getErrorMessage(error);
    if (this.#request.signal.aborted) return { kind: 'broken', culprits: [], message };
    if (error instanceof HttpRequestError && error.phase === 'connecting') {
      suspicions.eject(first.id, message);
      return { kind: 'notRun', culprits, message };
    }
    // Any engine of the chain may be at fault; the first one answers whether it lives.
    void this.#context.stallDetector.checkEngine(first.id);
    if (error instanceof HttpRequestError && error.phase === 'sent') {
      crashes.recordCrash(this.#request.contentHash, first.id);
    }
    return { kind: 'broken', culprits, message };
  }

  async #relayEvents(
    chain: EngineChain,
    first: FleetServer,
    watched: WatchedStream,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const { protocol: dialect, outlierEjection: suspicions, fleet } = this.#context;
    const { incoming, account, body, deadline, metadata: terms, route } = this.#request;
    const answer = await sendBackendRequest({
      address: first.entry.address,
      method: incoming.method ?? 'GET',
      target: incoming.url ?? '/',
      headers: dialect.buildBackendHeaders(incoming.rawHeaders, {
        remainingMilliseconds: deadline - performance.now(),
        account: account?.name,
        serverId: first.entry.id,
        chain: stageAddressesOf(chain),
        lastEventId: this.#lastEventId,
        urgency: Math.min(9, account?.priority ?? route.priority),
        bodyBytes: body.length,
      }),
      body,
      signal,
    });
    const status = answer.statusCode ?? 0;
    const said = dialect.parseResponseHeaders(answer.headers, status);
    if (said.isNotExecuted) {
      const culprit =
        said.faultAddress === undefined ? first : fleet.findByAddress(said.faultAddress);
      const id = culprit?.entry.id ?? first.entry.id;
      if (culprit && status === 503) recordRefusal(culprit, performance.now());
      return { kind: 'notRun', culprits: [id], message: `Status ${status}.` };
    }
    if (said.requestId !== terms.requestId) throw new Error('The answer is to another request.');
    if (status >= 300) return this.#relayFailure(answer, status);
    if (!said.isSigned || said.isEncoded) throw new Error('The answer is not the engine’s.');
    let isTaken = false;
    const splitter = new EventSplitter(this.#lastEventId);
    for await (const chunk of answer) {
      const events = splitter.push(chunk as Buffer);
      watched.lastProgressAt = performance.now();
      if (events.bytes.length > 0) {
        if (!isTaken) watched.chain.forEach(recordAcceptance);
        isTaken = true;
        watched.hasEvents = true;
        if (!this.#hasStarted) this.#startResponse(endToEndHeaders(answer), status);
        this.#lastEventId = events.lastEventId;
        watched.isCallerBlocked = true;
        await this.#write(events.bytes);
        watched.isCallerBlocked = false;
        watched.lastProgressAt = performance.now();
      }
    }
    if (!answer.complete || !isBodyDelimited(answer))
      throw new HttpRequestError('answering', 'The stream broke off.');
    if (!splitter.isBetweenEvents) throw new Error('The stream ended within an event.');
    if (!this.#hasStarted) this.#startResponse(endToEndHeaders(answer), status);
    suspicions.recordSuccess(first.entry.id);
    return { kind: 'completed' };
  }

  /** Gives the caller an engine's failure, whole, unless a stream has begun. */
  async #relayFailure(answer: IncomingMessage, status: number): Promise<AttemptResult> {
    const parts: Buffer[] = [];
    for await (const chunk of answer) parts.push(chunk as Buffer);
    if (!answer.complete || this.#hasStarted) throw new Error(`Status ${status}.`);
    const { response } = this.#request;
    appendHeaders(response, endToEndHeaders(answer));
    response.statusCode = status;
    response.end(Buffer.concat(parts));
    return { kind: 'answered', status };
  }

  #startResponse(headers: readonly string[], status: number): void {
    const { response } = this.#request;
    this.#hasStarted = true;
    this.#firstEventAt = performance.now();
    appendHeaders(response, headers);
    // Events of several engines may follow, so that the first one's length means nothing.
    response.removeHeader('Content-Length');
    response.statusCode = status;
  }

  async #write(bytes: Buffer): Promise<void> {
    const { response, signal } = this.#request;
    if (response.write(bytes) || signal.aborted) return;
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        response.off('drain', finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      response.once('drain', finish);
      signal.addEventListener('abort', finish, { once: true });
    });
  }

  #complete(end: Extract<AttemptResult, { kind: 'completed' | 'answered' }>): string {
    if (end.kind === 'completed') this.#request.response.end();
    return this.#recordOutcome(end.kind);
  }

  #sendRefusal(code: string): string {
    return this.#sendLocalResponse('refused', {
      status: 503,
      code,
      message: 'No chain of engines could run the request; it was not run.',
      retryAfterSeconds: RETRY_AFTER_NO_CHAIN_SECONDS,
    });
  }

  #sendTimeout(): string {
    const reason = abortReasonOf(this.#request.signal) ?? 'deadline';
    return this.#sendLocalResponse(reason, {
      status: 504,
      code: 'timeout',
      message: 'The request was not finished in its time.',
    });
  }

  #sendLocalResponse(outcome: string, answer: LocalResponse): string {
    const { response, metadata: terms } = this.#request;
    // A stream that has begun ends without its last chunk, so that it doesn't look complete.
    if (outcome === 'refused' && this.#possibleRuns > 0) {
      sendLocalResponse(response, terms.requestId, { ...answer, status: 502 });
    } else {
      sendLocalResponse(response, terms.requestId, answer);
    }
    return this.#recordOutcome(outcome);
  }

  #recordOutcome(outcome: string): string {
    const { metrics, logs } = this.#context;
    const { account, route, metadata: terms, receivedAt } = this.#request;
    const first = this.#firstEventAt;
    const labels = { account: account?.name ?? '', kind: route.kind, outcome };
    metrics.recordRequest(labels, first === undefined ? undefined : (first - receivedAt) / 1000);
    logs('caller').info('Request done.', {
      requestId: terms.requestId,
      ...labels,
      route: route.name,
      firstEventMilliseconds: first === undefined ? undefined : Math.round(first - receivedAt),
      totalMilliseconds: Math.round(performance.now() - receivedAt),
      lastEventId: this.#lastEventId,
      runs: this.#countedRuns,
    });
    return outcome;
  }
}

/**
 * Serves a streaming request to its end.
 *
 * @param context - The instance.
 * @param request - The request.
 * @param profile - The engines' profile.
 * @returns The outcome.
 */
export function relayStream(
  context: EntryContext,
  request: EntryRequest,
  profile: EngineProfile,
): Promise<string> {
  return new StreamRelay(context, request, profile).serve();
}
