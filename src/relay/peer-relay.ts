/**
 * Passes requests on to a peer while this instance reaches no backend server. What a peer serves is given up
 * only if the peer is shown to have ended; beside one that is silent, another peer is tried.
 */
import { HttpRequestError, getErrorMessage } from '../common/http-client.js';
import type { PeerRecord } from '../gossip/peer-record.js';
import type { Logger } from '../telemetry/log.js';
import { sendBackendRequest } from './backend-request.js';
import type { RequestContent } from '../evidence/blocked-parts.js';
import { isIdempotent, type EntryRequest } from '../entry/entry-request.js';
import { decideOnSuspicion } from '../evidence/exchange-suspicion.js';
import { isDeclined, isRefusal, readLocalResponse, type PeerAnswer } from './peer-answer.js';
import { choosePeer } from './peer-choice.js';
import { ForeignResponseError } from '../evidence/response-origin.js';
import { watchSilence } from '../evidence/peer-silence.js';
import { decideOnPeer, type PeerDecision } from '../evidence/peer-suspicion.js';
import type { ProtocolAdapter } from '../entry/protocol-adapter.js';
import { encodeRelayedRequest, RELAY_HEADER, type RelayedRequest } from './relayed-request.js';
import { listEndToEndHeaders } from '../entry/request-headers.js';

/** Options of {@link PeerRelay}. */
export interface PeerRelayOptions {
  readonly instance: string;
  readonly listPeers: () => readonly PeerRecord[];
  readonly configurationVersion: () => number;
  readonly protocol: ProtocolAdapter;
  /** Whether requests like this one must not be run again. */
  readonly isBlocked: (content: RequestContent) => boolean;
  /** Takes a retry of a service's budget; false if none is left. */
  readonly acquireRetry: (service: string) => boolean;
  /** Whether a request may be sent on now; see `send-permission`. */
  readonly maySend: (request: EntryRequest) => Promise<boolean>;
  readonly log: Logger;
}

/** How far this instance has come with a request. */
export interface RelayProgress {
  /** Processes of servers that may have run it. */
  readonly processKeys: readonly string[];
  /** The last event that the caller has. */
  readonly lastEventId: number | undefined;
  /** Peers that are not asked. */
  readonly excludedPeers?: readonly string[];
}

/** An exchange with a peer that seems to be silent. */
export interface SilentExchange {
  readonly peer: string;
  /** The process of the peer that the request was sent to. */
  readonly incarnation: number;
  readonly silenceMilliseconds: number;
  /** What may have run the request: processes of servers, and peers. */
  readonly processKeys: readonly string[];
  readonly excludedPeers: Iterable<string>;
}

const MAXIMUM_PEERS_TRIED = 3;

/** How far a request has come that is being passed on; both sets grow. */
interface WatchedProgress {
  readonly processKeys: Set<string>;
  readonly lastEventId: number | undefined;
  readonly excluded: Set<string>;
}

/** A request that is open at a peer, or was. */
interface SentRequest {
  readonly peer: PeerRecord;
  readonly answer: Promise<PeerAnswer>;
  abort(): void;
}

function buildHeaders(request: EntryRequest, relayed: RelayedRequest): string[] {
  const headers = listEndToEndHeaders(request.incoming.rawHeaders)
    .filter(([name]) => name.toLowerCase() !== RELAY_HEADER)
    .flat();
  headers.push(RELAY_HEADER, encodeRelayedRequest(relayed));
  headers.push('Content-Length', String(request.body.length));
  // Naming the header here keeps the peer from relaying it.
  headers.push('Connection', `close, ${RELAY_HEADER}`);
  return headers;
}

export class PeerRelay {
  readonly #options: PeerRelayOptions;

  /** Requests that are open at a peer, by its instance name. */
  readonly #open = new Map<string, Set<AbortController>>();

  constructor(options: PeerRelayOptions) {
    this.#options = options;
  }

  /** Whether some peer can take a request now. */
  get hasPeer(): boolean {
    return this.#choose(new Set()) !== undefined;
  }

