/**
 * Hashes text with xxHash: for checksums and sharding, for content hashes, and for the prompt
 * prefixes that engines keep in their caches. xxHash is not a cryptographic hash.
 */
import xxhash from 'xxhash-wasm';
import { PREFIX_BLOCK_CHARACTERS } from '../backend/engine-protocol.js';

const hasher = await xxhash();

/**
 * Hashes text to 32 bits. The hash is the same on every instance.
 *
 * @param text - The text to hash.
 * @param seed - An unsigned 32-bit seed, such as the hash of the text before.
 * @returns An unsigned 32-bit number.
 */
export function hashText32(text: string, seed = 0): number {
  return hasher.h32(text, seed);
}

/**
 * Hashes text to 64 bits. The hash is the same on every instance.
 *
 * @param text - The text to hash.
 * @returns Sixteen hexadecimal digits.
 */
export function hashText64(text: string): string {
  return hasher.h64ToString(text);
}

/**
 * Hashes every prefix of a prompt that consists of whole blocks, as engines do for their caches.
 *
 * @param prompt - The whole prompt.
 * @returns One hash per whole block, shortest prefix first.
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
