/**
 * Decides whether a crossing between data centres is worth its price: the time by which the transfer of a
 * request's activations delays every stream on the link. Handles a data centre that lost layers behind a slow
 * link, where the transfers of moved streams would keep all streams on the link from their pause target.
 */
import type { EngineProfile } from '../entry/serving-configuration.js';
import {
  computeTransferMilliseconds,
  type LinkState,
  type LinkStream,
} from './data-centre-link-load.js';

/** What a request sends over one link. */
export interface LinkCrossing {
  readonly from: string;
  readonly to: string;
  /** Number of times that its chain uses the link. */
  readonly hops: number;
}

/** The price of a crossing, with what it was computed from. */
export interface CrossingPrice {
  readonly from: string;
  readonly to: string;
  readonly bits: number;
  readonly transferMilliseconds: number;
  readonly backlogMilliseconds: number;
  /** Streams on the link: those of this instance, as many for each other instance. */
  readonly streams: number;
  /** The shortest pause target concerned; 0 if there is none. */
  readonly pauseTargetMilliseconds: number;
  /** What is left of the pause targets for the transfer: the least of all streams. */
  readonly pauseLeftMilliseconds: number;
  /** How long ago the last record of a live peer arrived; undefined while no peer is alive. */
  readonly recordAgeMilliseconds: number | undefined;
  /** Whether a typical transfer is so short that crossings are not priced. */
  readonly isFastLink: boolean;
  /** Whether streams on the link are expected to exceed their pause target. */
  readonly endangersStreams: boolean;
}

/** Why a decision was taken. */
export type CrossingReason =
  'fast_link' | 'within_pause' | 'endangers_streams' | 'misses_own_times' | 'cannot_resume';

/**
 * What becomes of a request whose best chain crosses: it crosses; it gets a chain that uses no further link; it is
 * refused; it is resumed inside a data centre, if possible; or it is left where it runs.
 */
export type CrossingOutcome = 'cross' | 'stay_inside' | 'refuse' | 'resume' | 'leave';

/** A decision on a crossing, with its inputs. */
export interface CrossingDecision {
  readonly outcome: CrossingOutcome;
  readonly reason: CrossingReason;
  /** Of the link that {@link findDecidingPrice} returns. */
  readonly price: CrossingPrice;
}

/** Input of {@link priceCrossing}. */
export interface PriceInput {
  readonly crossing: LinkCrossing;
  readonly link: LinkState;
  readonly profile: EngineProfile;
  /** Tokens whose activations are sent over the link at each hop before the stream goes on. */
  readonly tokens: number;
  /** The request's own stream. */
  readonly own: LinkStream;
}

/** The part of a pause target that `objective-choice` leaves free, see `USABLE_OBJECTIVE_SHARE` there. */
const FREE_PAUSE_SHARE = 0.3;
/** Transfers that may meet on a link that is little used: one under way and one behind it. */
const COINCIDING_TRANSFERS = 2;

/**
 * Whether transfers of typical prompts take so long that other streams may exceed their pause target.
 *
 * @param profile - The service's profile.
 * @param pauseTargetMilliseconds - The pause target of the streams; 0 if they have none.
 */
export function areCrossingsExpensive(
  profile: EngineProfile,
  pauseTargetMilliseconds: number,
): boolean {
  const { typicalPromptTokens, activationBytesPerToken, dataCentreLinkMegabitsPerSecond } = profile;
  const bits = 8 * typicalPromptTokens * activationBytesPerToken;
  const milliseconds = computeTransferMilliseconds(bits, dataCentreLinkMegabitsPerSecond);
  const isBounded = pauseTargetMilliseconds > 0;
  return (
    isBounded && COINCIDING_TRANSFERS * milliseconds > FREE_PAUSE_SHARE * pauseTargetMilliseconds
  );
}

/**
 * Lists the streams whose pause target counts. Streams that exceed theirs anyway don't bar a link. Where this
 * instance knows of none, a stream like the request's own stands for those of the other instances.
 */
function listConcernedStreams({ streams, instances }: LinkState, own: LinkStream): LinkStream[] {
  const bounded = streams.filter(
    ({ pauseTargetMilliseconds, pauseLeftMilliseconds }) =>
      pauseTargetMilliseconds > 0 && pauseLeftMilliseconds > 0,
  );
  if (bounded.length > 0 || instances <= 1 || own.pauseTargetMilliseconds <= 0) return bounded;
  return [own];
}

/**
 * Computes the price of a crossing over one link.
 *
 * @param input - The link and what the request sends over it.
 */