  /**
   * Passes a request on to a peer, and to further ones as long as it is certain that it didn't run, or where it
   * may run again.
   *
   * @param request - The request; its signal ends the exchange, also while the answer's body is read.
   * @param progress - How far this instance has come with it.
   * @returns The answer of the first peer that took the request; otherwise the last refusal, which is left out
   *   for a request that may have run before, since it states that the request has not.
   */
  async relay(request: EntryRequest, progress: RelayProgress): Promise<PeerAnswer> {
    const excluded = new Set(progress.excludedPeers);
    const processKeys = new Set(progress.processKeys);
    let last: PeerAnswer = { kind: 'none' };
    let lost: PeerAnswer | undefined;
    for (let tried = 0; tried < MAXIMUM_PEERS_TRIED && !request.signal.aborted; tried += 1) {
      const peer = this.#choose(excluded);
      if (!peer) break;
      excluded.add(peer.instance);
      const { lastEventId } = progress;
      const answer = await this.#sendWatched(peer, request, { processKeys, lastEventId, excluded });
      if (answer.kind === 'served') {
        const otherPeers = [...processKeys].slice(new Set(progress.processKeys).size);
        return { ...answer, otherPeers };
      }
      if (answer.kind !== 'none') last = answer;
      if (answer.kind === 'ended' && !isDeclined(answer.response)) break;
      if (answer.kind === 'lost') {
        lost = answer;
        processKeys.add(answer.peer);
        if (!this.mayGoOn(request, [...processKeys], excluded)) break;
      }
    }
    if (lost) return last.kind === 'ended' && !isRefusal(last) ? last : lost;
    return processKeys.size > 0 && isRefusal(last) ? { kind: 'none' } : last;
  }

  /**
   * Takes a retry to pass a request on once more after an exchange has failed, if that is allowed.
   *
   * @param processKeys - What may have run the request: processes of servers, and peers.
   * @param excludedPeers - Peers that are not asked.
   */
  mayGoOn(
    request: EntryRequest,
    processKeys: readonly string[],
    excludedPeers: Iterable<string>,
  ): boolean {
    const decision = decideOnSuspicion({
      hasServerEnded: false,
      mayRunAgain: !request.signal.aborted && this.#mayRunAgain(request, processKeys),
      hasAlternative: () => this.#choose(new Set(excludedPeers)) !== undefined,
      acquireRetry: () => this.#options.acquireRetry(request.service.name),
    });
    return decision.kind === 'tryBeside';
  }

  /**
   * Decides what becomes of an exchange on which no byte has arrived for a while.
   *
   * @param request - The request.
   * @param exchange - The exchange.
   * @returns The decision; a retry has been taken only for `tryBeside`.
   */
  decide(request: EntryRequest, exchange: SilentExchange): PeerDecision {
    const { listPeers, acquireRetry, log } = this.#options;
    const { peer, incarnation, silenceMilliseconds, processKeys, excludedPeers } = exchange;
    const record = listPeers().find(({ instance }) => instance === peer);
    const decision = decideOnPeer({
      hasPeerEnded: record !== undefined && record.incarnation > incarnation,
      areRecordsLate: record === undefined,
      silenceMilliseconds,
      mayRunAgain: this.#mayRunAgain(request, processKeys),
      hasOtherPeer: () => this.#choose(new Set(excludedPeers)) !== undefined,
      acquireRetry: () => acquireRetry(request.service.name),
    });
    if (decision.kind !== 'wait')
      log.info('Decided on a silent peer.', {
        requestId: request.metadata.requestId,
        peer,
        decision: decision.kind,
        silenceMilliseconds: Math.round(silenceMilliseconds),
      });
    return decision;
  }

