/** Rendezvous (highest random weight) hashing: assigns a key to one of several instances. */
import { hashText32 } from './text-hash.js';

/**
 * Ranks the possible owners of a key. Instances that know the same candidates get the same order.
 * When a candidate disappears, only the keys that it owned get another owner.
 *
 * @param key - The key that is to have an owner.
 * @param candidates - The ids of the possible owners.
 * @param count - How many owners to return.
 * @returns The ids with the highest scores, highest first.
 */
export function rankOwners(key: string, candidates: readonly string[], count = 1): string[] {
  const scored = candidates.map((name) => ({ name, score: hashText32(`${key}\n${name}`) }));
  scored.sort((left, right) => right.score - left.score || (left.name < right.name ? -1 : 1));
  return scored.slice(0, count).map(({ name }) => name);
}
