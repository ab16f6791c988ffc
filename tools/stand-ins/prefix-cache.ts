/** A stand-in engine's prefix cache: whole blocks, least recently used first out, late events. */
import { hashPromptPrefixes } from '../../src/routing/text-hash.js';
import { PREFIX_BLOCK_CHARACTERS } from '../../src/backend/engine-protocol.js';

/** Every event whose number divides by this is never published, so that readers meet gaps. */
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

  /** Gives the characters of the prompt's start that the cache holds. */
  countCachedCharacters(prompt: string): number {
    const hashes = hashPromptPrefixes(prompt);
    const firstMissing = hashes.findIndex((hash) => !this.#blocks.has(hash));
    return (firstMissing < 0 ? hashes.length : firstMissing) * PREFIX_BLOCK_CHARACTERS;
  }

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
