/** Selects chains of engines for one streaming request and reserves its work at their engines. */
import type { FleetServer } from '../fleet/fleet-server.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import type { Chain, ChainCandidate, ChainRequest } from '../layers/chain-choice.js';
import { chooseChainAtPrice, type PricedStream } from '../layers/priced-choice.js';
import type { RequestTokens } from '../layers/engine-estimates.js';
import type { StageAddress } from '../entry/protocol-adapter.js';
import type { EntryContext } from '../entry/entry-context.js';
import type { EntryRequest } from '../entry/entry-request.js';
import type { EngineProfile } from '../entry/serving-configuration.js';
import { ChainReservations } from './chain-reservations.js';
import type {
  ChoiceOptions,
  RerouteOptions,
  SelectedStream,
  Selection,
  SelectionLimits,
} from './chain-selection.js';
import { CrossingLog } from './crossing-log.js';
import { listEngineCandidates } from './engine-candidates.js';
import { estimateTokens } from './request-tokens.js';

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

  readonly #crossingLog: CrossingLog;

  readonly #reservations: ChainReservations;

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
    this.#reservations = new ChainReservations({
      linkLoad: context.linkLoad,
      serverPace: context.serverPace,
      profile,
      tokens: this.#tokens,
      pauseTargetMilliseconds: request.route.gapTargetMilliseconds,
    });
    this.#crossingLog = new CrossingLog(context, request.metadata.requestId);
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
    const stream = { hasStarted, pinnedStage };
    const { chain, decision } = needsRoom
      ? this.#chooseWithRoom(stream)
      : this.#chooseForStream(stream);
    this.#crossingLog.record(decision, hasStarted);
    return chain;
  }

  /**
   * Chooses a chain for a running stream that keeps its first stage.
   *
   * @param reroute - The stream.
   * @returns The chain, or undefined if there is none. With the decision `resume` or `leave`, the chain crosses at a
   *   price that is too high, and there is no other.
   */
  chooseReroute(reroute: RerouteOptions): Selection {
    const { chain, hasStarted } = reroute;
    const selection = this.#chooseForStream({
      hasStarted,
      pinnedStage: chain.stages[0],
      reroute,
    });
    this.#crossingLog.record(selection.decision, hasStarted);
    return selection;
  }

  #chooseForStream(stream: SelectedStream): Selection {
    const choices: readonly SelectionLimits[] = [
      { canUseFull: false, canUseAvoided: false },
      { canUseFull: true, canUseAvoided: false },
      { canUseFull: true, canUseAvoided: true, canUseBusyLinks: stream.hasStarted },
    ];
    let selection: Selection = { chain: undefined };
    choices.some((limits) => {
      selection = this.#chooseWithin(limits, stream);
      return selection.chain !== undefined;
    });
    return selection;
  }

  #chooseWithRoom(stream: SelectedStream): Selection {
    const canUseFull = false;
    const selection = this.#chooseWithin({ canUseFull, canUseAvoided: false }, stream);
    if (selection.chain && !selection.chain.isOverCapacity) return selection;
    // An engine that refused the request may have room by now; what is over capacity is an estimate.
    const other = this.#chooseWithin(
      { canUseFull, canUseAvoided: true, canUseBusyLinks: true },
      stream,
    );
    return other.chain ? other : selection;
  }

  #chooseWithin(limits: SelectionLimits, stream: SelectedStream): Selection {
    const { canUseAvoided, canUseBusyLinks = false } = limits;
    const { fleet, outlierEjection, serverPace, logs } = this.#context;
    const { candidates, atWindow } = listEngineCandidates({
      engines: fleet.listForService(this.#request.service.name),
      limits,
      pinnedEngineId: stream.pinnedStage?.engine.id,
      isAvoided: (id) => this.avoidedEngineIds.has(id),
      isEjected: (id) => outlierEjection.isEjected(id),
      serverPace,
      now: this.#now(),
    });
    this.#atWindow = atWindow;
    const { chain, decision } = chooseChainAtPrice(
      candidates,
      this.#createChainRequest(canUseBusyLinks, stream.pinnedStage),
      this.#describeStream(stream),
    );
    if ('missingLayer' in chain) {
      const none = { chain: undefined, ...(decision && { decision }) };
      if (!canUseAvoided) return none;
      logs('routing').info('No chain covers all layers.', {
        requestId: this.#request.metadata.requestId,
        missingLayer: chain.missingLayer,
        engines: candidates.length,
        ejections: outlierEjection.counts,
        fleetRevision: fleet.revision,
      });
      return none;
    }
    return { chain, ...(decision && { decision }) };
  }

  /** The request and the conditions on its chain. */
  #createChainRequest(
    canUseBusyLinks: boolean,
    pinnedStage: SelectedStream['pinnedStage'],
  ): ChainRequest {
    const { dataCentre, linkLoad } = this.#context;
    return {
      profile: this.#profile,
      tokens: this.#tokens,
      ...(pinnedStage ? { pinnedStage } : { canStartAt: (id: string) => this.#canStartAtId(id) }),
      linkUtilisation: (from, to) => linkLoad.estimateUtilisation(from, to),
      canUseBusyLinks,
      costNoise: () => 1 + COST_NOISE_SHARE * (2 * this.#random() - 1),
      startPenaltyMilliseconds: (startDataCentre) =>
        (startDataCentre === dataCentre ? 0 : REMOTE_START_PENALTY_MILLISECONDS) +
        this.#random() * START_JITTER_MILLISECONDS,
    };
  }

  /** What the price of a crossing depends on. */
  #describeStream({ hasStarted, pinnedStage, reroute }: SelectedStream): PricedStream {
    const { dataCentre, linkLoad } = this.#context;
    const { targetMilliseconds, gapTargetMilliseconds } = this.#request.route;
    return {
      objectives: {
        firstEventMilliseconds: targetMilliseconds,
        pauseMilliseconds: gapTargetMilliseconds,
      },
      homeDataCentre: pinnedStage?.engine.dataCentre ?? dataCentre,
      describeLink: (from, to) => linkLoad.describe(from, to),
      hasBegun: hasStarted,
      generatedTokens: this.#countGeneratedTokens(reroute?.lastEventId),
      oldStages: reroute?.chain.stages,
      // A stream without a first stage to keep is being resumed; it crosses where it can't stay inside.
      isResumeImpossible: reroute?.isResumeImpossible ?? true,
    };
  }

  /** Estimates how many tokens of the answer the engines have generated. */
  #countGeneratedTokens(lastEventId: number | undefined): number {
    return lastEventId === undefined ? 0 : (lastEventId + 1) * this.#profile.tokensPerEvent;
  }

  /**
   * Reserves a chain's work at its engines, so that later choices take it into account.
   *
   * @param chain - The chain that the request is sent over.
   * @param recordedTokens - Tokens whose transfer over the chain's links is recorded already.
   * @returns A function that releases the reservation; call it once.
   */
  reserve(chain: EngineChain, recordedTokens = 0): () => void {
    return this.#reservations.reserve(chain, recordedTokens);
  }

  /**
   * Records that a reroute is sent: the engines of the new chain get the prompt and the tokens that have been
   * generated, over each link that it crosses.
   *
   * @param chain - The new chain.
   * @param lastEventId - The last event of the stream; undefined if there is none.
   * @returns The number of tokens.
   */
  recordReroute(chain: EngineChain, lastEventId: number | undefined): number {
    const tokens = this.#tokens.prompt + this.#countGeneratedTokens(lastEventId);
    this.#reservations.recordTransfer(chain, tokens);
    return tokens;
  }

  #canStartAtId(id: string): boolean {
    const server = this.#context.fleet.find(id);
    return server !== undefined && this.#canStartAt(server.entry);
  }

  /**
   * Avoids some engines from now on, provided that a chain with room exists without them.
   *
   * @param ids - The engines to avoid.
   * @param hasStarted - Whether the caller has received events of the stream.
   * @param mustStayInside - Whether a chain that crosses at too high a price is no alternative for a stream that has begun.
   * @returns Whether they are avoided now.
   */
  avoidIfPossible(ids: readonly string[], hasStarted = false, mustStayInside = false): boolean {
    const newIds = ids.filter((id) => !this.avoidedEngineIds.has(id));
    newIds.forEach((id) => this.avoidedEngineIds.add(id));
    const limits = { canUseFull: false, canUseAvoided: false };
    const { chain, decision } = this.#chooseWithin(limits, { hasStarted });
    const isTooExpensive = mustStayInside && decision?.reason === 'cannot_resume';
    if (chain && !chain.isOverCapacity && !isTooExpensive) return true;
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
      ...(chain.highestShareUse === undefined
        ? {}
        : { highestShareUse: Math.round(100 * chain.highestShareUse) / 100 }),
      ...(this.#atWindow.size > 0 ? { enginesAtWindow: [...this.#atWindow] } : {}),
      fleetRevision: this.#context.fleet.revision,
    };
  }
}
