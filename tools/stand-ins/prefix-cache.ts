/**
 * Prefix cache of a stand-in engine. It holds whole blocks of prompts, evicts the least recently
 * used block first, and records an event for each block that enters or leaves.
 */
import { hashPromptPrefixes } from '../../src/routing/text-hash.js';
import { PREFIX_BLOCK_CHARACTERS } from '../../src/backend/engine-protocol.js';

/**
 * Each event whose number is a multiple of this is omitted, so that readers have to handle gaps.
 */
const OMITTED_EVENT_INTERVAL = 7;
const MAXIMUM_EVENTS = 256;

export class PrefixCache {
  readonly #blocks = new Map<string, true>();

  readonly #events: { number: number; prefix: string; present: boolean }[] = [];

  readonly #maximumBlocks: number;

  #lastEventNumber = 0;

  constructor(maximumBlocks: number) {
    this.#maximumBlocks = maximumBlocks;
  }

  /** Counts the characters at the start of the prompt whose blocks are all cached. */
  countCachedCharacters(prompt: string): number {
    const hashes = hashPromptPrefixes(prompt);
    const firstMissing = hashes.findIndex((hash) => !this.#blocks.has(hash));
    return (firstMissing < 0 ? hashes.length : firstMissing) * PREFIX_BLOCK_CHARACTERS;
  }

  /** Caches all whole blocks of a prompt and marks them as recently used. */
  add(prompt: string): void {
    hashPromptPrefixes(prompt).forEach((hash) => {
      const wasCached = this.#blocks.delete(hash);
      this.#blocks.set(hash, true);
      if (!wasCached) this.#publish(hash, true);
    });
    while (this.#blocks.size > this.#maximumBlocks) {
      const [oldest] = this.#blocks.keys();
      if (oldest === undefined) return;
      this.#blocks.delete(oldest);
      this.#publish(oldest, false);
    }
  }

  /** Lists the retained events that follow the given event number. */
  listEventsSince(since: number): { next: number; events: unknown[] } {
    return {
      next: this.#lastEventNumber,
      events: this.#events.filter((event) => event.number > since),
    };
  }

  #publish(prefix: string, present: boolean): void {
    this.#lastEventNumber += 1;
    if (this.#lastEventNumber % OMITTED_EVENT_INTERVAL === 0) return;
    this.#events.push({ number: this.#lastEventNumber, prefix, present });
    if (this.#events.length > MAXIMUM_EVENTS) this.#events.shift();
  }
}
