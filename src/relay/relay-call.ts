/**
 * Serves a call to a plain (non-streaming) service. A call that is not idempotent runs at most
 * once; an idempotent one may be retried on further backend servers.
 */
import { getErrorMessage } from '../common/http-client.js';
import { startPatientTimer } from '../common/patient-timer.js';
import type { FleetServer } from '../fleet/fleet-server.js';
import { findExpectedRoom } from '../fleet/expected-room.js';
import { getAvailability } from '../fleet/server-availability.js';
import { getProcessKey, type ServerEntry } from '../fleet/server-entry.js';
import { admitRequest } from '../entry/admission.js';
import { CallEnding, readPeerAnswer, type BufferedResponse } from './call-ending.js';
import { CallExchange, FIRST_SERVER_FAILURE, type CallResult } from './call-exchange.js';
import type { EntryContext } from '../entry/entry-context.js';
import { isIdempotent, type EntryRequest } from '../entry/entry-request.js';
import { decideOnSuspicion, type SuspicionDecision } from '../evidence/exchange-suspicion.js';
import type { PeerAnswer } from './peer-answer.js';
import { chooseReplica } from './server-choice.js';

/**
 * Limit on attempts that backend servers refuse; these do not count towards the route's maximum.
 */
const MAXIMUM_REFUSED_ATTEMPTS = 3;
const RETRY_AFTER_FULL_SECONDS = 0.3;
const RETRY_AFTER_NO_SERVER_SECONDS = 0.6;
const RETRY_AFTER_BLOCKED_SECONDS = 30;
/** Callers come back to any instance, and others may reach the servers. */
const RETRY_AFTER_CUT_SECONDS = 0.2;
/** Another attempt is started beside one that takes this many times the expected response time. */
const LATENESS_FACTOR = 3;
const MINIMUM_LATENESS_MILLISECONDS = 100;

/** Whether a result may be passed on while other attempts are open. */
function isGood(result: CallResult): boolean {
  return result.kind === 'answered' && result.response.status < FIRST_SERVER_FAILURE;
}

/** Relays one call, from its first attempt to its outcome. */
class CallRelay {
  readonly #context: EntryContext;

  readonly #request: EntryRequest;

  readonly #ending: CallEnding;

  readonly #exchange: CallExchange;

  /** Backend servers that are not tried again for this call. */
  readonly #triedServerIds = new Set<string>();

  /** Attempts that may have run. */
  #possibleRuns = 0;

  /** Processes of servers that may have run the call. */
  readonly #processKeys = new Set<string>();

  #refusedAttempts = 0;

  /** The last error response (status 500 or above) of a backend server. */
  #lastFailure: BufferedResponse | undefined;

  constructor(context: EntryContext, request: EntryRequest) {
    this.#context = context;
    this.#request = request;
    this.#possibleRuns = request.relayed?.processKeys.length ?? 0;
    this.#exchange = new CallExchange(context, request);
    this.#ending = new CallEnding({ context, request, countRuns: () => this.#possibleRuns });
  }

