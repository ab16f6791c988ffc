/**
 * Indexes which engines probably have which prompt prefixes in their KV caches. The index is only
 * a hint for choosing engines: cache events arrive late and with gaps, and an engine may have
 * evicted a prefix since.
 */
import { LruMap } from '../common/lru-map.js';
import { PREFIX_BLOCK_CHARACTERS } from '../backend/engine-protocol.js';

/** Options of {@link PrefixCacheIndex}. */
export interface PrefixCacheIndexOptions {
  /** Above this number the least recently used prefix is dropped. */
  readonly maximumPrefixes?: number;
}

const MAXIMUM_PREFIXES = 20_000;
const MAXIMUM_ENGINES_PER_PREFIX = 8;

export class PrefixCacheIndex {
  readonly #enginesByPrefix: LruMap<string, Set<string>>;

  constructor(options: PrefixCacheIndexOptions = {}) {
    this.#enginesByPrefix = new LruMap(options.maximumPrefixes ?? MAXIMUM_PREFIXES);
  }

  /**
   * Records that an engine has run a prompt and so has its prefixes in its cache.
   *
   * @param engine - The id of the engine.
   * @param hashes - The prefix hashes of the prompt.
   */
  recordPrompt(engine: string, hashes: readonly string[]): void {
    hashes.forEach((hash) => this.#add(engine, hash));
  }

  /**
   * Applies cache events that an engine has published.
   *
   * @param engine - The id of the engine.
   * @param events - Prefix hashes that entered or left its cache, in order.
   */
  applyCacheEvents(engine: string, events: readonly { prefix: string; present: boolean }[]): void {
    events.forEach(({ prefix, present }) => {
      if (present) this.#add(engine, prefix);
      else this.#enginesByPrefix.get(prefix)?.delete(engine);
    });
  }

  /**
   * Estimates how much of a prompt each engine has in its cache.
   *
   * @param hashes - The prefix hashes of the prompt, shortest prefix first.
   * @returns By engine id: the number of leading characters that are cached.
   */
  findCachedCharacters(hashes: readonly string[]): Map<string, number> {
    const cached = new Map<string, number>();
    hashes.forEach((hash, block) => {
      this.#enginesByPrefix.get(hash)?.forEach((engine) => {
        cached.set(engine, (block + 1) * PREFIX_BLOCK_CHARACTERS);
      });
    });
    return cached;
  }

  #add(engine: string, hash: string): void {
    const engines = this.#enginesByPrefix.get(hash) ?? new Set<string>();
    engines.delete(engine);
    engines.add(engine);
    const [oldest] = engines;
    if (engines.size > MAXIMUM_ENGINES_PER_PREFIX && oldest !== undefined) engines.delete(oldest);
    this.#enginesByPrefix.set(hash, engines);
  }
}
