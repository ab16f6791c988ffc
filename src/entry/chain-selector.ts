/** Finds chains for one streaming request, and enters its work at their engines. */
import { getHeldLayers, type FleetServer } from '../fleet/backend-fleet.js';
import {
  chooseChain,
  type Chain,
  type ChainCandidate,
  type ChainStage,
} from '../layers/chain-choice.js';
import type { RequestTokens } from '../layers/engine-estimates.js';
import type { StageAddress } from './protocol-adapter.js';
import type { EntryContext } from './entry-context.js';
import type { EntryRequest } from './entry-request.js';
import type { EngineProfile } from './serving-configuration.js';

/** Which engines may be used beside those in good order. */
interface SelectionLimits {
  readonly canUseFull: boolean;
  readonly canUseAvoided: boolean;
}

/** An engine that may take part in a chain, with what is known of it. */
export interface EngineCandidate extends ChainCandidate {
  readonly server: FleetServer;
}

/** A chain over known engines. */
export type EngineChain = Chain<EngineCandidate>;

/** Beginning in another data centre must be worth this, so that instances don't all agree. */
const REMOTE_START_PENALTY_MILLISECONDS = 80;
const START_JITTER_MILLISECONDS = 80;

function estimateTokens(request: EntryRequest, profile: EngineProfile): RequestTokens {
  const {
    promptTokens,
    maximumOutputTokens: maximumAnswerTokens,
    expectedOutputTokens: expectedAnswerTokens,
  } = request.metadata;
  const answer = expectedAnswerTokens ?? profile.typicalOutputTokens;
  return {
    prompt: promptTokens ?? profile.typicalPromptTokens,
    answer: Math.min(answer, maximumAnswerTokens ?? answer),
  };
}

/**
 * Lists a chain's parts by address.
 *
 * @param chain - The chain.
 * @returns Its hops in order.
 */
export function stageAddressesOf(chain: EngineChain): StageAddress[] {
  return chain.parts.map(({ engine, layers }) => ({
    address: engine.server.entry.address,
    layers,
  }));
}

export class ChainSelector {
  readonly #context: EntryContext;

  readonly #request: EntryRequest;

  readonly #profile: EngineProfile;

  readonly #tokens: RequestTokens;

  /** Engines that have failed this request. */
  readonly avoidedEngineIds = new Set<string>();

  constructor(context: EntryContext, request: EntryRequest, profile: EngineProfile) {
    this.#context = context;
    this.#request = request;
    this.#profile = profile;
    this.#tokens = estimateTokens(request, profile);
  }

  /**
   * Chooses a chain, over engines without room or that failed this request only for want of others.
   *
   * @param pinned - The first part, when it must stay.
   * @returns The chain, or undefined when some layer is held by no engine that may be used.
   */
  choose(pinned?: ChainStage<EngineCandidate>): EngineChain | undefined {
    return (
      this.#chooseWithin({ canUseFull: false, canUseAvoided: false }, pinned) ??
      this.#chooseWithin({ canUseFull: true, canUseAvoided: false }, pinned) ??
      this.#chooseWithin({ canUseFull: true, canUseAvoided: true }, pinned)
    );
  }

  #chooseWithin(
    { canUseFull: isFullAllowed, canUseAvoided: isAvoidedAllowed }: SelectionLimits,
    pinned?: ChainStage<EngineCandidate>,
  ): EngineChain | undefined {
    const {
      fleet,
      outlierEjection: suspicions,
      dataCentre,
      linkLoad: crossLinks,
      logs,
    } = this.#context;
    const candidates: EngineCandidate[] = [];
    const now = performance.now();
    fleet.listForService(this.#request.service.name).forEach((server) => {
      const { id, kind } = server.entry;
      const layers = getHeldLayers(server);
      const isFull = server.fullUntil > now && !isFullAllowed;
      const hasFailed = this.avoidedEngineIds.has(id) && !isAvoidedAllowed;
      const isAvoided = hasFailed || suspicions.isEjected(id) || isFull;
      if (!layers || (isAvoided && id !== pinned?.engine.id)) return;
      candidates.push({
        id,
        dataCentre: server.entry.dataCentre,
        kind,
        layers,
        runningRequests: server.ownLoad.requests + server.peerLoad.requests,
        reservedTokenLayers:
          server.ownLoad.reservedTokenLayers + server.peerLoad.reservedTokenLayers,
        slowdownFactor: Math.max(server.ownSlowdownFactor, server.peerSlowdownFactor),
        server,
      });
    });
    const chain = chooseChain(candidates, {
      profile: this.#profile,
      tokens: this.#tokens,
      ...(pinned ? { pinnedStage: pinned } : {}),
      linkUtilisation: (from, to) =>
        crossLinks.estimateUtilisation(from, to, this.#profile.dataCentreLinkMegabitsPerSecond),
      startPenaltyMilliseconds: (place) =>
        (place === dataCentre ? 0 : REMOTE_START_PENALTY_MILLISECONDS) +
        Math.random() * START_JITTER_MILLISECONDS,
    });
    if ('missingLayer' in chain) {
      if (!isAvoidedAllowed) return undefined;
      logs('routing').info('No chain.', {
        requestId: this.#request.metadata.requestId,
        missingLayer: chain.missingLayer,
        engines: candidates.length,
        fleetRevision: fleet.revision,
      });
      return undefined;
    }
    return chain;
  }

  /**
   * Enters a chain's work at its engines.
   *
   * @param chain - The chain that the request is sent over.
   * @returns What takes the work out again.
   */
  reserve(chain: EngineChain): () => void {
    const total = this.#tokens.prompt + this.#tokens.answer;
    const shares = chain.parts.map(({ engine, layers }) => ({
      load: engine.server.ownLoad,
      tokenLayers: total * (layers.to - layers.from),
    }));
    this.#recordLinkTransfers(chain);
    shares.forEach(({ load, tokenLayers }) => {
      load.requests += 1;
      load.reservedTokenLayers += tokenLayers;
    });
    return () => {
      shares.forEach(({ load, tokenLayers }) => {
        load.requests -= 1;
        load.reservedTokenLayers -= tokenLayers;
      });
    };
  }

  #recordLinkTransfers(chain: EngineChain): void {
    const bits = 8 * this.#tokens.prompt * this.#profile.activationBytesPerToken;
    chain.parts.forEach(({ engine }, index) => {
      const next = chain.parts[index + 1]?.engine.dataCentre ?? engine.dataCentre;
      if (next !== engine.dataCentre)
        this.#context.linkLoad.recordTransfer(engine.dataCentre, next, bits);
    });
  }

  /**
   * Tells whether there is a chain with room that leaves some engines out; they are avoided then.
   *
   * @param passed - The engines to leave out.
   * @returns Whether there is one.
   */
  avoidIfPossible(passed: readonly string[]): boolean {
    const added = passed.filter((id) => !this.avoidedEngineIds.has(id));
    added.forEach((id) => this.avoidedEngineIds.add(id));
    const other = this.#chooseWithin({ canUseFull: false, canUseAvoided: false });
    if (other && !other.isOverCapacity) return true;
    added.forEach((id) => this.avoidedEngineIds.delete(id));
    return false;
  }

  /** Describes a chain for the log. */
  logFields(chain: EngineChain): Record<string, unknown> {
    return {
      requestId: this.#request.metadata.requestId,
      chain: chain.parts.map(({ engine, layers }) => `${engine.id}=${layers.from}-${layers.to}`),
      expectedMilliseconds: Math.round(chain.expectedMilliseconds),
      isOverfull: chain.isOverCapacity,
      fleetRevision: this.#context.fleet.revision,
    };
  }
}
