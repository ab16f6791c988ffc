/**
 * Orders what instances know of the store. Handles a store that comes back from an older copy: revisions go
 * back and are given out again, so that they can be compared only within one era.
 */

/** A state of the store. */
export interface StorePosition {
  /** Rises each time the store comes back from an older copy. Undefined in what older builds tell. */
  readonly era: number | undefined;
  readonly revision: number;
}

/**
 * Tells whether one position is later than another.
 *
 * @param one - The position in question. Without an era it is taken for one of the other's era.
 * @param other - What it is compared with.
 * @returns False also when both are the same.
 */
export function isLater(one: StorePosition, other: StorePosition): boolean {
  if (one.era === undefined || other.era === undefined || one.era === other.era)
    return one.revision > other.revision;
  return one.era > other.era;
}
