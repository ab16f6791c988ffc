/**
 * Decides whether a new request is admitted, by the pressure on the chain or server that it would get (trunk
 * reservation). Handles a lasting overload in which the least urgent requests would take what the urgent ones need.
 * The decision depends on the present pressure alone, so no class stays shut out once the pressure has ended.
 */
import type { Pressure } from './pressure.js';
import type { PriorityClass } from './priority-classes.js';

/** What the decision on one request depends on. */
export interface AdmissionInputs {
  readonly priorityClass: PriorityClass;
  readonly pressure: Pressure;
  /** The share of the places of all servers that could serve the request; looked up only under pressure. */
  readonly takenPlaces: () => number;
  /** Whether its client account uses more than its fair share; looked up only under pressure. */
  readonly isOverShare: () => boolean;
  /** The time that is left of the time that its route allows, as a share. */
  readonly timeLeftShare: number;
}

export type RefusalCode = 'reserved_for_priority' | 'account_over_share' | 'not_in_time';

/** Whether a request is admitted, and the limit that decided. */
export type AdmissionDecision =
  | { readonly kind: 'admit'; readonly limit: number }
  | { readonly kind: 'refuse'; readonly code: RefusalCode; readonly limit: number };

/** What the decision on the time of a call depends on. */
export interface TimeInputs {
  readonly priorityClass: PriorityClass;
  /** The expected time of the best server. */
  readonly expectedMilliseconds: number;
  readonly timeLeftMilliseconds: number;
  /** The share of the places of all servers that is taken; 1 if all are at their slots. */
  readonly takenPlaces: number;
  readonly areAllFull: boolean;
}

/** The limit of the least urgent class. Of six slots it leaves two to more urgent requests. */
const LOWEST_LIMIT = 0.8;
/** Nothing is refused while a smaller share of the places is taken. */
const MINIMUM_TAKEN_PLACES = 0.5;
/**
 * A request without time left is admitted up to this share of the way to the limit of the next more urgent class, so
 * that returning requests go before fresh ones of their class and after those of the next.
 */
const TIME_LEFT_WEIGHT = 0.5;

/**
 * Returns the pressure up to which requests of a class are admitted.
 *
 * @param priorityClass - The class.
 * @returns Infinity for the most urgent class; for the others below 1 and not below 0.8, less for each further one.
 */
export function computeClassLimit({ index, count }: PriorityClass): number {
  if (index === 0 || count < 2) return Number.POSITIVE_INFINITY;
  return 1 - (1 - LOWEST_LIMIT) * (index / (count - 1));
}

function raiseForTimeLeft(
  limit: number,
  { index, count }: PriorityClass,
  timeLeftShare: number,
): number {
  const nextLimit = Math.min(1, computeClassLimit({ index: index - 1, count }));
  const timeSpentShare = 1 - Math.max(0, Math.min(1, timeLeftShare));
  return limit + TIME_LEFT_WEIGHT * timeSpentShare * (nextLimit - limit);
}

/**
 * Decides on a new request.
 *
 * @param inputs - Its class, the pressure and what is looked up under pressure.
 * @returns Whether it is admitted, and the limit that decided.
 */
export function decideOnAdmission({
  priorityClass,
  pressure,
  takenPlaces,
  isOverShare,
  timeLeftShare,
}: AdmissionInputs): AdmissionDecision {
  const { index, count } = priorityClass;
  const classLimit = computeClassLimit(priorityClass);
  const limit =
    index === 0 ? classLimit : raiseForTimeLeft(classLimit, priorityClass, timeLeftShare);
  const lowestLimit = computeClassLimit({ index: count - 1, count });
  if (pressure.value <= lowestLimit || takenPlaces() < MINIMUM_TAKEN_PLACES)
    return { kind: 'admit', limit };
  if (pressure.value > limit) return { kind: 'refuse', code: 'reserved_for_priority', limit };
  // An account over its share has the limit of the next less urgent class, so that the order of classes holds.
  const shareLimit = computeClassLimit({ index: Math.min(index + 1, count - 1), count });
  if (pressure.value > shareLimit && isOverShare())
    return { kind: 'refuse', code: 'account_over_share', limit: shareLimit };
  return { kind: 'admit', limit };
}

/**
 * Decides whether a call can be completed within its deadline. Handles calls that are late before they run and keep
 * the slots from others. A service with one class whose servers have free slots is served without this decision.
 *
 * @param inputs - The expected time and the time left.
 * @returns Whether the call can be completed in time, as far as is known.
 */
export function isExpectedInTime({
  priorityClass,
  expectedMilliseconds,
  timeLeftMilliseconds,
  takenPlaces,
  areAllFull,
}: TimeInputs): boolean {
  const isInEffect = areAllFull || (priorityClass.count > 1 && takenPlaces >= MINIMUM_TAKEN_PLACES);
  return !isInEffect || expectedMilliseconds <= timeLeftMilliseconds;
}
