/**
 * Finds how a stream goes on: over a chain of engines, or over a peer while this instance reaches no server. If there
 * is no way, a request that has not begun ends at once, and a stream that has begun waits. Handles losses that leave no
 * room for a while.
 */
import type { AdmissionRefusal } from '../admission/admission-control.js';
import type { CallerStream } from './caller-stream.js';
import type { ChainSelector, EngineChain } from './chain-selector.js';
import type { EntryContext } from '../entry/entry-context.js';
import type { EntryRequest } from '../entry/entry-request.js';
import { estimateTokens } from './request-tokens.js';
import type { StreamLimits } from './stream-limits.js';

/** A chain, which is reserved. */
export interface ChainWay {
  readonly chain: EngineChain;
  /** Releases the chain's reservation. */
  readonly release: () => void;
}

/** How a stream goes on. */
export type Way =
  | ({ readonly kind: 'chain' } & ChainWay)
  | { readonly kind: 'peers' }
  | { readonly kind: 'none' }
  | { readonly kind: 'notAdmitted'; readonly refusal: AdmissionRefusal };

/** Options of {@link StreamWayFinder}. */
export interface StreamWayFinderOptions {
  readonly context: EntryContext;
  readonly request: EntryRequest;
  readonly caller: CallerStream;
  readonly chainSelector: ChainSelector;
  readonly limits: StreamLimits;
}

export class StreamWayFinder {
  readonly #options: StreamWayFinderOptions;

  /** Whether a retry of the budget has been taken for the next attempt. */
  #hasRetry = false;

  /** Whether admission has been decided; further attempts of the request are not subject to it. */
  #isAdmitted = false;

  constructor(options: StreamWayFinderOptions) {
    this.#options = options;
  }

  /** Finds a way to go on; a stream that has begun waits for one as long as its time lasts. */
  async find(): Promise<Way> {
    const { waitingStreams, serverReach } = this.#options.context;
    if (this.#options.caller.hasStarted) return this.#waitForWay();
    if (serverReach.isCut) {
      // It may run at a peer, so it is no longer a new request when it comes back here.
      this.#isAdmitted = true;
      return { kind: 'peers' };
    }
    waitingStreams.offerRoom(this.#options.request.service.name);
    const chain = this.#options.chainSelector.choose({ hasStarted: false });
    if (!chain) return { kind: 'none' };
    const refusal = this.#checkAdmission(chain);
    if (refusal) return { kind: 'notAdmitted', refusal };
    this.#recordSend(chain);
    return this.#reserve(chain);
  }

  /** Decides once on a request whose chain is chosen and not reserved; returns how it is refused, if it is. */
  #checkAdmission(chain: EngineChain): AdmissionRefusal | undefined {
    const { context, request } = this.#options;
    const profile = request.service.engine;
    if (this.#isAdmitted || !profile) return undefined;
    this.#isAdmitted = true;
    const tokens = estimateTokens(request, profile);
    return context.admission.admitStream({ request, chain, profile, tokens });
  }

  async #waitForWay(): Promise<Way> {
    const { waitingStreams, admission, logs, metrics } = this.#options.context;
    const { deadline, signal, metadata, service } = this.#options.request;
    const startedAt = performance.now();
    const found = await waitingStreams.wait({
      service: service.name,
      classIndex: admission.findClassIndex(this.#options.request),
      deadline,
      notBefore: startedAt + this.#options.limits.refusalPauseMilliseconds,
      signal,
      tryProceed: () => this.#tryProceed(),
    });
    const way: Way = found ?? { kind: 'none' };
    if (way.kind === 'peers') return way;
    logs('routing').info('Waited for room.', {
      requestId: metadata.requestId,
      found: way.kind,
      waitedMilliseconds: Math.round(performance.now() - startedAt),
      stillWaiting: waitingStreams.count,
      lastEventId: this.#options.caller.lastEventId,
    });
    metrics.countEvent(`waited_${way.kind}`);
    return way;
  }

  /** Takes a chain with room and a retry of the budget; undefined as long as either is lacking. */
  #tryProceed(): Way | undefined {
    if (this.#options.request.isOver() || this.#options.limits.proof) return { kind: 'none' };
    if (this.#options.context.serverReach.isCut)
      return this.#takeRetry() ? { kind: 'peers' } : undefined;
    const needsRoom = this.#options.limits.refusalPauseMilliseconds > 0;
    const chain = this.#options.chainSelector.choose({ hasStarted: true, needsRoom });
    if (!chain || !this.#takeRetry()) return undefined;
    this.#recordSend(chain);
    return this.#reserve(chain);
  }

  /** Takes a retry of the budget for the next attempt, unless one was taken that has not been used. */
  #takeRetry(): boolean {
    this.#hasRetry ||= this.#options.context.retryBudget.tryAcquire(
      this.#options.request.service.name,
    );
    return this.#hasRetry;
  }

  /** Reserves a chain in the step in which it was chosen. */
  #reserve(chain: EngineChain): Way {
    return { kind: 'chain', chain, release: this.#options.chainSelector.reserve(chain) };
  }

  /** Chooses a chain and counts it as sent to; undefined if there is none. */
  chooseChain(): EngineChain | undefined {
    const chain = this.#options.chainSelector.choose({
      hasStarted: this.#options.caller.hasStarted,
    });
    if (chain) this.#recordSend(chain);
    return chain;
  }

  /** Called in the same step as a chain is chosen, so that no other request takes the same room. */
  #recordSend({ stages: [first] }: EngineChain): void {
    if (first) this.#options.context.serverLimits.recordSend(first.engine.id);
  }

  /** Notes that a run has ended, so that the next one needs another retry. */
  forgetRetry(): void {
    this.#hasRetry = false;
  }
}
