/** Selects chains of engines for one streaming request and reserves its work at their engines. */
import { getHeldLayers, type FleetServer } from '../fleet/fleet-server.js';
import { getAvailability } from '../fleet/server-availability.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import type { Chain, ChainCandidate, ChainStage } from '../layers/chain-choice.js';
import { chooseChainByObjectives } from '../layers/objective-choice.js';
import type { RequestTokens } from '../layers/engine-estimates.js';
import type { StageAddress } from '../entry/protocol-adapter.js';
import type { EntryContext } from '../entry/entry-context.js';
import type { EntryRequest } from '../entry/entry-request.js';
import type { EngineProfile } from '../entry/serving-configuration.js';
import { listSpareAtWindow } from './engines-at-window.js';

/** Which engines a chain may use besides those that are available without restriction. */
interface SelectionLimits {
  /** Engines that recently refused a request for lack of room, and those at their windows. */
  readonly canUseFull: boolean;
  /** Engines that this request is to avoid. */
  readonly canUseAvoided: boolean;
  /** Links between data centres whose share is used up. */
  readonly canUseBusyLinks?: boolean;
}

/** Options of {@link ChainSelector.choose}. */
export interface ChoiceOptions {
  /** Whether the caller has received events of the stream. */
  readonly hasStarted: boolean;
  /** Whether no engine is used that has recently refused a request for lack of room; false by default. */
  readonly needsRoom?: boolean;
  /** The first stage, when the chain must keep it. */
  readonly pinnedStage?: ChainStage<EngineCandidate>;
}

/** Options of {@link ChainSelector}. */
export interface ChainSelectorOptions {
  /** Current time on the monotonic clock, in milliseconds. */
  readonly now?: () => number;
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly random?: () => number;
}

/** An engine that may become a stage of a chain, with its state in the fleet. */
export interface EngineCandidate extends ChainCandidate {
  readonly server: FleetServer;
}

/** A chain whose engines are known to the fleet. */
export type EngineChain = Chain<EngineCandidate>;

/** Added to the cost of a chain that starts in another data centre than this instance's. */
const REMOTE_START_PENALTY_MILLISECONDS = 80;
/** An engine's cost is varied by up to this share in each choice. */
const COST_NOISE_SHARE = 0.2;
/** Random cost of a starting data centre, so that instances do not all choose the same one. */
const START_JITTER_MILLISECONDS = 80;

function estimateTokens(request: EntryRequest, profile: EngineProfile): RequestTokens {
  const { promptTokens, maximumOutputTokens, expectedOutputTokens } = request.metadata;
  const outputTokens = expectedOutputTokens ?? profile.typicalOutputTokens;
  return {
    prompt: promptTokens ?? profile.typicalPromptTokens,
    output: Math.min(outputTokens, maximumOutputTokens ?? outputTokens),
  };
}

/**
 * Lists the stages of a chain as the protocol names them.
 *
 * @param chain - The chain.
 * @returns The address and layers of each stage, in order.
 */
export function listStageAddresses(chain: EngineChain): StageAddress[] {
  return chain.stages.map(({ engine, layers }) => ({
    address: engine.server.entry.address,
    layers,
  }));
}

/** Selects chains for one request and remembers which engines the request must avoid. */
export class ChainSelector {
  readonly #context: EntryContext;

  readonly #request: EntryRequest;

  readonly #profile: EngineProfile;

  readonly #tokens: RequestTokens;

  /** Engines that failed this request or were too slow for it. */
  readonly avoidedEngineIds = new Set<string>();

  /** Engines that the last choice did without, since they are at their windows. */
  #atWindow: ReadonlySet<string> = new Set();

  readonly #canStartAt: (entry: ServerEntry) => boolean;

  readonly #now: () => number;

  readonly #random: () => number;

  constructor(
    context: EntryContext,
    request: EntryRequest,
    profile: EngineProfile,
    canStartAt: (entry: ServerEntry) => boolean,
    { now = () => performance.now(), random = Math.random }: ChainSelectorOptions = {},
  ) {
    this.#now = now;
    this.#random = random;
    this.#context = context;
    this.#canStartAt = canStartAt;
    this.#request = request;
    this.#profile = profile;
    this.#tokens = estimateTokens(request, profile);
  }

