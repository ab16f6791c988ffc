/**
 * Relays a stream that a peer serves. When the peer is lost in the middle, or falls silent, a stream that may
 * be resumed goes on at another peer after its last event. A silent peer stays open beside the other one until
 * that has begun to answer: it may only have paused.
 */
import { getErrorMessage } from '../common/http-client.js';
import type { Logger } from '../telemetry/log.js';
import type { CallerStream } from './caller-stream.js';
import type { EntryRequest } from '../entry/entry-request.js';
import type { PeerAnswer } from './peer-answer.js';
import type { PeerRelay, RelayProgress } from './peer-relay.js';
import { watchSilence } from '../evidence/peer-silence.js';
import type { AttemptResult, StreamExchange } from './stream-exchange.js';
import {
  discard,
  startPeerReplacement,
  type Begun,
  type StreamReplacement,
} from './stream-replacement.js';

type ServedAnswer = Extract<PeerAnswer, { kind: 'served' }>;

/** Options of {@link relayPeerStream}. */
export interface PeerStreamOptions {
  readonly request: EntryRequest;
  readonly caller: CallerStream;
  readonly exchange: StreamExchange;
  readonly peerRelay: PeerRelay;
  /** Processes of servers that may have run the request, without those that peers used. */
  readonly processKeys: readonly string[];
  /** The first peer's answer, whose body has not been read. */
  readonly answer: ServedAnswer;
  readonly log: Logger;
}

/** The stream's result, or the peers that may have run it where it broke off for good. */
export type PeerStreamResult =
  AttemptResult | { readonly kind: 'lost'; readonly peers: readonly string[] };

/** An attempt beside a silent one. */
interface AttemptBeside {
  readonly replacement: StreamReplacement;
  /** The event after which it resumes. */
  readonly lastEventId: number | undefined;
  /** What the silent peer had sent when it began. */
  readonly bytesRead: number;
}

class PeerStream {
  readonly #options: PeerStreamOptions;

  /** Peers that served the stream, or may have. */
  readonly #peers: string[] = [];

  #beside: AttemptBeside | undefined;

  constructor(options: PeerStreamOptions) {
    this.#options = options;
  }

  async relay(): Promise<PeerStreamResult> {
    const { request, exchange, answer, log } = this.#options;
    let current: ServedAnswer | undefined = answer;
    while (current) {
      const { peer, message, status, otherPeers }: ServedAnswer = current;
      this.#peers.push(...otherPeers, peer);
      const stopWatch = this.#watch(current);
      try {
        const result = await exchange.relayFromPeer(message, status);
        this.#endBeside();
        return result;
      } catch (error) {
        message.destroy();
        log.info('The answer of the peer broke off.', {
          requestId: request.metadata.requestId,
          peer,
          lastEventId: this.#options.caller.lastEventId,
          message: getErrorMessage(error),
        });
      } finally {
        stopWatch();
      }
      current = await this.#takeNext();
    }
    return { kind: 'lost', peers: this.#peers };
  }

  /** What may have run the stream. */
  get #processKeys(): string[] {
    return [...this.#options.processKeys, ...this.#peers];
  }

  /** Tries another peer beside one that is silent, and ends an exchange whose peer has ended. */
  #watch({ peer, incarnation, message }: ServedAnswer): () => void {
    const { request, peerRelay } = this.#options;
    return watchSilence({
      countBytes: () => message.socket.bytesRead,
      onCheck: (silenceMilliseconds) => {
        const hasProgressed = this.#beside && message.socket.bytesRead !== this.#beside.bytesRead;
        if (hasProgressed) this.#endBeside();
        // Nothing is read while the caller's connection is congested.
        if (this.#beside || request.response.writableNeedDrain) return;
        const exchange = { peer, incarnation, silenceMilliseconds };
        const processKeys = this.#processKeys;
        const { kind } = peerRelay.decide(request, {
          ...exchange,
          processKeys,
          excludedPeers: this.#peers,
        });
        if (kind === 'end') message.destroy();
        if (kind === 'tryBeside') void this.#tryBeside(message);
      },
    });
  }

  async #tryBeside(silent: ServedAnswer['message']): Promise<void> {
    const { lastEventId } = this.#options.caller;
    const { bytesRead } = silent.socket;
    const replacement = startPeerReplacement(
      (signal) => this.#passOn(signal),
      (peer) => this.#peers.push(peer),
    );
    const beside = { replacement, lastEventId, bytesRead };
    this.#beside = beside;
    const begun = await replacement.begun;
    // Whoever ends the attempt that is relayed takes the other one.
    if (this.#beside !== beside) return;
    if (silent.socket.bytesRead !== bytesRead) this.#endBeside();
    else if (begun) silent.destroy();
    else this.#beside = undefined;
  }

  #endBeside(): void {
    const replacement = this.#beside?.replacement;
    this.#beside = undefined;
    replacement?.cancel();
    void replacement?.begun.then((begun) => begun && this.#discard(begun));
  }

  #discard(begun: Begun): void {
    if (begun.kind === 'peer') this.#peers.push(begun.answer.peer);
    discard(begun);
  }

  /** Returns what the stream goes on with after an exchange has failed. */
  async #takeNext(): Promise<ServedAnswer | undefined> {
    const { request, caller, peerRelay } = this.#options;
    const beside = this.#beside;
    this.#beside = undefined;
    const begun = await beside?.replacement.begun;
    const goesOn = beside?.lastEventId === caller.lastEventId && !request.signal.aborted;
    if (begun?.kind === 'peer' && goesOn) return begun.answer;
    if (begun) this.#discard(begun);
    if (!peerRelay.mayGoOn(request, this.#processKeys, this.#peers)) return undefined;
    const answer = await this.#passOn(request.signal);
    if (answer.kind === 'lost') this.#peers.push(answer.peer);
    return answer.kind === 'served' ? answer : undefined;
  }

  #passOn(signal: AbortSignal): Promise<PeerAnswer> {
    const { request, caller, peerRelay } = this.#options;
    const progress: RelayProgress = {
      processKeys: this.#processKeys,
      lastEventId: caller.lastEventId,
      excludedPeers: [...this.#peers],
    };
    return peerRelay.relay(
      { ...request, signal: AbortSignal.any([request.signal, signal]) },
      progress,
    );
  }
}

/**
 * Relays a stream that a peer serves, until it is whole or nothing can go on with it.
 *
 * @param options - The stream.
 * @returns Its result.
 */
export function relayPeerStream(options: PeerStreamOptions): Promise<PeerStreamResult> {
  return new PeerStream(options).relay();
}
