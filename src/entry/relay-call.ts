/** Serves a call to a plain service: at most once where it isn't idempotent, else with a second try. */
import { HttpRequestError, getErrorMessage } from '../common/http-client.js';
import type { FleetServer } from '../fleet/backend-fleet.js';
import { endToEndHeaders, sendLocalResponse, appendHeaders } from './entry-response.js';
import type { EntryContext } from './entry-context.js';
import { abortReasonOf, isIdempotent, type EntryRequest } from './entry-request.js';
import { isBodyDelimited, sendBackendRequest } from './backend-request.js';

/** A whole answer of a server. */
interface BufferedResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

type AttemptResult =
  | { readonly kind: 'answered'; readonly response: BufferedResponse }
  | { readonly kind: 'notRun'; readonly message: string }
  | { readonly kind: 'unknown'; readonly message: string };

/** Tries that servers have refused to run. */
const MAXIMUM_REFUSED_ATTEMPTS = 3;
const RETRY_AFTER_FULL_SECONDS = 0.3;
const RETRY_AFTER_NO_SERVER_SECONDS = 0.6;
const RETRY_AFTER_BLOCKED_SECONDS = 30;
/** A second server is asked once the first has taken this many times as long as expected. */
const ATTEMPT_TIMEOUT_FACTOR = 3;
const MINIMUM_ATTEMPT_TIMEOUT_MILLISECONDS = 100;

/** One call from its first attempt to its end. */
class CallRelay {
  readonly #context: EntryContext;

  readonly #request: EntryRequest;

  readonly #triedServerIds = new Set<string>();

  #possibleRuns = 0;

  #refusedAttempts = 0;

  /** The last failure that a server itself answered with. */
  #lastFailure: BufferedResponse | undefined;

  constructor(context: EntryContext, request: EntryRequest) {
    this.#context = context;
    this.#request = request;
  }

