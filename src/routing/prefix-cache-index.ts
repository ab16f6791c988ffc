/**
 * Which engines likely hold which prompt prefixes. It is a hint: engines publish cache events
 * late and with gaps, and what is remembered may be gone.
 */
import { LruMap } from '../common/lru-map.js';
import { PREFIX_BLOCK_CHARACTERS } from '../backend/engine-protocol.js';

/** Options of {@link PrefixCacheIndex}. */
export interface PrefixCacheIndexOptions {
  readonly maximumPrefixes?: number;
}

const MAXIMUM_PREFIXES = 20_000;
const ENGINES_PER_PREFIX = 8;

export class PrefixCacheIndex {
  readonly #holders: LruMap<string, Set<string>>;

  constructor(options: PrefixCacheIndexOptions = {}) {
    this.#holders = new LruMap(options.maximumPrefixes ?? MAXIMUM_PREFIXES);
  }

  /**
   * Notes that an engine has run a prompt.
   *
   * @param engine - The engine's name.
   * @param hashes - The hashes of the prompt's leading blocks.
   */
  recordPrompt(engine: string, hashes: readonly string[]): void {
    hashes.forEach((hash) => this.#add(engine, hash));
  }

  /**
   * Takes in cache events of an engine.
   *
   * @param engine - The engine's name.
   * @param events - Prefixes that entered or left its cache.
   */
  applyCacheEvents(engine: string, events: readonly { prefix: string; present: boolean }[]): void {
    events.forEach(({ prefix, present }) => {
      if (present) this.#add(engine, prefix);
      else this.#holders.get(prefix)?.delete(engine);
    });
  }

  /**
   * Estimates how much of a prompt each engine has cached.
   *
   * @param hashes - The hashes of the prompt's leading blocks, shortest first.
   * @returns For each engine that holds a leading part, that part's characters.
   */
  findCachedCharacters(hashes: readonly string[]): Map<string, number> {
    const cached = new Map<string, number>();
    hashes.forEach((hash, block) => {
      this.#holders.get(hash)?.forEach((engine) => {
        cached.set(engine, (block + 1) * PREFIX_BLOCK_CHARACTERS);
      });
    });
    return cached;
  }

  #add(engine: string, hash: string): void {
    const holders = this.#holders.get(hash) ?? new Set<string>();
    holders.delete(engine);
    holders.add(engine);
    const [oldest] = holders;
    if (holders.size > ENGINES_PER_PREFIX && oldest !== undefined) holders.delete(oldest);
    this.#holders.set(hash, holders);
  }
}
