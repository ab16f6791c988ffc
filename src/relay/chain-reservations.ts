/**
 * Reserves the work of one request at the engines of its chains and on the links between data centres. Handles
 * requests that come so close together that engines and peers have not reported the ones before.
 */
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { ServerPace } from '../fleet/server-pace.js';
import type { DataCentreLinkLoad } from '../layers/data-centre-link-load.js';
import type { RequestTokens } from '../layers/engine-estimates.js';
import { describeLinkStream, listCrossings } from '../layers/priced-choice.js';
import type { EngineChain } from './chain-selector.js';

/** Options of {@link ChainReservations}. */
export interface ChainReservationsOptions {
  readonly linkLoad: DataCentreLinkLoad;
  readonly serverPace: Pick<ServerPace, 'begin'>;
  readonly profile: EngineProfile;
  readonly tokens: RequestTokens;
  /** 0 for none. */
  readonly pauseTargetMilliseconds: number;
}

export class ChainReservations {
  readonly #options: ChainReservationsOptions;

  constructor(options: ChainReservationsOptions) {
    this.#options = options;
  }

  /**
   * Reserves a chain's work.
   *
   * @param chain - The chain that the request is sent over.
   * @param recordedTokens - Tokens whose transfer over the chain's links is recorded already.
   * @returns A function that releases the reservation; call it once.
   */
  reserve(chain: EngineChain, recordedTokens: number): () => void {
    const { prompt, output } = this.#options.tokens;
    const reservations = chain.stages.map(({ engine, layers }) => ({
      load: engine.server.ownLoad,
      tokenLayers: (prompt + output) * (layers.to - layers.from),
    }));
    const tokens = Math.max(0, prompt + output - recordedTokens);
    this.recordTransfer(chain, tokens, Math.max(0, prompt - recordedTokens));
    const removeFromLinks = this.#addToLinks(chain);
    const endCounts = chain.stages.map(({ engine }) =>
      this.#options.serverPace.begin(engine.server),
    );
    reservations.forEach(({ load, tokenLayers }) => {
      load.requests += 1;
      load.reservedTokenLayers += tokenLayers;
    });
    return () => {
      removeFromLinks();
      endCounts.forEach((end) => end());
      reservations.forEach(({ load, tokenLayers }) => {
        load.requests -= 1;
        load.reservedTokenLayers -= tokenLayers;
      });
    };
  }

  /**
   * Records that activations are sent over each link that a chain crosses.
   *
   * @param chain - The chain.
   * @param tokens - Number of tokens.
   * @param promptTokens - Those of them that are sent at once; all by default.
   */
  recordTransfer(chain: EngineChain, tokens: number, promptTokens = tokens): void {
    const { linkLoad, profile } = this.#options;
    listCrossings(chain.stages).forEach(({ from, to, hops }) => {
      const bitsPerToken = 8 * hops * profile.activationBytesPerToken;
      linkLoad.recordTransfer(
        from,
        to,
        tokens * bitsPerToken,
        profile.dataCentreLinkMegabitsPerSecond,
        promptTokens * bitsPerToken,
      );
    });
  }

  /** Adds the stream to the links that its chain crosses; returns a function that removes it. */
  #addToLinks(chain: EngineChain): () => void {
    const { linkLoad, pauseTargetMilliseconds } = this.#options;
    const crossings = listCrossings(chain.stages);
    if (crossings.length === 0) return () => undefined;
    const stream = describeLinkStream(chain, this.#options, pauseTargetMilliseconds);
    const removals = crossings.map(({ from, to }) => linkLoad.addStream(from, to, stream));
    return () => removals.forEach((remove) => remove());
  }
}