  async serve(): Promise<string> {
    const { crashBlame, retryBudget, serverReach, logs } = this.#context;
    const { content, service, signal, isOver, metadata, route, relayed } = this.#request;
    if (admitRequest(this.#context, this.#request) === 'refuse')
      return this.#ending.refuse('crashes_servers', RETRY_AFTER_BLOCKED_SECONDS);
    if (!relayed) retryBudget.recordFirstAttempt(service.name);
    for (;;) {
      if (isOver()) return this.#ending.sendTimeout();
      if (serverReach.isCut) return this.#serveWhileCut();
      const server = this.#chooseServer();
      if (!server) {
        if (this.#lastFailure) return this.#ending.complete(this.#lastFailure);
        return this.#possibleRuns > 0
          ? this.#ending.sendUnknownOutcome()
          : this.#refuseWithoutServer();
      }
      logs('routing').info('Backend server chosen.', {
        requestId: metadata.requestId,
        server: server.entry.id,
        own: server.ownLoad.requests,
        others: server.peerLoad.requests,
        expectedMilliseconds: Math.round(
          this.#context.callTimes.expectedMilliseconds(server.entry.id),
        ),
        fleetRevision: this.#context.fleet.revision,
      });
      const result = await this.#attempt(server);
      if (signal.aborted) return this.#ending.sendTimeout();
      if (result.kind === 'answered' && isGood(result))
        return this.#ending.complete(result.response);
      const canRepeat = isIdempotent(route) || this.#possibleRuns === 0;
      const isContentAllowed = !crashBlame.isBlocked(content);
      const isWithinLimits =
        this.#possibleRuns < Math.max(1, route.maximumAttempts) &&
        this.#refusedAttempts <= MAXIMUM_REFUSED_ATTEMPTS;
      const isRetried =
        canRepeat && isContentAllowed && isWithinLimits && retryBudget.tryAcquire(service.name);
      logs('routing').info(isRetried ? 'Retrying request.' : 'Request failed; not retrying.', {
        requestId: metadata.requestId,
        after: result.kind,
        message:
          result.kind === 'answered'
            ? `The backend server responded with status ${result.response.status}.`
            : result.message,
        server: server.entry.id,
        runs: this.#possibleRuns,
        refusedTries: this.#refusedAttempts,
      });
      if (!isRetried) {
        if (this.#lastFailure) return this.#ending.complete(this.#lastFailure);
        return this.#possibleRuns > 0
          ? this.#ending.sendUnknownOutcome()
          : this.#ending.refuse('servers_full', RETRY_AFTER_FULL_SECONDS);
      }
    }
  }

  /** Chooses the backend server with the lowest expected time, weighted by load and data centre. */
  #chooseServer(): FleetServer | undefined {
    const { fleet, outlierEjection, callTimes, dataCentre, serverLimits, serverPace } =
      this.#context;
    const servers = fleet
      .listForService(this.#request.service.name)
      .filter(({ entry }) => !this.#triedServerIds.has(entry.id))
      .filter(({ entry }) => serverLimits.hasRoom(entry.id))
      .filter((server) => getAvailability(server, performance.now()) !== 'closed');
    const notEjected = servers.filter(({ entry }) => !outlierEjection.isEjected(entry.id));
    // When all are ejected, a request that may be repeated is still tried on one of them.
    const reachable =
      notEjected.length > 0 || !isIdempotent(this.#request.route) ? notEjected : servers;
    return chooseReplica({ replicas: reachable, dataCentre, callTimes, serverPace });
  }

  /**
   * Sends the call to a backend server, and to another one beside it if that takes far longer than expected.
   * The first good answer counts; a bad one only if no other attempt is open.
   */
  #attempt(first: FleetServer): Promise<CallResult> {
    const open = new Set<AbortController>();
    return new Promise((resolve) => {
      // Without a server, a peer is asked.
      const start = (server: FleetServer | undefined): AbortController => {
        const controller = new AbortController();
        open.add(controller);
        if (server) this.#triedServerIds.add(server.entry.id);
        const sent = server
          ? this.#exchange.send(server, controller.signal)
          : this.#sendToPeer(first.entry, controller.signal);
        void sent.then((result) => {
          open.delete(controller);
          this.#recordResult(server?.entry, result);
          if (!isGood(result) && open.size > 0) return;
          cancelTimer();
          // A server that was beaten by one that was asked later is slow; the later one is not.
          open.forEach((other) => other.abort(other === firstAttempt ? 'beaten' : 'notNeeded'));
          resolve(result);
        });
        return controller;
      };
      const cancelTimer = this.#watchForLateness(first, open, start);
      const firstAttempt = start(first);
    });
  }

  /**
   * Passes the call on to a peer while it is open at a server.
   *
   * @returns The answer of a server that the peer used; a peer's own word is no answer.
   */
  async #sendToPeer(first: ServerEntry, signal: AbortSignal): Promise<CallResult> {
    const answer = await this.#passOn([...this.#processKeys, getProcessKey(first)], signal);
    if (answer.kind === 'none') return { kind: 'notRun', message: 'No peer took the call.' };
    if (answer.kind === 'ended') return { kind: 'unknown', message: answer.response.message };
    if (answer.kind === 'lost') return { kind: 'unknown', message: answer.message };
    try {
      return {
        kind: 'answered',
        response: await readPeerAnswer(answer, this.#request),
      };
    } catch (error) {
      return { kind: 'unknown', message: getErrorMessage(error) };
    }
  }

  #passOn(
    processKeys: readonly string[],
    signal: AbortSignal = this.#request.signal,
  ): Promise<PeerAnswer> {
    const { metadata } = this.#request;
    const request = { ...this.#request, signal: AbortSignal.any([this.#request.signal, signal]) };
    return this.#context.peerRelay.relay(request, {
      processKeys,
      lastEventId: metadata.lastEventId,
    });
  }

  #recordResult(entry: ServerEntry | undefined, result: CallResult): void {
    if (result.kind === 'answered' && !isGood(result)) this.#lastFailure = result.response;
    if (result.kind === 'notRun') this.#refusedAttempts += 1;
    else {
      this.#possibleRuns += 1;
      if (entry) this.#processKeys.add(getProcessKey(entry));
    }
  }

  /**
   * Starts another attempt once the first one takes far longer than expected and nothing speaks against
   * another one; looks again while something does, or when the other one was refused.
   *
   * @returns A function that ends the watch.
   */
  #watchForLateness(
    first: FleetServer,
    open: ReadonlySet<unknown>,
    start: (server: FleetServer | undefined) => void,
  ): () => void {
    if (!isIdempotent(this.#request.route)) return () => undefined;
    const expectedMilliseconds = this.#context.callTimes.expectedMilliseconds(first.entry.id);
    let cancel: () => void;
    const watch = (milliseconds: number): void => {
      cancel = startPatientTimer(milliseconds, () => {
        const isAlone = open.size === 1;
        const mayTry = isAlone && this.#decideOnLateness(first.entry).kind === 'tryBeside';
        const other = mayTry && !this.#context.serverReach.isCut ? this.#chooseServer() : undefined;
        if (mayTry) start(other);
        watch(2 * milliseconds);
      });
    };
    watch(Math.max(MINIMUM_LATENESS_MILLISECONDS, LATENESS_FACTOR * expectedMilliseconds));
    return () => cancel();
  }

  #decideOnLateness({ id }: ServerEntry): SuspicionDecision {
    const { crashBlame, retryBudget, serverReach, peerRelay, logs } = this.#context;
    const { content, route, service, metadata, relayed } = this.#request;
    const decision = decideOnSuspicion({
      // An end breaks the connection, and so the attempt, by itself.
      hasServerEnded: false,
      mayRunAgain:
        !crashBlame.isBlocked(content) &&
        this.#possibleRuns + 1 < route.maximumAttempts &&
        this.#refusedAttempts <= MAXIMUM_REFUSED_ATTEMPTS,
      hasAlternative: () =>
        serverReach.isCut ? !relayed && peerRelay.hasPeer : this.#chooseServer() !== undefined,
      acquireRetry: () => retryBudget.tryAcquire(service.name),
    });
    logs('routing').info('Decided on a late call.', {
      requestId: metadata.requestId,
      server: id,
      decision: decision.kind,
      lacking: decision.kind === 'wait' ? decision.lacking : undefined,
    });
    return decision;
  }

  /** Lets a peer serve the call, unless this instance is itself the peer of another one. */
  async #serveWhileCut(): Promise<string> {
    const answer: PeerAnswer = this.#request.relayed
      ? { kind: 'none' }
      : await this.#passOn([...this.#processKeys]);
    if (this.#request.signal.aborted) return this.#ending.sendTimeout();
    if (answer.kind === 'none') return this.#endWithoutPeer();
    if (answer.kind === 'ended') return this.#ending.sendPeerResponse(answer.response);
    this.#possibleRuns += 1;
    if (answer.kind === 'lost') return this.#ending.sendUnknownOutcome();
    return this.#ending.completeFromPeer(answer);
  }

  #endWithoutPeer(): string {
    if (this.#lastFailure) return this.#ending.complete(this.#lastFailure);
    return this.#possibleRuns > 0
      ? this.#ending.sendUnknownOutcome()
      : this.#ending.refuse('servers_unreachable', RETRY_AFTER_CUT_SECONDS);
  }

  #refuseWithoutServer(): string {
    const { fleet, serverLimits, outlierEjection, logs } = this.#context;
    const servers = fleet.listForService(this.#request.service.name);
    const room = findExpectedRoom({ servers, serverLimits, now: performance.now() });
    logs('routing').info('No backend server can be used.', {
      requestId: this.#request.metadata.requestId,
      servers: servers.length,
      expectedRoom: room,
      ejections: outlierEjection.counts,
      fleetRevision: fleet.revision,
    });
    return room
      ? this.#ending.refuse(room.code, room.seconds)
      : this.#ending.refuse('no_server', RETRY_AFTER_NO_SERVER_SECONDS);
  }
}

/**
 * Serves a call until it has an outcome.
 *
 * @param context - What the instance shares between requests.
 * @param request - The request, which the response is written to as well.
 * @returns The outcome, as counted in the metrics.
 */
export function relayCall(context: EntryContext, request: EntryRequest): Promise<string> {
  return new CallRelay(context, request).serve();
}
