/** Serves a streaming request over chains of engines, going on after the last event on a fault. */
import type { IncomingMessage } from 'node:http';
import { sleep } from '../common/clock.js';
import { HttpRequestError, getErrorMessage } from '../common/http-client.js';
import { recordRefusal, recordAcceptance, type FleetServer } from '../fleet/backend-fleet.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import { answerHeaders, sendOwnAnswer, setHeaders, type OwnAnswer } from './entry-answer.js';
import type { EntryContext } from './entry-context.js';
import { endReasonOf, isIdempotent, type EntryRequest } from './entry-request.js';
import { EventSplitter } from './event-splitter.js';
import { hasOwnEnd, sendExchange } from './exchange.js';
import type { EngineProfile } from './serving-configuration.js';
import type { WatchedStream } from './stall-detector.js';
import { hopsOf, StreamChains, type EngineChain } from './stream-chains.js';

/** How one attempt ended. */
type AttemptEnd =
  | { readonly kind: 'completed' }
  /** The engine answered with a failure of its own, which the caller has been given. */
  | { readonly kind: 'answered'; readonly status: number }
  | { readonly kind: 'notRun'; readonly culprits: readonly string[]; readonly message: string }
  /** No event came in time; an engine begins to run a request with its first event. */
  | { readonly kind: 'late'; readonly culprits: readonly string[]; readonly message: string }
  | { readonly kind: 'broken'; readonly culprits: readonly string[]; readonly message: string };

const LONGEST_WAIT_FOR_CHAIN_MILLISECONDS = 1700;
const CHAIN_REVIEW_MILLISECONDS = 60;
/** Tries beyond the route's maximum that engines have refused to run. */
const MAXIMUM_REFUSED_TRIES = 4;
const MAXIMUM_ATTEMPTS = 4;
/** Of a route's target, after which a first event is late enough to look elsewhere. */
const PATIENCE_SHARE = 0.7;
const MAXIMUM_MOVES = 1;
const MAXIMUM_REPATHS = 3;
const REPATH_TIMEOUT_MILLISECONDS = 300;
const RETRY_AFTER_NO_CHAIN_SECONDS = 0.6;
const RETRY_AFTER_CONVICTED_SECONDS = 30;

/** One streaming request from its first attempt to its end. */
class StreamRelay {
  readonly #context: EntryContext;

  readonly #request: EntryRequest;

  readonly #chains: StreamChains;

  #lastEventId: number | undefined;

  /** Times that the request was led elsewhere because its first event was late. */
  #moves = 0;

  #hasBegun = false;

  #firstEventAt: number | undefined;

  /** Attempts that may have run. */
  #attempts = 0;

  /** Of them, those whose first engine lives; the route bounds them. */
  #runs = 0;

  #refusedTries = 0;

  constructor(context: EntryContext, request: EntryRequest, profile: EngineProfile) {
    this.#context = context;
    this.#request = request;
    this.#chains = new StreamChains(context, request, profile);
    this.#lastEventId = request.terms.lastEventId;
  }

