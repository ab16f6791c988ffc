/**
 * Chooses a chain at the price of the links that it crosses. Where the best chain by its objectives would delay the
 * streams of a link beyond their pause target, the request gets a chain that does not use that link.
 */
import {
  chooseChain,
  type Chain,
  type ChainCandidate,
  type ChainRequest,
  type ChainStage,
  type NoChain,
} from './chain-choice.js';
import {
  decideForNewRequest,
  decideForRunningStream,
  findDecidingPrice,
  priceCrossing,
  type CrossingDecision,
  type LinkCrossing,
} from './crossing-price.js';
import type { LinkState, LinkStream } from './data-centre-link-load.js';
import {
  chooseChainByObjectives,
  estimateStreamTimes,
  keepsObjectives,
  type StreamObjectives,
} from './objective-choice.js';

/** The request, besides the conditions on its chain. */
export interface PricedStream {
  readonly objectives: StreamObjectives;
  /** Name of the data centre of the instance or of the chain's first stage. */
  readonly homeDataCentre: string;
  readonly describeLink: (from: string, to: string) => LinkState;
  /** Whether the caller has received events of it. */
  readonly hasBegun: boolean;
  /** Tokens of the answer that have been generated. */
  readonly generatedTokens: number;
  /** The chain that it runs over, if it is to be rerouted; the links of that chain have no price. */
  readonly oldStages?: readonly ChainStage[] | undefined;
  /** Whether it has been found that the stream can't be resumed inside a data centre. */
  readonly isResumeImpossible?: boolean;
}

/** A chain, and the decision on its crossing if it or the best chain crosses. */
export interface PricedChoice<T extends ChainCandidate> {
  /** For the outcomes `resume` and `leave` the chain that crosses. */
  readonly chain: Chain<T> | NoChain;
  readonly decision?: CrossingDecision;
}

function getLinkKey(from: string, to: string): string {
  return [from, to].sort().join('/');
}

/**
 * Lists the links between data centres that a chain crosses.
 *
 * @param stages - The stages of the chain.
 */
export function listCrossings(stages: readonly ChainStage[]): LinkCrossing[] {
  const crossings = new Map<string, LinkCrossing>();
  stages.forEach(({ engine: { dataCentre: from } }, index) => {
    const to = stages[index + 1]?.engine.dataCentre ?? from;
    if (to === from) return;
    const key = getLinkKey(from, to);
    const hops = (crossings.get(key)?.hops ?? 0) + 1;
    crossings.set(key, { from, to, hops });
  });
  return [...crossings.values()];
}

/**
 * Describes a stream over a chain for the links that it crosses.
 *
 * @param chain - The chain.
 * @param request - The request that the chain was chosen for.
 * @param pauseTargetMilliseconds - The pause target; 0 for none.
 */
export function describeLinkStream(
  chain: Chain,
  request: Pick<ChainRequest, 'profile' | 'tokens'>,
  pauseTargetMilliseconds: number,
): LinkStream {
  const { profile, tokens } = request;
  // Without the load of the links, which is compared with what is left.
  const { pauseMilliseconds } = estimateStreamTimes(chain, { profile, tokens });
  const pauseLeftMilliseconds =
    pauseTargetMilliseconds > 0
      ? pauseTargetMilliseconds - pauseMilliseconds
      : Number.POSITIVE_INFINITY;
  return { pauseTargetMilliseconds, pauseLeftMilliseconds };
}

/**
 * Chooses a chain for a stream.
 *
 * @param candidates - The engines that may be used.
 * @param request - The request and the conditions on the chain.
 * @param stream - What else is known of the stream and of the links.
 */
export function chooseChainAtPrice<T extends ChainCandidate>(
  candidates: readonly T[],
  request: ChainRequest,
  stream: PricedStream,
): PricedChoice<T> {
  const { objectives, homeDataCentre, describeLink, hasBegun, generatedTokens } = stream;
  const best = chooseChainByObjectives(candidates, request, objectives, homeDataCentre);
  if ('missingLayer' in best) return { chain: best };
  const oldCrossings = listCrossings(stream.oldStages ?? []);
  const oldLinks = new Set(oldCrossings.map(({ from, to }) => getLinkKey(from, to)));
  const isOldLink = (from: string, to: string): boolean => oldLinks.has(getLinkKey(from, to));
  const crossings = listCrossings(best.stages).filter(({ from, to }) => !isOldLink(from, to));
  const own = describeLinkStream(best, request, objectives.pauseMilliseconds);
  const { profile } = request;
  const tokens = request.tokens.prompt + generatedTokens;
  const price = findDecidingPrice(
    crossings.map((crossing) => {
      const link = describeLink(crossing.from, crossing.to);
      return priceCrossing({ crossing, link, profile, tokens, own });
    }),
  );
  if (!price) return { chain: best };
  let inside: Chain<T> | NoChain = best;
  const hasInsideChain = (needsRoom: boolean): boolean => {
    // The stream itself is part of what makes the links of its old chain busy.
    const conditions = { canUseLink: isOldLink, canUseBusyLinks: true };
    inside = chooseChain(candidates, { ...request, ...conditions });
    return 'stages' in inside && !(needsRoom && inside.isOverCapacity);
  };
  const decision =
    hasBegun || request.pinnedStage
      ? decideForRunningStream(price, {
          hasBegun,
          hasInsideChain: () => hasInsideChain(true),
          isResumeImpossible: stream.isResumeImpossible ?? false,
        })
      : decideForNewRequest(price, {
          keepsOwnTimes: keepsObjectives(estimateStreamTimes(best, request), objectives),
          hasInsideChain: () => hasInsideChain(false),
        });
  const isInside = decision.outcome === 'stay_inside' || decision.outcome === 'refuse';
  return { chain: isInside ? inside : best, decision };
}
