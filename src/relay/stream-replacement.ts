/**
 * Another attempt of a stream beside one whose engines are suspected of having stalled. It takes over once it
 * has begun to answer; until then the suspected one stays open, and anything that it sends cancels the replacement.
 */
import type { FleetServer } from '../fleet/fleet-server.js';
import type { EngineChain } from './chain-selector.js';
import type { PeerAnswer } from './peer-answer.js';
import type { AcceptedStream, AttemptResult, StreamExchange } from './stream-exchange.js';

/** How a replacement failed before it began to answer. */
export type FailedReplacement = Extract<AttemptResult, { kind: 'notRun' | 'broken' }>;

/** A stream that an engine has begun to answer. */
export interface BegunStream {
  readonly kind: 'engine';
  readonly chain: EngineChain;
  readonly firstEngine: FleetServer;
  readonly stream: AcceptedStream;
  /** Ends the exchange. */
  readonly controller: AbortController;
  /** Releases the chain's reservation. */
  readonly release: () => void;
}

/** A stream that a peer has begun to answer. */
export interface BegunPeerStream {
  readonly kind: 'peer';
  readonly answer: Extract<PeerAnswer, { kind: 'served' }>;
}

/** What a stream goes on with after its attempt was replaced. */
export type Begun = BegunStream | BegunPeerStream;

/** A replacement that is under way. */
export interface StreamReplacement {
  /** Resolves once it has begun to answer; undefined if it failed or was cancelled. */
  readonly begun: Promise<Begun | undefined>;
  cancel(): void;
}

/**
 * Ends an exchange that is not to be gone on with.
 *
 * @param begun - The exchange.
 */
export function discard(begun: Begun): void {
  if (begun.kind === 'peer') begun.answer.message.destroy();
  else {
    begun.controller.abort();
    begun.release();
  }
}

/**
 * Whether an attempt beside an open one is of use: not where its first engine is `silent` as well, nor where that of the
 * open one `answers` again.
 */
export type ReplacementCheck = 'useful' | 'silent' | 'openOneAnswers';

/** Options of {@link startEngineReplacement}. */
export interface EngineReplacementOptions {
  readonly exchange: StreamExchange;
  readonly chain: EngineChain;
  readonly firstEngine: FleetServer;
  /** Releases the chain's reservation. */
  readonly release: () => void;
  /** Finds out whether the attempt is of use now. */
  readonly check: () => Promise<ReplacementCheck>;
  /** Ends it as well; the signal of the request. */
  readonly signal: AbortSignal;
  /** Called when it was cancelled after it had been sent, so that it may have run. */
  readonly onCancelled: () => void;
  /** Called when it failed. */
  readonly onFailed: (result: FailedReplacement) => void;
}

interface CancelledReplacement {
  readonly kind: 'cancelled';
  readonly wasSent: boolean;
}

async function beginAtEngine(
  { exchange, chain, firstEngine, check }: EngineReplacementOptions,
  signal: AbortSignal,
): Promise<AcceptedStream | FailedReplacement | CancelledReplacement> {
  const engineIdsToAvoid = [firstEngine.entry.id];
  const checked = await check();
  if (checked === 'silent')
    return { kind: 'notRun', engineIdsToAvoid, message: 'The engine does not answer either.' };
  if (checked === 'openOneAnswers' || signal.aborted) return { kind: 'cancelled', wasSent: false };
  try {
    const opened = await exchange.open(chain, firstEngine, signal);
    if (opened.kind === 'notRun') return opened;
    const message = `The replacement was answered with status ${opened.status}.`;
    if (opened.status >= 300) return { kind: 'broken', engineIdsToAvoid, message };
    // A body that ends here may be the rest of a stream of which only the end was missing.
    await opened.chunks.hasBegun();
    return signal.aborted ? { kind: 'cancelled', wasSent: true } : opened;
  } catch (error) {
    // An exchange that this instance ends itself says nothing of the engine.
    if (signal.aborted) return { kind: 'cancelled', wasSent: true };
    return exchange.classifyError(firstEngine.entry, error);
  }
}

/**
 * Sends a stream over another chain, to go on after the last event that the caller has.
 *
 * @param options - The chain.
 * @returns The replacement, under way.
 */
export function startEngineReplacement(options: EngineReplacementOptions): StreamReplacement {
  const { chain, firstEngine, release, signal, onCancelled, onFailed } = options;
  const controller = new AbortController();
  const begin = async (): Promise<BegunStream | undefined> => {
    const result = await beginAtEngine(options, AbortSignal.any([controller.signal, signal]));
    if (result.kind === 'accepted')
      return { kind: 'engine', chain, firstEngine, stream: result, controller, release };
    controller.abort();
    release();
    if (result.kind !== 'cancelled') onFailed(result);
    else if (result.wasSent) onCancelled();
    return undefined;
  };
  return { begun: begin(), cancel: () => controller.abort() };
}

/**
 * Passes a stream on to a peer, to go on after the last event that the caller has.
 *
 * @param passOn - Passes it on; the signal ends the exchange.
 * @param onLost - Called with the peer's name if the stream may have run there without an answer.
 * @returns The replacement, under way.
 */
export function startPeerReplacement(
  passOn: (signal: AbortSignal) => Promise<PeerAnswer>,
  onLost: (peer: string) => void,
): StreamReplacement {
  const controller = new AbortController();
  const begin = async (): Promise<BegunPeerStream | undefined> => {
    const answer = await passOn(controller.signal);
    const isUsable = answer.kind === 'served' && answer.status < 300;
    if (isUsable && !controller.signal.aborted) return { kind: 'peer', answer };
    if (answer.kind === 'served') answer.message.destroy();
    if (answer.kind === 'served' || answer.kind === 'lost') onLost(answer.peer);
    return undefined;
  };
  return { begun: begin(), cancel: () => controller.abort() };
}