  /**
   * Chooses a chain. Engines without room or at their windows are used only where no chain exists without them, and
   * engines to avoid only after that. Ejected engines are never used, except as the pinned stage.
   * Links whose share is used up serve only requests that have begun to answer: a new one would be
   * late there and make others late.
   *
   * @param options - Whether the request has begun to answer, and the first stage, when the chain must
   *   keep it.
   * @returns The chain, or undefined when no engine that may be used holds some layer.
   */
  choose({ hasStarted, needsRoom = false, pinnedStage }: ChoiceOptions): EngineChain | undefined {
    const canUseBusyLinks = hasStarted;
    if (needsRoom) return this.#chooseWithRoom();
    return (
      this.#chooseWithin({ canUseFull: false, canUseAvoided: false }, pinnedStage) ??
      this.#chooseWithin({ canUseFull: true, canUseAvoided: false }, pinnedStage) ??
      this.#chooseWithin({ canUseFull: true, canUseAvoided: true, canUseBusyLinks }, pinnedStage)
    );
  }

  #chooseWithRoom(): EngineChain | undefined {
    const canUseFull = false;
    const chain = this.#chooseWithin({ canUseFull, canUseAvoided: false });
    if (chain && !chain.isOverCapacity) return chain;
    // An engine that refused the request may have room by now; what is over capacity is an estimate.
    return this.#chooseWithin({ canUseFull, canUseAvoided: true, canUseBusyLinks: true }) ?? chain;
  }

  #chooseWithin(
    { canUseFull, canUseAvoided, canUseBusyLinks = false }: SelectionLimits,
    pinnedStage?: ChainStage<EngineCandidate>,
  ): EngineChain | undefined {
    const { fleet, outlierEjection, serverPace, dataCentre, linkLoad, logs } = this.#context;
    const candidates: EngineCandidate[] = [];
    const now = this.#now();
    const servers = fleet.listForService(this.#request.service.name);
    const isUsable = (server: FleetServer): boolean => {
      const { id } = server.entry;
      const availability = getAvailability(server, now);
      const isExcludedAsFull = availability === 'avoided' && !canUseFull;
      const isExcludedAsAvoided = this.avoidedEngineIds.has(id) && !canUseAvoided;
      return !(
        availability === 'closed' ||
        isExcludedAsAvoided ||
        outlierEjection.isEjected(id) ||
        isExcludedAsFull
      );
    };
    const usable = new Set(servers.filter(isUsable));
    const atWindow =
      canUseFull || canUseAvoided
        ? new Set<string>()
        : listSpareAtWindow({
            engines: servers,
            isOpen: (server) => usable.has(server),
            isAtWindow: (server) => serverPace.isAtWindow(server),
          });
    this.#atWindow = atWindow;
    servers.forEach((server) => {
      const { id, kind } = server.entry;
      const layers = getHeldLayers(server);
      const isExcluded = !usable.has(server) || atWindow.has(id);
      if (!layers || (isExcluded && id !== pinnedStage?.engine.id)) return;
      candidates.push({
        id,
        dataCentre: server.entry.dataCentre,
        kind,
        layers,
        slots: server.entry.slots,
        runningRequests: server.ownLoad.requests + server.peerLoad.requests,
        reservedTokenLayers:
          server.ownLoad.reservedTokenLayers + server.peerLoad.reservedTokenLayers,
        slowdownFactor: Math.max(server.ownSlowdownFactor, server.peerSlowdownFactor),
        server,
      });
    });
    const chain = chooseChainByObjectives(
      candidates,
      {
        profile: this.#profile,
        tokens: this.#tokens,
        ...(pinnedStage ? { pinnedStage } : { canStartAt: (id: string) => this.#canStartAtId(id) }),
        linkUtilisation: (from, to) => linkLoad.estimateUtilisation(from, to),
        canUseBusyLinks,
        costNoise: () => 1 + COST_NOISE_SHARE * (2 * this.#random() - 1),
        startPenaltyMilliseconds: (startDataCentre) =>
          (startDataCentre === dataCentre ? 0 : REMOTE_START_PENALTY_MILLISECONDS) +
          this.#random() * START_JITTER_MILLISECONDS,
      },
      {
        firstEventMilliseconds: this.#request.route.targetMilliseconds,
        pauseMilliseconds: this.#request.route.gapTargetMilliseconds,
      },
      pinnedStage?.engine.dataCentre ?? dataCentre,
    );
    if ('missingLayer' in chain) {
      if (!canUseAvoided) return undefined;
      logs('routing').info('No chain covers all layers.', {
        requestId: this.#request.metadata.requestId,
        missingLayer: chain.missingLayer,
        engines: candidates.length,
        ejections: outlierEjection.counts,
        fleetRevision: fleet.revision,
      });
      return undefined;
    }
    return chain;
  }

  /**
   * Reserves a chain's work at its engines, so that later choices take it into account.
   *
   * @param chain - The chain that the request is sent over.
   * @returns A function that releases the reservation; call it once.
   */
  reserve(chain: EngineChain): () => void {
    const totalTokens = this.#tokens.prompt + this.#tokens.output;
    const reservations = chain.stages.map(({ engine, layers }) => ({
      load: engine.server.ownLoad,
      tokenLayers: totalTokens * (layers.to - layers.from),
    }));
    const endCounts = chain.stages.map(({ engine }) =>
      this.#context.serverPace.begin(engine.server),
    );
    this.#recordLinkTransfers(chain);
    reservations.forEach(({ load, tokenLayers }) => {
      load.requests += 1;
      load.reservedTokenLayers += tokenLayers;
    });
    return () => {
      reservations.forEach(({ load, tokenLayers }) => {
        load.requests -= 1;
        load.reservedTokenLayers -= tokenLayers;
      });
      endCounts.forEach((end) => end());
    };
  }

  #canStartAtId(id: string): boolean {
    const server = this.#context.fleet.find(id);
    return server !== undefined && this.#canStartAt(server.entry);
  }

  #recordLinkTransfers(chain: EngineChain): void {
    const { activationBytesPerToken, dataCentreLinkMegabitsPerSecond } = this.#profile;
    const bits = 8 * (this.#tokens.prompt + this.#tokens.output) * activationBytesPerToken;
    chain.stages.forEach(({ engine }, index) => {
      const next = chain.stages[index + 1]?.engine.dataCentre ?? engine.dataCentre;
      if (next !== engine.dataCentre)
        this.#context.linkLoad.recordTransfer(
          engine.dataCentre,
          next,
          bits,
          dataCentreLinkMegabitsPerSecond,
        );
    });
  }

  /**
   * Avoids some engines from now on, provided that a chain with room exists without them.
   *
   * @param ids - The engines to avoid.
   * @returns Whether they are avoided now.
   */
  avoidIfPossible(ids: readonly string[]): boolean {
    const newIds = ids.filter((id) => !this.avoidedEngineIds.has(id));
    newIds.forEach((id) => this.avoidedEngineIds.add(id));
    const other = this.#chooseWithin({ canUseFull: false, canUseAvoided: false });
    if (other && !other.isOverCapacity) return true;
    newIds.forEach((id) => this.avoidedEngineIds.delete(id));
    return false;
  }

  /** The fields that describe a chain in the log. */
  describeForLog(chain: EngineChain): Record<string, unknown> {
    return {
      requestId: this.#request.metadata.requestId,
      chain: chain.stages.map(({ engine, layers }) => `${engine.id}=${layers.from}-${layers.to}`),
      expectedMilliseconds: Math.round(chain.expectedMilliseconds),
      isOverfull: chain.isOverCapacity,
      ...(this.#atWindow.size > 0 ? { enginesAtWindow: [...this.#atWindow] } : {}),
      fleetRevision: this.#context.fleet.revision,
    };
  }
}
