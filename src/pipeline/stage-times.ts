/** Learns from each token what stages and links really take. */
import type { BackendServer } from '../backend/backend-server.js';
import type { BackendDirectory } from '../backend/directory.js';
import type { Receipt } from '../backend/engine-protocol.js';
import type { LinkLatencies } from '../routing/link-latencies.js';

/** Where the measurements go. */
export interface StageTimesContext {
  readonly directory: BackendDirectory;
  readonly linkLatencies: LinkLatencies;
}

/**
 * Takes in the times of one token.
 *
 * @param receipts - What each stage reported.
 * @param stages - The pipeline's stages, in the same order.
 * @param elapsedMilliseconds - The time since the token before.
 * @param context - Where the measurements go.
 */
export function noteStageTimes(
  receipts: readonly Receipt[],
  stages: readonly BackendServer[],
  elapsedMilliseconds: number,
  context: StageTimesContext,
): void {
  let inStages = 0;
  receipts.forEach((receipt, index) => {
    const server = stages[index];
    if (!server?.engine || receipt.milliseconds === undefined) return;
    inStages += receipt.milliseconds;
    context.directory.noteSlowness(
      server.id,
      receipt.milliseconds / server.engine.stepMilliseconds,
    );
  });
  const hops = stages.length - 1;
  if (hops === 0) return;
  const oneWay = Math.max(0, elapsedMilliseconds - inStages) / (2 * hops);
  stages.slice(1).forEach((server, index) => {
    const from = stages[index]?.listed.dataCentre;
    if (from !== undefined)
      context.linkLatencies.recordMeasurement(from, server.listed.dataCentre, oneWay);
  });
}
