/**
 * Another attempt of a stream beside one whose engines are suspected of having stalled. It takes over once it
 * has begun to answer; until then the suspected one stays open, and an event of it cancels the replacement.
 */
import { startPatientTimer } from '../common/patient-timer.js';
import type { FleetServer } from '../fleet/backend-fleet.js';
import type { EngineChain } from './chain-selector.js';
import type { PeerAnswer } from './peer-relay.js';
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

/** Options of {@link startEngineReplacement}. */
export interface EngineReplacementOptions {
  readonly exchange: StreamExchange;
  readonly chain: EngineChain;
  readonly firstEngine: FleetServer;
  /** Releases the chain's reservation. */
  readonly release: () => void;
  /** Ends it as well; the signal of the request. */
  readonly signal: AbortSignal;
  /** Called when it failed or was cancelled. */
  readonly onFailed: (result: FailedReplacement) => void;
}

/** A replacement that has not begun after this long is given up, so that another one can be tried. */
const BEGIN_TIMEOUT_MILLISECONDS = 2000;

async function beginAtEngine(
  { exchange, chain, firstEngine }: EngineReplacementOptions,
  signal: AbortSignal,
): Promise<AcceptedStream | FailedReplacement> {
  try {
    const opened = await exchange.open(chain, firstEngine, signal);
    if (opened.kind === 'notRun') return opened;
    if (opened.status < 300 && (await opened.chunks.hasBegun())) return opened;
    const message = `The replacement was answered with status ${opened.status} and no event.`;
    return { kind: 'broken', engineIdsToAvoid: [firstEngine.entry.id], message };
  } catch (error) {
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
  const { chain, firstEngine, release, signal, onFailed } = options;
  const controller = new AbortController();
  const isAborted = (): boolean => controller.signal.aborted || signal.aborted;
  const begin = async (): Promise<BegunStream | undefined> => {
    const cancelTimer = startPatientTimer(BEGIN_TIMEOUT_MILLISECONDS, () => controller.abort());
    const result = await beginAtEngine(options, AbortSignal.any([controller.signal, signal]));
    cancelTimer();
    if (result.kind === 'accepted' && !isAborted())
      return { kind: 'engine', chain, firstEngine, stream: result, controller, release };
    controller.abort();
    release();
    onFailed(
      result.kind === 'accepted' || isAborted()
        ? { kind: 'broken', engineIdsToAvoid: [], message: 'The replacement was cancelled.' }
        : result,
    );
    return undefined;
  };
  return { begun: begin(), cancel: () => controller.abort() };
}

/**
 * Waits for a peer that a stream is passed on to, to go on after the last event that the caller has.
 *
 * @param answer - The peer's answer.
 * @param onLost - Called with the peer's name if the stream may have run there without an answer.
 * @returns The replacement, under way.
 */
export function startPeerReplacement(
  answer: Promise<PeerAnswer>,
  onLost: (peer: string) => void,
): StreamReplacement {
  let isCancelled = false;
  const begin = async (): Promise<BegunPeerStream | undefined> => {
    const result = await answer;
    if (result.kind === 'served' && !isCancelled) return { kind: 'peer', answer: result };
    if (result.kind === 'served') result.message.destroy();
    if (result.kind === 'served' || result.kind === 'lost') onLost(result.peer);
    return undefined;
  };
  return {
    begun: begin(),
    cancel: () => {
      isCancelled = true;
    },
  };
}
