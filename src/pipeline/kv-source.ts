/** Decides whether a stage imports a KV cache from another engine or computes it again by prefill. */
import type { BackendServer } from '../backend/backend-server.js';
import type { Address } from '../common/address.js';

/** An engine that holds the KV cache of a request for its own layers. */
export interface KvHolder {
  readonly server: BackendServer;
  /** The smallest number of tokens that the cache covers. */
  readonly tokens: number;
}

/** The fixed time of an import, for the request itself. */
const IMPORT_OVERHEAD_MILLISECONDS = 2;
/** Transferring a KV cache is this many times as fast as computing it. */
const IMPORT_SPEED_FACTOR = 8;

/**
 * Chooses where a stage gets the KV cache of a request from.
 *
 * @param server - The engine of the stage.
 * @param holders - Engines that hold KV caches of the request and still answer.
 * @param contextTokens - The number of tokens that the cache must cover.
 * @returns The address of the engine to import from. Undefined if the stage has the cache already,
 *   no engine has it for the same layers, or prefill is not slower than the import.
 */
export function chooseKvSource(
  server: BackendServer,
  holders: readonly KvHolder[],
  contextTokens: number,
): Address | undefined {
  const { engine } = server;
  if (!engine || holders.some((holder) => holder.server.id === server.id)) return undefined;
  const holder = holders.find(
    ({ server: { engine: other } }) => other?.from === engine.from && other.to === engine.to,
  );
  if (!holder) return undefined;
  const share = (engine.to - engine.from) / engine.totalLayers;
  const prefillMilliseconds = (contextTokens * share) / engine.prefillTokensPerMillisecond;
  const importMilliseconds =
    IMPORT_OVERHEAD_MILLISECONDS +
    contextTokens / (engine.prefillTokensPerMillisecond * IMPORT_SPEED_FACTOR);
  return importMilliseconds < prefillMilliseconds ? holder.server.address : undefined;
}
