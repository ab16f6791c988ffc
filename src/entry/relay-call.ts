/** Serves a call to a plain service: at most once where it isn't idempotent, else with a second try. */
import { HttpRequestError, getErrorMessage } from '../common/http-client.js';
import type { FleetServer } from '../fleet/backend-fleet.js';
import { answerHeaders, sendOwnAnswer, setHeaders } from './entry-answer.js';
import type { EntryContext } from './entry-context.js';
import { endReasonOf, isIdempotent, type EntryRequest } from './entry-request.js';
import { hasOwnEnd, sendExchange } from './exchange.js';

/** A whole answer of a server. */
interface WholeAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

type CallEnd =
  | { readonly kind: 'answered'; readonly answer: WholeAnswer }
  | { readonly kind: 'notRun'; readonly message: string }
  | { readonly kind: 'unknown'; readonly message: string };

/** Tries that servers have refused to run. */
const MAXIMUM_REFUSED_TRIES = 3;
const RETRY_AFTER_FULL_SECONDS = 0.3;
const RETRY_AFTER_NO_SERVER_SECONDS = 0.6;
const RETRY_AFTER_CONVICTED_SECONDS = 30;
/** A second server is asked once the first has taken this many times as long as expected. */
const HEDGE_FACTOR = 3;
const SHORTEST_HEDGE_MILLISECONDS = 100;

/** One call from its first attempt to its end. */
class CallRelay {
  readonly #context: EntryContext;

  readonly #request: EntryRequest;

  readonly #avoided = new Set<string>();

  #runs = 0;

  #refusedTries = 0;

  /** The last failure that a server itself answered with. */
  #failure: WholeAnswer | undefined;

  constructor(context: EntryContext, request: EntryRequest) {
    this.#context = context;
    this.#request = request;
  }

  async serve(): Promise<string> {
    const { crashRecords: crashes, retryBudget: retries, logs } = this.#context;
    const { content, service, signal, terms, route } = this.#request;
    if (crashes.isBlocked(content))
      return this.#refuse('crashes_servers', RETRY_AFTER_CONVICTED_SECONDS);
    retries.recordFirstAttempt(service.name);
    for (;;) {
      const server = this.#choose();
      if (!server) {
        if (this.#failure) return this.#give(this.#failure);
        return this.#runs > 0
          ? this.#unknown()
          : this.#refuse('no_server', RETRY_AFTER_NO_SERVER_SECONDS);
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
      if (signal.aborted) return this.#finishAborted();
      if (end.kind === 'answered' && end.answer.status < 500) return this.#give(end.answer);
      if (end.kind === 'answered') this.#failure = end.answer;
      if (end.kind === 'notRun') this.#refusedTries += 1;
      else this.#runs += 1;
      this.#avoided.add(server.entry.id);
      const mayRun = isIdempotent(route) || this.#runs === 0;
      const isSafeToRun = !crashes.isBlocked(content);
      const isWithinTries =
        this.#runs < Math.max(1, route.maximumAttempts) &&
        this.#refusedTries <= MAXIMUM_REFUSED_TRIES;
      const isRetried = mayRun && isSafeToRun && isWithinTries && retries.tryAcquire(service.name);
      logs('routing').info(isRetried ? 'Trying again.' : 'Giving up.', {
        requestId: terms.requestId,
        after: end.kind,
        message: end.kind === 'answered' ? `Status ${end.answer.status}.` : end.message,
        server: server.entry.id,
        runs: this.#runs,
        refusedTries: this.#refusedTries,
      });
      if (!isRetried) {
        if (this.#failure) return this.#give(this.#failure);
        return this.#runs > 0
          ? this.#unknown()
          : this.#refuse('servers_full', RETRY_AFTER_FULL_SECONDS);
      }
    }
  }

  #choose(): FleetServer | undefined {
    const { fleet, outlierEjection: suspicions, callTimes, dataCentre } = this.#context;
    const servers = fleet
      .listForService(this.#request.service.name)
      .filter(({ entry }) => !this.#avoided.has(entry.id));
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

  async #attempt(server: FleetServer): Promise<CallEnd> {
    const { callTimes, outlierEjection: suspicions, crashRecords: crashes } = this.#context;
    const { signal, content } = this.#request;
    const { id } = server.entry;
    const attempt = new AbortController();
    const abort = (): void => attempt.abort();
    signal.addEventListener('abort', abort, { once: true });
    const hedge = this.#startHedge(id, attempt);
    const startedAt = performance.now();
    server.ownLoad.requests += 1;
    try {
      const end = await this.#converse(server, attempt.signal);
      if (end.kind === 'answered' && end.answer.status < 500) suspicions.recordSuccess(id);
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
  #startHedge(id: string, attempt: AbortController): NodeJS.Timeout | undefined {
    const { route } = this.#request;
    if (!isIdempotent(route) || this.#runs + 1 >= route.maximumAttempts) return undefined;
    const wait = HEDGE_FACTOR * this.#context.callTimes.expectedMilliseconds(id);
    return setTimeout(() => attempt.abort(), Math.max(SHORTEST_HEDGE_MILLISECONDS, wait));
  }

  async #converse(server: FleetServer, signal: AbortSignal): Promise<CallEnd> {
    const { protocol: dialect, callTimes } = this.#context;
    const { incoming, account, body, deadline, terms, route } = this.#request;
    const startedAt = performance.now();
    const answer = await sendExchange({
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
    if (!answer.complete || !hasOwnEnd(answer))
      throw new HttpRequestError('answering', 'The answer broke off.');
    if (said.requestId !== terms.requestId) throw new Error('The answer is to another request.');
    if (said.isEncoded || (status < 300 && !said.isSigned)) {
      throw new Error('The answer is not the server’s.');
    }
    const load = said.load && said.load.running + said.load.waiting;
    callTimes.record(server.entry.id, performance.now() - startedAt, load);
    return {
      kind: 'answered',
      answer: { status, headers: answerHeaders(answer), body: Buffer.concat(parts) },
    };
  }

  #give(answer: WholeAnswer): string {
    const { response } = this.#request;
    setHeaders(response, answer.headers);
    response.statusCode = answer.status;
    response.end(answer.body);
    return this.#note(answer.status < 400 ? 'completed' : 'answered');
  }

  #refuse(code: string, retryAfterSeconds: number): string {
    sendOwnAnswer(this.#request.response, this.#request.terms.requestId, {
      status: 503,
      code,
      message: 'No server could run the request; it was not run.',
      retryAfterSeconds,
    });
    return this.#note('refused');
  }

  #unknown(): string {
    sendOwnAnswer(this.#request.response, this.#request.terms.requestId, {
      status: 502,
      code: 'outcome_unknown',
      message: 'The server gave no whole answer; the request may have run.',
    });
    return this.#note('unknown');
  }

  #finishAborted(): string {
    sendOwnAnswer(this.#request.response, this.#request.terms.requestId, {
      status: 504,
      code: 'timeout',
      message: 'The request was not finished in its time; it may have run.',
    });
    return this.#note(endReasonOf(this.#request.signal) ?? 'deadline');
  }

  #note(outcome: string): string {
    const { metrics, logs } = this.#context;
    const { account, route, terms, receivedAt } = this.#request;
    const total = performance.now() - receivedAt;
    const labels = { account: account?.name ?? '', kind: route.kind, outcome };
    metrics.recordRequest(labels, outcome === 'completed' ? total / 1000 : undefined);
    logs('caller').info('Request done.', {
      requestId: terms.requestId,
      ...labels,
      route: route.name,
      totalMilliseconds: Math.round(total),
      runs: this.#runs,
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
