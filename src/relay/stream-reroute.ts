/**
 * Leads a running stream around faulty engines, keeping its first stage. Handles a data centre that lost layers, where
 * reroutes over a slow link would delay all streams on it: such a stream is resumed inside a data centre if possible.
 */
import type { ChainSelector, EngineChain } from './chain-selector.js';
import { listStageAddresses } from './chain-selector.js';
import type { EntryContext } from '../entry/entry-context.js';

/** A running stream, and the engines that it has to avoid. */
export interface StreamToReroute {
  readonly requestId: string;
  /** The chain that the stream was sent over; its first stage is kept. */
  readonly chain: EngineChain;
  readonly faultyEngineIds: readonly string[];
  /** Whether the caller has received events of the stream. */
  readonly hasStarted: boolean;
  readonly lastEventId: number | undefined;
  /** Whether it has been found that the stream can't be resumed inside a data centre. */
  readonly isResumeImpossible: boolean;
}

/** What became of the stream. */
export type RerouteResult =
  | {
      readonly kind: 'rerouted';
      readonly chain: EngineChain;
      /** Tokens whose transfer over the chain's links is recorded. */
      readonly recordedTokens: number;
    }
  /** It is not known to have been rerouted. */
  | { readonly kind: 'impossible' }
  /** Each reroute would cross a link at too high a price. */
  | { readonly kind: 'tooExpensive' };

/** Why a stream cannot be rerouted, as in the log and in the metrics. */
type Obstacle =
  | 'fault_unknown'
  | 'first_engine_faulty'
  | 'no_chain'
  | 'crossing_too_dear'
  | 'order_failed'
  | 'conflict_unknown'
  | 'too_many_conflicts';

const MAXIMUM_REROUTES = 3;
const REROUTE_TIMEOUT_MILLISECONDS = 300;

/**
 * Reroutes a stream. Engines that reject the new chain are avoided in the next try.
 *
 * @param context - What the instance shares between requests.
 * @param selector - Chooses the new chain, and remembers which engines to avoid.
 * @param stream - The stream.
 * @returns The new chain, or why the stream is not known to have been rerouted.
 */
export async function rerouteStream(
  context: EntryContext,
  selector: ChainSelector,
  stream: StreamToReroute,
): Promise<RerouteResult> {
  const { protocol, fleet, logs, metrics } = context;
  const { requestId, chain, faultyEngineIds, lastEventId } = stream;
  const giveUp = (obstacle: Obstacle): RerouteResult => {
    logs('routing').info('Stream could not be rerouted.', {
      requestId,
      reason: obstacle,
      faultyEngineIds,
      lastEventId,
    });
    metrics.countEvent(`reroute_impossible_${obstacle}`);
    return { kind: obstacle === 'crossing_too_dear' ? 'tooExpensive' : 'impossible' };
  };
  const [pinnedStage] = chain.stages;
  if (!pinnedStage || faultyEngineIds.length === 0) return giveUp('fault_unknown');
  if (faultyEngineIds.includes(pinnedStage.engine.id)) return giveUp('first_engine_faulty');
  for (let attempt = 0; attempt < MAXIMUM_REROUTES; attempt += 1) {
    const { chain: newChain, decision } = selector.chooseReroute(stream);
    if (!newChain) return giveUp('no_chain');
    if (decision?.outcome === 'resume' || decision?.outcome === 'leave')
      return giveUp('crossing_too_dear');
    // Recorded before the answer, so that reroutes of other streams meanwhile take it into account.
    const recordedTokens = selector.recordReroute(newChain, lastEventId);
    const result = await protocol.rerouteStream(
      pinnedStage.engine.server.entry.address,
      { requestId, chain: listStageAddresses(newChain) },
      REROUTE_TIMEOUT_MILLISECONDS,
    );
    logs('routing').info('Reroute of the stream requested.', {
      ...selector.describeForLog(newChain),
      faultyEngineIds,
      result: result.kind,
      lastEventId,
    });
    metrics.countEvent(`repath_${result.kind}`);
    if (result.kind === 'done') return { kind: 'rerouted', chain: newChain, recordedTokens };
    if (result.kind === 'failed') return giveUp('order_failed');
    const faultyServer =
      result.faultAddress === undefined ? undefined : fleet.findByAddress(result.faultAddress);
    if (!faultyServer) return giveUp('conflict_unknown');
    selector.avoidedEngineIds.add(faultyServer.entry.id);
  }
  return giveUp('too_many_conflicts');
}
