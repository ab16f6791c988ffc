/** What this instance asks of its peers. */
import type { Membership } from '../peer/membership.js';
import type { ServiceCallMessage } from '../peer/messages.js';
import { PeerCallError } from '../peer/peer-call-error.js';
import type { PeerClients } from '../peer/peer-clients.js';
import { Outcome, createUnknownOutcome } from '../routing/outcome.js';

const ASK_OUTCOME_WAIT_MILLISECONDS = 5000;
const ASK_OUTCOME_GRACE_MILLISECONDS = 500;
const PASS_ON_GRACE_MILLISECONDS = 15_000;
const ISSUER_RETRY_MILLISECONDS = 2000;

/** Options of {@link PeerCalls}. */
export interface PeerCallsOptions {
  readonly membership: Membership;
  readonly clients: PeerClients;
}

export class PeerCalls {
  readonly #options: PeerCallsOptions;

  constructor(options: PeerCallsOptions) {
    this.#options = options;
  }

  /**
   * Passes a call on to the instance that issued its ticket.
   *
   * @param instance - The issuer.
   * @param call - The call.
   * @returns The issuer's outcome; unknown when it brought none, since it may have run the call.
   */
  async passOn(instance: string, call: ServiceCallMessage): Promise<Outcome> {
    const { membership, clients } = this.#options;
    const member = membership.find(instance);
    if (!member)
      return createUnknownOutcome(
        'issuer_gone',
        'The instance that issued the ticket is not known.',
      );
    const timeout = call.deadlineMilliseconds + PASS_ON_GRACE_MILLISECONDS;
    try {
      const answer = await clients.to(member.peerAddress).call('spendTicket', call, timeout);
      return Outcome.parse(answer.outcome);
    } catch (error) {
      const isNeverSent = error instanceof PeerCallError && error.isNeverSent;
      const message = isNeverSent
        ? 'The issuer can not be reached; this submission did not run, an earlier one may have.'
        : 'The issuer did not answer; the call may have run.';
      return createUnknownOutcome('issuer_unreachable', message, ISSUER_RETRY_MILLISECONDS);
    }
  }

  /**
   * Asks an instance for the outcome of a key that it runs or ran.
   *
   * @param instance - The instance.
   * @param account - The account that the key belongs to.
   * @param key - The key.
   * @returns The outcome, if the instance knows it.
   */
  async askOutcome(instance: string, account: string, key: string): Promise<Outcome | undefined> {
    const { membership, clients } = this.#options;
    const member = membership.find(instance);
    if (!member || member.state === 'gone') return undefined;
    const waitMilliseconds = ASK_OUTCOME_WAIT_MILLISECONDS;
    try {
      const answer = await clients
        .to(member.peerAddress)
        .call(
          'readOutcome',
          { key, account, waitMilliseconds },
          waitMilliseconds + ASK_OUTCOME_GRACE_MILLISECONDS,
        );
      const parsed = Outcome.safeParse(answer.outcome);
      return parsed.success ? parsed.data : undefined;
    } catch {
      return undefined;
    }
  }
}
