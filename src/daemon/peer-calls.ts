/** Calls to other instances: forwarded service calls and questions about outcomes. */
import type { Membership } from '../peer/membership.js';
import type { ServiceCallMessage } from '../peer/messages.js';
import { PeerCallError } from '../peer/peer-call-error.js';
import type { PeerClientPool } from '../peer/peer-client-pool.js';
import { Outcome, createUnknownOutcome } from '../routing/outcome.js';

/** How long the peer may wait for a call in progress to end before it responds without an outcome. */
const OUTCOME_WAIT_MILLISECONDS = 5000;
/** Added to that wait for the network. */
const OUTCOME_GRACE_MILLISECONDS = 500;
/** Added to the call's deadline, for the issuer's response. */
const FORWARD_GRACE_MILLISECONDS = 15_000;
const ISSUER_RETRY_MILLISECONDS = 2000;

/** Options of {@link PeerCalls}. */
export interface PeerCallsOptions {
  readonly membership: Membership;
  readonly clients: PeerClientPool;
}

/** Calls the procedures of peers over their gRPC interface. */
export class PeerCalls {
  readonly #options: PeerCallsOptions;

  constructor(options: PeerCallsOptions) {
    this.#options = options;
  }

  /**
   * Forwards a service call to the instance that issued its ticket, the only one that can tell whether
   * the ticket has been spent.
   *
   * @param instance - Name of the issuer.
   * @param call - The call to run there.
   * @returns The issuer's outcome; `unknown` when the issuer is not known or does not respond, since
   *   this or an earlier submission may have run.
   */
  async forwardCall(instance: string, call: ServiceCallMessage): Promise<Outcome> {
    const { membership, clients } = this.#options;
    const member = membership.find(instance);
    if (!member)
      return createUnknownOutcome(
        'issuer_gone',
        'The instance that issued the ticket is not known.',
      );
    const timeoutMilliseconds = call.deadlineMilliseconds + FORWARD_GRACE_MILLISECONDS;
    try {
      const response = await clients
        .getClient(member.peerAddress)
        .call('spendTicket', call, timeoutMilliseconds);
      return Outcome.parse(response.outcome);
    } catch (error) {
      const wasNeverSent = error instanceof PeerCallError && error.wasNeverSent;
      const message = wasNeverSent
        ? 'The issuer can not be reached; this submission did not run, an earlier one may have.'
        : 'The issuer did not answer; the call may have run.';
      return createUnknownOutcome('issuer_unreachable', message, ISSUER_RETRY_MILLISECONDS);
    }
  }

  /**
   * Asks an instance for the outcome of an idempotency key that it holds, and waits up to 5 s for a
   * call in progress.
   *
   * @param instance - Name of the instance that holds the claim on the key.
   * @param account - The client account that the key belongs to.
   * @param key - The idempotency key.
   * @returns The outcome; undefined when the instance is gone, does not respond or has none.
   */
  async fetchOutcome(instance: string, account: string, key: string): Promise<Outcome | undefined> {
    const { membership, clients } = this.#options;
    const member = membership.find(instance);
    if (!member || member.state === 'gone') return undefined;
    const waitMilliseconds = OUTCOME_WAIT_MILLISECONDS;
    try {
      const response = await clients
        .getClient(member.peerAddress)
        .call(
          'readOutcome',
          { key, account, waitMilliseconds },
          waitMilliseconds + OUTCOME_GRACE_MILLISECONDS,
        );
      const parsed = Outcome.safeParse(response.outcome);
      return parsed.success ? parsed.data : undefined;
    } catch {
      return undefined;
    }
  }
}