  async serve(): Promise<string> {
    const { crashRecords: crashes, retryBudget: retries } = this.#context;
    const { content, service, signal } = this.#request;
    if (crashes.isBlocked(content)) {
      return this.#finish('convicted', {
        status: 503,
        code: 'crashes_servers',
        message: 'Requests like this one have crashed several servers; it was not run.',
        retryAfterSeconds: RETRY_AFTER_CONVICTED_SECONDS,
      });
    }
    retries.recordFirstAttempt(service.name);
    for (;;) {
      const chain = await this.#findChain();
      if (signal.aborted) return this.#finishAborted();
      if (!chain) return this.#refuse('no_chain');
      const end = await this.#attempt(chain);
      if (signal.aborted) return this.#finishAborted();
      if (end.kind === 'completed' || end.kind === 'answered') return this.#complete(end);
      const stop = this.#afterFault(end, chain);
      if (stop !== undefined) return stop;
    }
  }

  /** Decides whether to try again after a fault; gives the outcome when not. */
  #afterFault(
    end: Extract<AttemptEnd, { kind: 'notRun' | 'late' | 'broken' }>,
    chain: EngineChain,
  ): string | undefined {
    const { crashRecords: crashes, retryBudget: retries, logs, metrics } = this.#context;
    const { content, route, service, terms } = this.#request;
    end.culprits.forEach((id) => this.#chains.avoided.add(id));
    if (end.kind === 'notRun') this.#refusedTries += 1;
    else this.#attempts += 1;
    const first = chain.parts[0]?.engine.id;
    const isFirstLost = first === undefined || this.#context.outlierEjection.isEjected(first);
    if (end.kind === 'broken' && !isFirstLost) this.#runs += 1;
    const mayRun = isIdempotent(route) || this.#attempts === 0;
    const isSafeToRun = !crashes.isBlocked(content);
    const isWithinTries =
      this.#runs < route.maximumAttempts &&
      this.#attempts < MAXIMUM_ATTEMPTS &&
      this.#refusedTries <= MAXIMUM_REFUSED_TRIES;
    const isRetried = mayRun && isSafeToRun && isWithinTries && retries.tryAcquire(service.name);
    logs('routing').info(isRetried ? 'Trying again.' : 'Giving up.', {
      requestId: terms.requestId,
      after: end.kind,
      message: end.message,
      culprits: end.culprits,
      first: chain.parts[0]?.engine.id,
      lastEventId: this.#lastEventId,
      attempts: this.#attempts,
      runs: this.#runs,
      refusedTries: this.#refusedTries,
    });
    metrics.countEvent(isRetried ? 'retry' : 'given_up');
    if (isRetried) return undefined;
    if (this.#attempts === 0) return this.#refuse('servers_refused');
    return this.#finish('broken', {
      status: 502,
      code: 'engine_failed',
      message: 'An engine failed while it ran the request.',
    });
  }

  /** Finds a chain; a stream that has begun waits a little for one. */
  async #findChain(): Promise<EngineChain | undefined> {
    const until = performance.now() + LONGEST_WAIT_FOR_CHAIN_MILLISECONDS;
    for (;;) {
      const chain = this.#chains.choose();
      if (chain) return chain;
      if (!this.#hasBegun || performance.now() > until) return undefined;
      if (this.#request.signal.aborted) return undefined;
      await sleep(CHAIN_REVIEW_MILLISECONDS, this.#request.signal);
    }
  }

  async #attempt(chosen: EngineChain): Promise<AttemptEnd> {
    const { stallDetector: stallWatch, logs } = this.#context;
    const { terms, signal } = this.#request;
    const first = chosen.parts[0]?.engine.server;
    if (!first) return { kind: 'notRun', culprits: [], message: 'The chain is empty.' };
    logs('routing').info('Chain chosen.', this.#chains.describe(chosen));
    const attempt = new AbortController();
    const abort = (): void => attempt.abort();
    signal.addEventListener('abort', abort, { once: true });
    let release = this.#chains.promise(chosen);
    let culprits: readonly string[] | undefined;
    let isRepathing = false;
    let isEnded = false;
    const serversOf = (chain: EngineChain): FleetServer[] =>
      chain.parts.map(({ engine }) => engine.server);
    const watched: WatchedStream = {
      requestId: terms.requestId,
      chain: serversOf(chosen),
      lastProgressAt: performance.now(),
      isBlocked: false,
      hasEvents: false,
      patienceMilliseconds: this.#request.route.targetMilliseconds * PATIENCE_SHARE,
      moveAway: () => {
        if (isRepathing || this.#moves >= MAXIMUM_MOVES) return;
        this.#moves += 1;
        const passed = chosen.parts.map(({ engine }) => engine.id);
        if (!this.#chains.hasOther(passed)) return;
        culprits = passed;
        attempt.abort();
      },
      avoid: (found) => {
        if (isRepathing) return;
        isRepathing = true;
        found.forEach((id) => this.#chains.avoided.add(id));
        void this.#repath(chosen, found).then((chain) => {
          isRepathing = false;
          if (isEnded) return;
          if (!chain) {
            culprits = found;
            attempt.abort();
            return;
          }
          release();
          release = this.#chains.promise(chain);
          watched.chain = serversOf(chain);
          watched.lastProgressAt = performance.now();
        });
      },
    };
    stallWatch.add(watched);
    try {
      return await this.#converse(chosen, first, watched, attempt.signal);
    } catch (error) {
      if (culprits && !watched.hasEvents) {
        return { kind: 'late', culprits, message: 'The first event is late.' };
      }
      if (culprits) return { kind: 'broken', culprits, message: 'The stream stalled.' };
      return this.#explain(first.entry, error);
    } finally {
      isEnded = true;
      release();
      stallWatch.remove(watched);
      signal.removeEventListener('abort', abort);
      attempt.abort();
    }
  }

  /** Leads the stream round engines at fault without running it anew; undefined when it can't be. */
  async #repath(
    chosen: EngineChain,
    culprits: readonly string[],
  ): Promise<EngineChain | undefined> {
    const { protocol: dialect, fleet, logs, metrics } = this.#context;
    const [pinned] = chosen.parts;
    if (!pinned || culprits.length === 0 || culprits.includes(pinned.engine.id)) return undefined;
    for (let tries = 0; tries < MAXIMUM_REPATHS; tries += 1) {
      const chain = this.#chains.choose(pinned);
      if (!chain) return undefined;
      const result = await dialect.rerouteStream(
        pinned.engine.server.entry.address,
        { requestId: this.#request.terms.requestId, chain: hopsOf(chain) },
        REPATH_TIMEOUT_MILLISECONDS,
      );
      logs('routing').info('Chain changed under way.', {
        ...this.#chains.describe(chain),
        culprits,
        result: result.kind,
        lastEventId: this.#lastEventId,
      });
      metrics.countEvent(`repath_${result.kind}`);
      if (result.kind === 'done') return chain;
      if (result.kind === 'failed' || result.faultAddress === undefined) return undefined;
      const fault = fleet.findByAddress(result.faultAddress);
      if (!fault) return undefined;
      this.#chains.avoided.add(fault.entry.id);
    }
    return undefined;
  }

  #explain(first: ServerEntry, error: unknown): AttemptEnd {
    const { outlierEjection: suspicions, crashRecords: crashes } = this.#context;
    const culprits = [first.id];
    const message = getErrorMessage(error);
    if (this.#request.signal.aborted) return { kind: 'broken', culprits: [], message };
    if (error instanceof HttpRequestError && error.phase === 'connecting') {
      suspicions.eject(first.id, message);
      return { kind: 'notRun', culprits, message };
    }
    // Any engine of the chain may be at fault; the first one answers whether it lives.
    void this.#context.stallDetector.check(first.id);
    if (error instanceof HttpRequestError && error.phase === 'sent') {
      crashes.recordCrash(this.#request.content, first.id);
    }
    return { kind: 'broken', culprits, message };
  }

  async #converse(
    chain: EngineChain,
    first: FleetServer,
    watched: WatchedStream,
    signal: AbortSignal,
  ): Promise<AttemptEnd> {
    const { protocol: dialect, outlierEjection: suspicions, fleet } = this.#context;
    const { incoming, account, body, deadline, terms, route } = this.#request;
    const answer = await sendExchange({
      address: first.entry.address,
      method: incoming.method ?? 'GET',
      target: incoming.url ?? '/',
      headers: dialect.buildBackendHeaders(incoming.rawHeaders, {
        remainingMilliseconds: deadline - performance.now(),
        account: account?.name,
        serverId: first.entry.id,
        chain: hopsOf(chain),
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
    if (status >= 300) return this.#passFailure(answer, status);
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
        if (!this.#hasBegun) this.#begin(answerHeaders(answer), status);
        this.#lastEventId = events.lastEventId;
        watched.isBlocked = true;
        await this.#write(events.bytes);
        watched.isBlocked = false;
        watched.lastProgressAt = performance.now();
      }
    }
    if (!answer.complete || !hasOwnEnd(answer))
      throw new HttpRequestError('answering', 'The stream broke off.');
    if (!splitter.isBetweenEvents) throw new Error('The stream ended within an event.');
    if (!this.#hasBegun) this.#begin(answerHeaders(answer), status);
    suspicions.recordSuccess(first.entry.id);
    return { kind: 'completed' };
  }

  /** Gives the caller an engine's failure, whole, unless a stream has begun. */
  async #passFailure(answer: IncomingMessage, status: number): Promise<AttemptEnd> {
    const parts: Buffer[] = [];
    for await (const chunk of answer) parts.push(chunk as Buffer);
    if (!answer.complete || this.#hasBegun) throw new Error(`Status ${status}.`);
    const { response } = this.#request;
    setHeaders(response, answerHeaders(answer));
    response.statusCode = status;
    response.end(Buffer.concat(parts));
    return { kind: 'answered', status };
  }

  #begin(headers: readonly string[], status: number): void {
    const { response } = this.#request;
    this.#hasBegun = true;
    this.#firstEventAt = performance.now();
    setHeaders(response, headers);
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

  #complete(end: Extract<AttemptEnd, { kind: 'completed' | 'answered' }>): string {
    if (end.kind === 'completed') this.#request.response.end();
    return this.#note(end.kind);
  }

  #refuse(code: string): string {
    return this.#finish('refused', {
      status: 503,
      code,
      message: 'No chain of engines could run the request; it was not run.',
      retryAfterSeconds: RETRY_AFTER_NO_CHAIN_SECONDS,
    });
  }

  #finishAborted(): string {
    const reason = endReasonOf(this.#request.signal) ?? 'deadline';
    return this.#finish(reason, {
      status: 504,
      code: 'timeout',
      message: 'The request was not finished in its time.',
    });
  }

  #finish(outcome: string, answer: OwnAnswer): string {
    const { response, terms } = this.#request;
    // A stream that has begun ends without its last chunk, so that it doesn't look complete.
    if (outcome === 'refused' && this.#attempts > 0) {
      sendOwnAnswer(response, terms.requestId, { ...answer, status: 502 });
    } else {
      sendOwnAnswer(response, terms.requestId, answer);
    }
    return this.#note(outcome);
  }

  #note(outcome: string): string {
    const { metrics, logs } = this.#context;
    const { account, route, terms, receivedAt } = this.#request;
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
      runs: this.#runs,
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
