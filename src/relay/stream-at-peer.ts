/** Lets a peer serve a stream while this instance reaches no backend server. */
import { sleep } from '../common/clock.js';
import type { CallerStream } from './caller-stream.js';
import type { EntryContext } from '../entry/entry-context.js';
import type { EntryRequest } from '../entry/entry-request.js';
import type { PeerAnswer } from './peer-answer.js';
import { relayPeerStream } from './peer-stream.js';
import type { StreamEnding } from './stream-ending.js';
import type { StreamExchange } from './stream-exchange.js';
import type { StreamLimits } from './stream-limits.js';
import type { StreamRuns } from './stream-runs.js';

/** Options of {@link StreamAtPeer}. */
export interface StreamAtPeerOptions {
  readonly context: EntryContext;
  readonly request: EntryRequest;
  readonly caller: CallerStream;
  readonly exchange: StreamExchange;
  readonly ending: StreamEnding;
  readonly runs: StreamRuns;
  readonly limits: StreamLimits;
  /** Decides whether the request goes on after a run that ended; the argument describes the run in the log. */
  readonly mayGoOn: (run: Readonly<Record<string, unknown>>) => boolean;
}

/** Callers come back to any instance, and others may reach the servers. */
const RETRY_AFTER_CUT_SECONDS = 0.2;
/** With which a peer says that the request may have run. */
const MAY_HAVE_RUN_STATUS = 502;
const PEER_RETRY_INTERVAL_MILLISECONDS = 300;

export class StreamAtPeer {
  readonly #options: StreamAtPeerOptions;

  constructor(options: StreamAtPeerOptions) {
    this.#options = options;
  }

  /**
   * Lets a peer serve the request, unless this instance is itself the peer of another one.
   *
   * @returns The request's outcome; undefined if it is to go on.
   */
  async serve(): Promise<string | undefined> {
    const { request, caller, ending, runs } = this.#options;
    const answer: PeerAnswer = request.relayed
      ? { kind: 'none' }
      : await this.passOn(runs.processKeys, request.signal);
    if (request.signal.aborted) return ending.sendTimeout();
    if (answer.kind === 'served') return this.relay(answer);
    if (answer.kind === 'none') return this.#handleNoPeer();
    if (answer.kind === 'ended') return this.#handlePeerResponse(answer);
    if (!caller.hasStarted) return ending.sendPeerLost();
    return this.#handleFault([answer.peer], answer.message);
  }

  /** Goes on after a failure of the one server on which the peer ran the request; passes other answers on. */
  #handlePeerResponse({
    peer,
    response,
  }: Extract<PeerAnswer, { kind: 'ended' }>): string | undefined {
    const { caller, ending } = this.#options;
    if (!caller.hasStarted && response.status !== MAY_HAVE_RUN_STATUS)
      return ending.sendPeerResponse(response);
    return this.#handleFault([peer], response.message, () => ending.sendPeerResponse(response));
  }

  /**
   * Relays the answer that a peer got for the request.
   *
   * @param answer - The answer.
   * @returns The request's outcome; undefined if the answer broke off and the request is to go on.
   */
  async relay(answer: Extract<PeerAnswer, { kind: 'served' }>): Promise<string | undefined> {
    const { context, request, caller, exchange, ending, runs } = this.#options;
    const result = await relayPeerStream({
      request,
      caller,
      exchange,
      peerRelay: context.peerRelay,
      processKeys: runs.processKeys,
      answer,
      log: context.logs('routing'),
    });
    if (result.kind === 'completed' || result.kind === 'answered')
      return ending.complete(result.kind);
    if (request.signal.aborted) return ending.sendTimeout();
    const peers = result.kind === 'lost' ? result.peers : [answer.peer];
    return this.#handleFault(peers, 'The answer of the peer broke off.');
  }

  /**
   * Passes the request on to a peer.
   *
   * @param processKeys - Processes of servers that may have run it.
   * @param signal - Ends the exchange, as the request's own signal does.
   * @returns What became of it.
   */
  passOn(processKeys: readonly string[], signal: AbortSignal): Promise<PeerAnswer> {
    const { context, request, caller } = this.#options;
    return context.peerRelay.relay(
      { ...request, signal: AbortSignal.any([request.signal, signal]) },
      { processKeys, lastEventId: caller.lastEventId },
    );
  }

  /** Waits before peers are asked once more, if the caller has a part of the answer. */
  async #handleNoPeer(): Promise<string | undefined> {
    const { request, caller, ending, limits } = this.#options;
    if (!caller.hasStarted || limits.proof)
      return ending.sendFailure('servers_unreachable', RETRY_AFTER_CUT_SECONDS);
    await sleep(PEER_RETRY_INTERVAL_MILLISECONDS, request.signal);
    return undefined;
  }

  /** Decides on a request that peers, or servers that they used, may have run in part. */
  #handleFault(
    peers: readonly string[],
    message: string,
    end: () => string = () => this.#options.ending.sendPeerLost(),
  ): string | undefined {
    const { runs, mayGoOn } = this.#options;
    peers.forEach((peer) => runs.record(peer, true));
    return mayGoOn({ after: 'peerLost', message, peers }) ? undefined : end();
  }
}
