/**
 * Finds the chains of engines that one generation runs on: leaves out engines that failed under it as
 * long as others cover the model, and waits where a chain may become free.
 */
import type { BackendServer } from '../backend/backend-server.js';
import { sleep } from '../common/clock.js';
import { chooseEngineChain, type EngineChain } from '../routing/engine-chain-choice.js';
import { selectSuspectEngines } from '../routing/suspect-engines.js';
import { countContextTokens } from './context-tokens.js';
import type { GenerationContext } from './generation-context.js';
import type { GenerationRequest } from './generation-request.js';

/** Options of {@link ChainFinder}. */
export interface ChainFinderOptions {
  readonly request: GenerationRequest;
  readonly context: GenerationContext;
  /** The hashes of the prompt's prefixes, which engines may have cached. */
  readonly prefixHashes: readonly string[];
}

/** How far a generation is when it needs a chain. */
export interface ChainNeed {
  /** Whether its content is suspected of crashing engines. */
  readonly isSuspect: boolean;
  /** Whether the caller has been sent tokens. */
  readonly hasSentTokens: boolean;
  /** The number of tokens generated so far. */
  readonly tokens: number;
}

const CHAIN_RETRY_MILLISECONDS = 20;
/** How long a stream that has already sent tokens waits for a chain to continue on. */
const RESUME_WAIT_MILLISECONDS = 10_000;

export class ChainFinder {
  readonly #request: GenerationRequest;

  readonly #context: GenerationContext;

  readonly #prefixHashes: readonly string[];

  /** The ids of engines that are not chosen because they failed in this generation. */
  readonly #excluded = new Set<string>();

  constructor({ request, context, prefixHashes }: ChainFinderOptions) {
    this.#request = request;
    this.#context = context;
    this.#prefixHashes = prefixHashes;
  }

  /** Leaves engines out of further choices. */
  exclude(ids: Iterable<string>): void {
    [...ids].forEach((id) => this.#excluded.add(id));
  }

  /**
   * Waits for a chain.
   *
   * @param need - How far the generation is.
   * @returns The chain; undefined if there is none in time, waiting can't help or the caller has gone.
   */
  async find(need: ChainNeed): Promise<EngineChain | undefined> {
    const { signal, startBy } = this.#request;
    const { hasSentTokens } = need;
    const deadline = hasSentTokens ? performance.now() + RESUME_WAIT_MILLISECONDS : startBy;
    while (!signal.aborted) {
      const chain = this.#choose(need) ?? this.#chooseWithoutExclusions(need);
      if (chain) return chain;
      const hasDeadlinePassed = performance.now() >= deadline;
      if (hasDeadlinePassed || (!hasSentTokens && !this.#canWaitingHelp())) return undefined;
      await sleep(CHAIN_RETRY_MILLISECONDS, signal);
    }
    return undefined;
  }

  /** Chooses among all engines again, including those that failed before in this generation. */
  #chooseWithoutExclusions(need: ChainNeed): EngineChain | undefined {
    if (this.#excluded.size === 0) return undefined;
    this.#excluded.clear();
    return this.#choose(need);
  }

  /** Tells whether waiting can help: an engine holds the wanted version or is loading one. */
  #canWaitingHelp(): boolean {
    const { model, version, adapter } = this.#request;
    return this.#context.directory
      .findEngines(model)
      .some(
        ({ engine }) =>
          engine?.loading || (engine?.version === version && engine.adapter === adapter),
      );
  }

  #choose({ isSuspect, hasSentTokens, tokens }: ChainNeed): EngineChain | undefined {
    const { directory, prefixCacheIndex, dataCentre, linkLatencies } = this.#context;
    const { model, version, adapter, fleets, maximumTokens } = this.#request;
    return chooseEngineChain({
      engines: isSuspect ? this.#selectSuspectEngines() : directory.findEngines(model),
      request: {
        model,
        version,
        adapter,
        fleets,
        contextTokens: countContextTokens(this.#request, tokens),
        tokensToProduce: maximumTokens - tokens,
        cachedCharacters: prefixCacheIndex.findCachedCharacters(this.#prefixHashes),
        excluded: this.#excluded,
        isSuspect,
        canExceedLimits: hasSentTokens,
      },
      dataCentre,
      linkLatencies,
      now: performance.now(),
      trafficFactor: directory.trafficFactor,
      random: Math.random,
    });
  }

  #selectSuspectEngines(): readonly BackendServer[] {
    const { directory, instance, instances } = this.#context;
    const now = performance.now();
    const { model, version, adapter } = this.#request;
    const engines = directory
      .findEngines(model)
      .filter((server) => !this.#excluded.has(server.id) && server.isUsable(now))
      .filter(({ engine }) => engine?.version === version && engine.adapter === adapter);
    return selectSuspectEngines({ engines, instance, instances: instances() });
  }
}
