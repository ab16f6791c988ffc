/** Rendezvous hashing: which of several instances a subject likely belongs to. */
import { hashText32 } from './text-hash.js';

/**
 * Ranks candidates for a subject. Instances with the same candidates agree; when a candidate
 * goes, only the subjects that it owned move.
 *
 * @param subject - What is to be owned.
 * @param candidates - The names of those that may own it.
 * @param count - How many to give.
 * @returns The likeliest owners, best first.
 */
export function rankOwners(subject: string, candidates: readonly string[], count = 1): string[] {
  const scored = candidates.map((name) => ({ name, score: hashText32(`${subject}\n${name}`) }));
  scored.sort((one, other) => other.score - one.score || (one.name < other.name ? -1 : 1));
  return scored.slice(0, count).map(({ name }) => name);
}
