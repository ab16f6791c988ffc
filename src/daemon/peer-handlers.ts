/** Handles the procedures that peers call on this instance. */
import type { ClaimWriter } from '../claims/claim-writer.js';
import type { LinkContext } from '../peer/link-task.js';
import { answerExchange } from '../peer/link-task.js';
import type { ProcedureHandlers } from '../peer/protocol.js';
import type { AccountLimiter } from '../routing/account-limiter.js';
import type { RunRegistry } from '../service/run-registry.js';
import type { ServiceRunner } from '../service/service-runner.js';

/** Options of {@link createPeerHandlers}. */
export interface PeerHandlerOptions {
  readonly link: LinkContext;
  readonly claimWriter: ClaimWriter;
  readonly registry: RunRegistry;
  readonly limiter: AccountLimiter;
  readonly services: ServiceRunner;
}

function waitWithoutOutcome(milliseconds: number): Promise<undefined> {
  return new Promise((resolve) => {
    setTimeout(() => resolve(undefined), milliseconds).unref();
  });
}

/**
 * Creates the handlers of the peer server.
 *
 * @param options - The components that carry out the procedures.
 * @returns A handler for each procedure.
 */
export function createPeerHandlers(options: PeerHandlerOptions): ProcedureHandlers {
  const { link, claimWriter, registry, limiter, services } = options;
  return {
    exchange: (message) => answerExchange(link, message),
    claim: (message) => claimWriter.submit(message),
    spendTicket: async (call) => ({ outcome: await services.run(call) }),
    readOutcome: async ({ key, account, waitMilliseconds }) => {
      const outcome = await Promise.race([
        registry.findAfterPendingClaims(`${account}/${key}`).then((run) => run?.outcome),
        waitWithoutOutcome(waitMilliseconds),
      ]);
      return { outcome: outcome ?? null };
    },
    borrow: ({ account, amount }) => limiter.grantTokens(account, amount),
  };
}
