/** A stand-in engine's prefix cache: whole blocks, least recently used first out, late events. */
import { hashPromptPrefixes } from '../../src/routing/text-hash.js';
import { PREFIX_BLOCK_CHARACTERS } from '../../src/backend/engine-protocol.js';

/** Every event whose number divides by this is never published, so that readers meet gaps. */
const GAP_EVERY = 7;
const EVENTS_KEPT = 256;

export class PrefixCache {
  readonly #blocks = new Map<string, true>();

  readonly #events: { number: number; prefix: string; present: boolean }[] = [];

  readonly #capacity: number;

  #number = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Gives the characters of the prompt's start that the cache holds. */
  match(prompt: string): number {
    const hashes = hashPromptPrefixes(prompt);
    const missing = hashes.findIndex((hash) => !this.#blocks.has(hash));
    return (missing < 0 ? hashes.length : missing) * PREFIX_BLOCK_CHARACTERS;
  }

  add(prompt: string): void {
    hashPromptPrefixes(prompt).forEach((hash) => {
      const known = this.#blocks.delete(hash);
      this.#blocks.set(hash, true);
      if (!known) this.#publish(hash, true);
    });
    while (this.#blocks.size > this.#capacity) {
      const [oldest] = this.#blocks.keys();
      if (oldest === undefined) return;
      this.#blocks.delete(oldest);
      this.#publish(oldest, false);
    }
  }

  eventsSince(since: number): { next: number; events: unknown[] } {
    return { next: this.#number, events: this.#events.filter((event) => event.number > since) };
  }

  #publish(prefix: string, present: boolean): void {
    this.#number += 1;
    if (this.#number % GAP_EVERY === 0) return;
    this.#events.push({ number: this.#number, prefix, present });
    if (this.#events.length > EVENTS_KEPT) this.#events.shift();
  }
}
