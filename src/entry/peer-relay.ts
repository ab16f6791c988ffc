/** Passes requests on to a peer while this instance reaches no backend server. */
import type { IncomingMessage } from 'node:http';
import { z } from 'zod';
import { HttpRequestError, getErrorMessage } from '../common/http-client.js';
import type { PeerRecord } from '../gossip/peer-record.js';
import type { Logger } from '../telemetry/log.js';
import { readAnswer, sendBackendRequest } from './backend-request.js';
import type { EntryRequest } from './entry-request.js';
import type { LocalResponse } from './entry-response.js';
import { choosePeer } from './peer-choice.js';
import type { ProtocolAdapter } from './protocol-adapter.js';
import { encodeRelayedRequest, RELAY_HEADER, type RelayedRequest } from './relayed-request.js';
import { listEndToEndHeaders } from './request-headers.js';

/** Options of {@link PeerRelay}. */
export interface PeerRelayOptions {
  readonly instance: string;
  readonly listPeers: () => readonly PeerRecord[];
  readonly configurationVersion: () => number;
  readonly protocol: ProtocolAdapter;
  readonly log: Logger;
}

/** How far this instance has come with a request. */
export interface RelayProgress {
  /** Processes of servers that may have run it. */
  readonly processKeys: readonly string[];
  /** The last event that the caller has. */
  readonly lastEventId: number | undefined;
}

/** What became of a request that was passed on. */
export type PeerAnswer =
  /** A backend server's answer, whose body can be read from `message`. */
  | {
      readonly kind: 'served';
      readonly peer: string;
      readonly status: number;
      readonly message: IncomingMessage;
    }
  /** The peer ended the request itself. */
  | { readonly kind: 'ended'; readonly peer: string; readonly response: LocalResponse }
  /** The peer was lost; the request may have run. */
  | { readonly kind: 'lost'; readonly peer: string; readonly message: string }
  /** No peer took the request; it didn't run. */
  | { readonly kind: 'none' };

const MAXIMUM_PEERS_TRIED = 3;

/** Codes with which a peer refuses what another peer may be able to serve. */
const DECLINING_CODES: ReadonlySet<string> = new Set([
  'bad_relay',
  'no_configuration',
  'relay_full',
  'servers_unreachable',
  'stale_configuration',
  'stopping',
]);

const LocalResponseBody = z.object({
  error: z.object({ code: z.string(), message: z.string() }),
});

function isDeclined({ status, code }: LocalResponse): boolean {
  return status === 503 && DECLINING_CODES.has(code);
}

function isRefusal(answer: PeerAnswer): boolean {
  return answer.kind === 'ended' && answer.response.status === 503;
}

function mayHaveRunBefore({ processKeys }: RelayProgress): boolean {
  return processKeys.length > 0;
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

/** Reads a response that the peer created itself. */
async function readLocalResponse(message: IncomingMessage): Promise<LocalResponse> {
  const body = await readAnswer(message);
  const { error } = LocalResponseBody.parse(JSON.parse(body.toString()));
  const retryAfterSeconds = Number(message.headers['retry-after']);
  return {
    status: message.statusCode ?? 0,
    ...error,
    ...(Number.isFinite(retryAfterSeconds) ? { retryAfterSeconds } : {}),
  };
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
   * Gives up the requests that are open at a peer.
   *
   * @param instance - The peer, which is considered dead.
   */
  abandon(instance: string): void {
    this.#open.get(instance)?.forEach((controller) => controller.abort());
  }

  /**
   * Passes a request on to a peer, and to further ones as long as it is certain that it didn't run.
   *
   * @param request - The request; its signal ends the exchange, also while the answer's body is read.
   * @param progress - How far this instance has come with it.
   * @returns The answer of the first peer that took the request; otherwise the last refusal, which is left out
   *   for a request that may have run before, since it states that the request has not.
   */
  async relay(request: EntryRequest, progress: RelayProgress): Promise<PeerAnswer> {
    const excluded = new Set<string>();
    let last: PeerAnswer = { kind: 'none' };
    while (excluded.size < MAXIMUM_PEERS_TRIED && !request.signal.aborted) {
      const peer = this.#choose(excluded);
      if (!peer) break;
      excluded.add(peer.instance);
      const answer = await this.#send(peer, request, progress);
      const isFinal = answer.kind === 'ended' && !isDeclined(answer.response);
      if (answer.kind === 'served' || answer.kind === 'lost' || isFinal) {
        last = answer;
        break;
      }
      if (answer.kind === 'ended') last = answer;
    }
    return mayHaveRunBefore(progress) && isRefusal(last) ? { kind: 'none' } : last;
  }

  #choose(excluded: ReadonlySet<string>): PeerRecord | undefined {
    return choosePeer({
      peers: this.#options.listPeers(),
      excluded,
      configurationVersion: this.#options.configurationVersion(),
      countOpen: (instance) => this.#open.get(instance)?.size ?? 0,
    });
  }

  async #send(
    peer: PeerRecord,
    request: EntryRequest,
    { processKeys, lastEventId }: RelayProgress,
  ): Promise<PeerAnswer> {
    const { instance, configurationVersion, protocol, log } = this.#options;
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
        signal: this.#openAt(peer.instance, request),
      });
      const status = message.statusCode ?? 0;
      if (protocol.parseResponseHeaders(message.headers, status).isSigned)
        return { kind: 'served', peer: peer.instance, status, message };
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

  /** Counts a request as open at a peer until its response to the caller is done. */
  #openAt(peer: string, { response, signal }: EntryRequest): AbortSignal {
    const controller = new AbortController();
    const open = this.#open.get(peer) ?? new Set();
    this.#open.set(peer, open.add(controller));
    response.once('close', () => {
      open.delete(controller);
      controller.abort();
    });
    return AbortSignal.any([signal, controller.signal]);
  }
}
