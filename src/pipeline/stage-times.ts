/**
 * Updates the estimates of stage times and link latencies with the times measured for each token.
 */
import type { BackendServer } from '../backend/backend-server.js';
import type { BackendDirectory } from '../backend/directory.js';
import type { Receipt } from '../backend/engine-protocol.js';
import type { LinkLatencies } from '../routing/link-latencies.js';

/** The estimates to update. */
export interface StageTimesContext {
  readonly directory: BackendDirectory;
  readonly linkLatencies: LinkLatencies;
}

/**
 * Records the times of one token. The time that no stage accounts for is divided evenly between
 * the links of the chain.
 *
 * @param receipts - The receipts of the token, one per stage.
 * @param stages - The stages of the chain, in the same order.
 * @param elapsedMilliseconds - The time since the previous token.
 * @param context - The estimates to update.
 */
export function recordStageTimes(
  receipts: readonly Receipt[],
  stages: readonly BackendServer[],
  elapsedMilliseconds: number,
  context: StageTimesContext,
): void {
  let stageMilliseconds = 0;
  receipts.forEach((receipt, index) => {
    const server = stages[index];
    if (!server?.engine || receipt.milliseconds === undefined) return;
    stageMilliseconds += receipt.milliseconds;
    context.directory.recordSlowdown(
      server.id,
      receipt.milliseconds / server.engine.stepMilliseconds,
    );
  });
  const hops = stages.length - 1;
  if (hops === 0) return;
  const oneWayMilliseconds = Math.max(0, elapsedMilliseconds - stageMilliseconds) / (2 * hops);
  stages.slice(1).forEach((server, index) => {
    const from = stages[index]?.listed.dataCentre;
    if (from !== undefined)
      context.linkLatencies.recordMeasurement(from, server.listed.dataCentre, oneWayMilliseconds);
  });
}