export function priceCrossing(input: PriceInput): CrossingPrice {
  const { crossing, link, profile, tokens, own } = input;
  const { backlogMilliseconds, instances, recordAgeMilliseconds } = link;
  const concerned = listConcernedStreams(link, own);
  const targets = [own, ...concerned]
    .map(({ pauseTargetMilliseconds }) => pauseTargetMilliseconds)
    .filter((target) => target > 0);
  const pauseTargetMilliseconds = targets.length > 0 ? Math.min(...targets) : 0;
  const isFastLink = !areCrossingsExpensive(profile, pauseTargetMilliseconds);
  const bits = 8 * tokens * profile.activationBytesPerToken * crossing.hops;
  const transferMilliseconds = computeTransferMilliseconds(
    bits,
    profile.dataCentreLinkMegabitsPerSecond,
  );
  const pauseLeftMilliseconds = Math.min(
    ...concerned.map((stream) => stream.pauseLeftMilliseconds),
  );
  return {
    from: crossing.from,
    to: crossing.to,
    bits,
    transferMilliseconds,
    backlogMilliseconds,
    streams: link.streams.length * instances,
    pauseTargetMilliseconds,
    pauseLeftMilliseconds,
    recordAgeMilliseconds,
    isFastLink,
    endangersStreams:
      !isFastLink && backlogMilliseconds + transferMilliseconds > pauseLeftMilliseconds,
  };
}

function computeExcess(price: CrossingPrice): number {
  const { backlogMilliseconds, transferMilliseconds, pauseLeftMilliseconds } = price;
  return backlogMilliseconds + transferMilliseconds - pauseLeftMilliseconds;
}

/**
 * Returns the price that decides: of the link whose streams are delayed furthest beyond what they have left.
 *
 * @param prices - The prices of the links that a chain crosses.
 */
export function findDecidingPrice(prices: readonly CrossingPrice[]): CrossingPrice | undefined {
  const [first, ...others] = prices.filter(({ isFastLink }) => !isFastLink);
  if (!first) return prices[0];
  return others.reduce(
    (highest, price) => (computeExcess(price) > computeExcess(highest) ? price : highest),
    first,
  );
}

/** What else a decision on a new request depends on. */
export interface NewRequestTerms {
  /** Whether it is expected to keep its own times over the chain that crosses. */
  readonly keepsOwnTimes: boolean;
  /** Whether there is a chain inside a data centre. */
  readonly hasInsideChain: () => boolean;
}

/**
 * Decides on a crossing of a request that has not begun and gets a new chain.
 *
 * @param price - The price of the crossing.
 * @param terms - What else the decision depends on.
 */
export function decideForNewRequest(
  price: CrossingPrice,
  terms: NewRequestTerms,
): CrossingDecision {
  if (price.isFastLink) return { outcome: 'cross', reason: 'fast_link', price };
  if (!price.endangersStreams && terms.keepsOwnTimes)
    return { outcome: 'cross', reason: 'within_pause', price };
  const reason = price.endangersStreams ? 'endangers_streams' : 'misses_own_times';
  return { outcome: terms.hasInsideChain() ? 'stay_inside' : 'refuse', reason, price };
}

/** What else a decision on a running stream depends on. */
export interface RunningStreamTerms {
  /** Whether the caller has received events of it. */
  readonly hasBegun: boolean;
  /** Whether there is a chain with room that uses no further link. */
  readonly hasInsideChain: () => boolean;
  /** Whether it has been found that the stream can't be resumed inside a data centre. */
  readonly isResumeImpossible: boolean;
}

/**
 * Decides on a crossing of a stream that is running, or that goes on after a run. One that has begun is never given
 * up because of the price: it crosses if it can't be resumed.
 *
 * @param price - The price of the crossing.
 * @param terms - What else the decision depends on.
 */
export function decideForRunningStream(
  price: CrossingPrice,
  terms: RunningStreamTerms,
): CrossingDecision {
  if (price.isFastLink) return { outcome: 'cross', reason: 'fast_link', price };
  if (!price.endangersStreams) return { outcome: 'cross', reason: 'within_pause', price };
  const reason = 'endangers_streams';
  if (terms.hasInsideChain()) return { outcome: 'stay_inside', reason, price };
  if (!terms.hasBegun) return { outcome: 'leave', reason, price };
  return terms.isResumeImpossible
    ? { outcome: 'cross', reason: 'cannot_resume', price }
    : { outcome: 'resume', reason, price };
}
