/** Hashes of a prompt's leading blocks, by which cached prefixes are known. */
import xxhash from 'xxhash-wasm';
import { PREFIX_BLOCK_CHARACTERS } from '../backend/engine-protocol.js';

const hasher = await xxhash();

/**
 * Hashes text to 32 bits.
 *
 * @param text - The text.
 * @param seed - Starts the hash; the same seed gives the same hash.
 * @returns An unsigned 32-bit number.
 */
export function hashText32(text: string, seed = 0): number {
  return hasher.h32(text, seed);
}

/**
 * Hashes text to a 64-bit fingerprint.
 *
 * @param text - The text.
 * @returns Sixteen hexadecimal digits.
 */
export function hashText64(text: string): string {
  return hasher.h64ToString(text);
}

/**
 * Hashes each whole leading block together with all before it.
 *
 * @param prompt - The prompt.
 * @returns One hash for each whole block, shortest prefix first.
 */
export function hashPromptPrefixes(prompt: string): string[] {
  const hashes: string[] = [];
  let previous = '';
  for (let end = PREFIX_BLOCK_CHARACTERS; end <= prompt.length; end += PREFIX_BLOCK_CHARACTERS) {
    previous = hashText64(previous + prompt.slice(end - PREFIX_BLOCK_CHARACTERS, end));
    hashes.push(previous);
  }
  return hashes;
}
