/**
 * Checks the receipts of a token: the stages' statements of which layers they ran for it. They
 * must show that every layer ran exactly once, in order, for this token in this attempt.
 */
import type { EngineEvent, EngineStage } from '../backend/engine-protocol.js';
import type { Issue } from '../common/issue.js';

type TokenEvent = Extract<EngineEvent, { kind: 'token' }>;

/** The values that the receipts of a token must match. */
export interface ExpectedToken {
  readonly attempt: number;
  readonly position: number;
  readonly route: readonly EngineStage[];
  readonly totalLayers: number;
}

/**
 * Checks the receipts of a token against the route that its task was sent along.
 *
 * @param event - The token event as it arrived.
 * @param expected - The attempt, position and route that it must belong to.
 * @returns All discrepancies; empty if the token may be sent to the caller.
 */
export function checkReceipts(event: TokenEvent, expected: ExpectedToken): Issue[] {
  const issues: Issue[] = [];
  const addIssue = (code: string, index: number, message: string): void => {
    issues.push({ code, path: ['receipts', index], message });
  };
  let nextLayer = 0;
  event.receipts.forEach((receipt, index) => {
    const stage = expected.route[index];
    if (receipt.attempt !== expected.attempt)
      addIssue('other_attempt', index, 'The receipt belongs to another attempt.');
    if (receipt.position !== expected.position)
      addIssue('other_token', index, 'The receipt belongs to another token.');
    if (stage?.engine !== receipt.engine)
      addIssue('other_engine', index, 'The receipt is from another engine.');
    if (receipt.from !== nextLayer || receipt.to <= receipt.from) {
      addIssue(
        'layers',
        index,
        `Layers ${receipt.from} to ${receipt.to} do not follow layer ${nextLayer}.`,
      );
    }
    nextLayer = receipt.to;
  });
  if (nextLayer !== expected.totalLayers) {
    addIssue(
      'layers',
      event.receipts.length,
      `The receipts end at layer ${nextLayer} of ${expected.totalLayers}.`,
    );
  }
  return issues;
}