  #mayRunAgain({ route, content }: EntryRequest, processKeys: readonly string[]): boolean {
    const isWithinLimit = processKeys.length < Math.max(1, route.maximumAttempts);
    return isIdempotent(route) && isWithinLimit && !this.#options.isBlocked(content);
  }

  /** Sends a request to a peer, and to another one beside it while that is silent. */
  async #sendWatched(
    peer: PeerRecord,
    request: EntryRequest,
    { processKeys, lastEventId, excluded }: WatchedProgress,
  ): Promise<PeerAnswer> {
    const first = this.#send(peer, request, { processKeys: [...processKeys], lastEventId });
    return new Promise((resolve) => {
      let beside: SentRequest | undefined;
      const tryBeside = (): void => {
        const other = this.#choose(excluded);
        if (!other) return;
        excluded.add(other.instance);
        processKeys.add(peer.instance);
        beside = this.#send(other, request, { processKeys: [...processKeys], lastEventId });
        void beside.answer.then((answer) => {
          if (answer.kind === 'lost') processKeys.add(answer.peer);
          if (answer.kind !== 'served') return;
          stopWatch();
          resolve(answer);
          first.abort();
        });
      };
      const stopWatch = watchSilence({
        countBytes: () => 0,
        onCheck: (silenceMilliseconds) => {
          const { instance, incarnation } = peer;
          if (beside) return;
          const { kind } = this.decide(request, {
            peer: instance,
            incarnation,
            silenceMilliseconds,
            processKeys: [...processKeys, instance],
            excludedPeers: excluded,
          });
          if (kind === 'end') first.abort();
          if (kind === 'tryBeside') tryBeside();
        },
      });
      void first.answer.then(async (answer) => {
        stopWatch();
        const isFailed = answer.kind === 'lost' || answer.kind === 'none';
        if (!isFailed) beside?.abort();
        const other = isFailed ? await beside?.answer : undefined;
        const isOtherBetter = other && (other.kind === 'served' || answer.kind === 'none');
        resolve(isOtherBetter ? other : answer);
      });
    });
  }

  #choose(excluded: ReadonlySet<string>): PeerRecord | undefined {
    return choosePeer({
      peers: this.#options.listPeers(),
      excluded,
      configurationVersion: this.#options.configurationVersion(),
      countOpen: (instance) => this.#open.get(instance)?.size ?? 0,
    });
  }

  #send(peer: PeerRecord, request: EntryRequest, progress: RelayProgress): SentRequest {
    const controller = this.#openAt(peer.instance, request);
    const signal = AbortSignal.any([request.signal, controller.signal]);
    const answer = this.#exchange(peer, request, progress, signal);
    void answer.then(({ kind }) => kind !== 'served' && controller.abort());
    return { peer, answer, abort: () => controller.abort() };
  }

  async #exchange(
    peer: PeerRecord,
    request: EntryRequest,
    { processKeys, lastEventId }: RelayProgress,
    signal: AbortSignal,
  ): Promise<PeerAnswer> {
    const { instance, configurationVersion, protocol, maySend, log } = this.#options;
    if (!(await maySend(request))) return { kind: 'none' };
    const { incoming, body, path, deadline, metadata } = request;
    const relayed: RelayedRequest = {
      from: instance,
      configurationVersion: configurationVersion(),
      remainingMilliseconds: Math.max(1, Math.floor(deadline - performance.now())),
      processKeys: [...processKeys],
      lastEventId,
    };
    const { requestId } = metadata;
    log.info('Passing the request on to a peer.', { requestId, peer: peer.instance, ...relayed });
    try {
      const message = await sendBackendRequest({
        address: peer.peers,
        method: incoming.method ?? 'GET',
        target: path,
        headers: buildHeaders(request, relayed),
        body,
        signal,
        isOver: request.isOver,
      });
      const status = message.statusCode ?? 0;
      const answered = protocol.parseResponseHeaders(message.headers, status);
      if (answered.requestId !== requestId)
        throw new ForeignResponseError('The answer of the peer lacks the id of the request.');
      if (answered.isSigned)
        return {
          kind: 'served',
          peer: peer.instance,
          incarnation: peer.incarnation,
          status,
          message,
          otherPeers: [],
        };
      const response = await readLocalResponse(message);
      log.info('The peer ended the request.', { requestId, peer: peer.instance, ...response });
      return { kind: 'ended', peer: peer.instance, response };
    } catch (error) {
      const didNotRun = error instanceof HttpRequestError && error.phase === 'connecting';
      const message = getErrorMessage(error);
      log.info('The peer did not answer the request.', {
        requestId,
        peer: peer.instance,
        didNotRun,
        message,
      });
      return didNotRun ? { kind: 'none' } : { kind: 'lost', peer: peer.instance, message };
    }
  }

  /** Counts a request as open at a peer until it is aborted or its response to the caller is done. */
  #openAt(peer: string, { response }: EntryRequest): AbortController {
    const controller = new AbortController();
    const open = this.#open.get(peer) ?? new Set();
    this.#open.set(peer, open.add(controller));
    const abort = (): void => controller.abort();
    response.once('close', abort);
    const release = (): void => {
      open.delete(controller);
      response.off('close', abort);
    };
    controller.signal.addEventListener('abort', release, { once: true });
    return controller;
  }
}