  async serve(): Promise<string> {
    const { crashRecords: crashes, retryBudget: retries, logs } = this.#context;
    const { contentHash: content, service, signal, metadata: terms, route } = this.#request;
    if (crashes.isBlocked(content))
      return this.#sendRefusal('crashes_servers', RETRY_AFTER_BLOCKED_SECONDS);
    retries.recordFirstAttempt(service.name);
    for (;;) {
      const server = this.#chooseServer();
      if (!server) {
        if (this.#lastFailure) return this.#sendBackendResponse(this.#lastFailure);
        return this.#possibleRuns > 0
          ? this.#sendUnknownOutcome()
          : this.#sendRefusal('no_server', RETRY_AFTER_NO_SERVER_SECONDS);
      }
      logs('routing').info('Server chosen.', {
        requestId: terms.requestId,
        server: server.entry.id,
        own: server.ownLoad.requests,
        others: server.peerLoad.requests,
        expectedMilliseconds: Math.round(
          this.#context.callTimes.expectedMilliseconds(server.entry.id),
        ),
        fleetRevision: this.#context.fleet.revision,
      });
      const end = await this.#attempt(server);
      if (signal.aborted) return this.#sendTimeout();
      if (end.kind === 'answered' && end.response.status < 500)
        return this.#sendBackendResponse(end.response);
      if (end.kind === 'answered') this.#lastFailure = end.response;
      if (end.kind === 'notRun') this.#refusedAttempts += 1;
      else this.#possibleRuns += 1;
      this.#triedServerIds.add(server.entry.id);
      const mayRun = isIdempotent(route) || this.#possibleRuns === 0;
      const isSafeToRun = !crashes.isBlocked(content);
      const isWithinTries =
        this.#possibleRuns < Math.max(1, route.maximumAttempts) &&
        this.#refusedAttempts <= MAXIMUM_REFUSED_ATTEMPTS;
      const isRetried = mayRun && isSafeToRun && isWithinTries && retries.tryAcquire(service.name);
      logs('routing').info(isRetried ? 'Trying again.' : 'Giving up.', {
        requestId: terms.requestId,
        after: end.kind,
        message: end.kind === 'answered' ? `Status ${end.response.status}.` : end.message,
        server: server.entry.id,
        runs: this.#possibleRuns,
        refusedTries: this.#refusedAttempts,
      });
      if (!isRetried) {
        if (this.#lastFailure) return this.#sendBackendResponse(this.#lastFailure);
        return this.#possibleRuns > 0
          ? this.#sendUnknownOutcome()
          : this.#sendRefusal('servers_full', RETRY_AFTER_FULL_SECONDS);
      }
    }
  }

  #chooseServer(): FleetServer | undefined {
    const { fleet, outlierEjection: suspicions, callTimes, dataCentre } = this.#context;
    const servers = fleet
      .listForService(this.#request.service.name)
      .filter(({ entry }) => !this.#triedServerIds.has(entry.id));
    const sound = servers.filter(({ entry }) => !suspicions.isEjected(entry.id));
    // A suspect server is better than none for what may be repeated.
    const eligible = sound.length > 0 || !isIdempotent(this.#request.route) ? sound : servers;
    let best: FleetServer | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    eligible.forEach((server) => {
      const { id, slots } = server.entry;
      const known = server.ownLoad.requests + server.peerLoad.requests;
      const running = Math.max(known, callTimes.reportedLoad(id));
      const isNear = server.entry.dataCentre === dataCentre;
      const share = (running + 1) / Math.max(1, slots);
      const cost =
        callTimes.expectedMilliseconds(id) * (1 + share * share * 2) * (isNear ? 1 : 1.02);
      if (cost >= bestCost) return;
      bestCost = cost;
      best = server;
    });
    return best;
  }

  async #attempt(server: FleetServer): Promise<AttemptResult> {
    const { callTimes, outlierEjection: suspicions, crashRecords: crashes } = this.#context;
    const { signal, contentHash: content } = this.#request;
    const { id } = server.entry;
    const attempt = new AbortController();
    const abort = (): void => attempt.abort();
    signal.addEventListener('abort', abort, { once: true });
    const hedge = this.#startAttemptTimer(id, attempt);
    const startedAt = performance.now();
    server.ownLoad.requests += 1;
    try {
      const end = await this.#sendToServer(server, attempt.signal);
      if (end.kind === 'answered' && end.response.status < 500) suspicions.recordSuccess(id);
      return end;
    } catch (error) {
      const message = getErrorMessage(error);
      if (signal.aborted) return { kind: 'unknown', message };
      callTimes.record(id, performance.now() - startedAt, undefined);
      if (error instanceof HttpRequestError && error.phase === 'connecting') {
        suspicions.eject(id, message);
        return { kind: 'notRun', message };
      }
      suspicions.recordFailure(id, message);
      if (!attempt.signal.aborted) crashes.recordCrash(content, id);
      return { kind: 'unknown', message };
    } finally {
      server.ownLoad.requests -= 1;
      clearTimeout(hedge);
      signal.removeEventListener('abort', abort);
      attempt.abort();
    }
  }

  /** Lets an idempotent call go to another server when this one takes far too long. */
  #startAttemptTimer(id: string, attempt: AbortController): NodeJS.Timeout | undefined {
    const { route } = this.#request;
    if (!isIdempotent(route) || this.#possibleRuns + 1 >= route.maximumAttempts) return undefined;
    const wait = ATTEMPT_TIMEOUT_FACTOR * this.#context.callTimes.expectedMilliseconds(id);
    return setTimeout(() => attempt.abort(), Math.max(MINIMUM_ATTEMPT_TIMEOUT_MILLISECONDS, wait));
  }

  async #sendToServer(server: FleetServer, signal: AbortSignal): Promise<AttemptResult> {
    const { protocol: dialect, callTimes } = this.#context;
    const { incoming, account, body, deadline, metadata: terms, route } = this.#request;
    const startedAt = performance.now();
    const answer = await sendBackendRequest({
      address: server.entry.address,
      method: incoming.method ?? 'GET',
      target: incoming.url ?? '/',
      headers: dialect.buildBackendHeaders(incoming.rawHeaders, {
        remainingMilliseconds: deadline - startedAt,
        account: account?.name,
        serverId: server.entry.id,
        chain: undefined,
        lastEventId: terms.lastEventId,
        urgency: Math.min(9, account?.priority ?? route.priority),
        bodyBytes: body.length,
      }),
      body,
      signal,
    });
    const status = answer.statusCode ?? 0;
    const said = dialect.parseResponseHeaders(answer.headers, status);
    if (said.isNotExecuted) {
      answer.resume();
      return { kind: 'notRun', message: `Status ${status}.` };
    }
    const parts: Buffer[] = [];
    for await (const chunk of answer) parts.push(chunk as Buffer);
    if (!answer.complete || !isBodyDelimited(answer))
      throw new HttpRequestError('answering', 'The answer broke off.');
    if (said.requestId !== terms.requestId) throw new Error('The answer is to another request.');
    if (said.isEncoded || (status < 300 && !said.isSigned)) {
      throw new Error('The answer is not the server’s.');
    }
    const load = said.load && said.load.running + said.load.waiting;
    callTimes.record(server.entry.id, performance.now() - startedAt, load);
    return {
      kind: 'answered',
      response: { status, headers: endToEndHeaders(answer), body: Buffer.concat(parts) },
    };
  }

  #sendBackendResponse(answer: BufferedResponse): string {
    const { response } = this.#request;
    appendHeaders(response, answer.headers);
    response.statusCode = answer.status;
    response.end(answer.body);
    return this.#recordOutcome(answer.status < 400 ? 'completed' : 'answered');
  }

  #sendRefusal(code: string, retryAfterSeconds: number): string {
    sendLocalResponse(this.#request.response, this.#request.metadata.requestId, {
      status: 503,
      code,
      message: 'No server could run the request; it was not run.',
      retryAfterSeconds,
    });
    return this.#recordOutcome('refused');
  }

  #sendUnknownOutcome(): string {
    sendLocalResponse(this.#request.response, this.#request.metadata.requestId, {
      status: 502,
      code: 'outcome_unknown',
      message: 'The server gave no whole answer; the request may have run.',
    });
    return this.#recordOutcome('unknown');
  }

  #sendTimeout(): string {
    sendLocalResponse(this.#request.response, this.#request.metadata.requestId, {
      status: 504,
      code: 'timeout',
      message: 'The request was not finished in its time; it may have run.',
    });
    return this.#recordOutcome(abortReasonOf(this.#request.signal) ?? 'deadline');
  }

  #recordOutcome(outcome: string): string {
    const { metrics, logs } = this.#context;
    const { account, route, metadata: terms, receivedAt } = this.#request;
    const total = performance.now() - receivedAt;
    const labels = { account: account?.name ?? '', kind: route.kind, outcome };
    metrics.recordRequest(labels, outcome === 'completed' ? total / 1000 : undefined);
    logs('caller').info('Request done.', {
      requestId: terms.requestId,
      ...labels,
      route: route.name,
      totalMilliseconds: Math.round(total),
      runs: this.#possibleRuns,
    });
    return outcome;
  }
}

/**
 * Serves a call to its end.
 *
 * @param context - The instance.
 * @param request - The request.
 * @returns The outcome.
 */
export function relayCall(context: EntryContext, request: EntryRequest): Promise<string> {
  return new CallRelay(context, request).serve();
}
