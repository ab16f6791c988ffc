/** Runs a keyed request at most once over all instances, restarts and repeats. */
import type { ClaimClient, ClaimResult, HeldClaim } from '../claims/claim-client.js';
import {
  isExpired,
  buildShardKey,
  type IdempotencyKey,
  type TicketKey,
  type TimedKey,
} from '../claims/idempotency-key.js';
import type { TicketStore } from '../claims/ticket-store.js';
import type { RecordedOutcome } from '../peer/messages.js';
import {
  createRefusal,
  createRejection,
  createUnknownOutcome,
  type Outcome,
} from '../routing/outcome.js';
import type { RunRegistry } from './run-registry.js';

/** A keyed request. */
export interface KeyedRequest {
  readonly account: string;
  readonly key: IdempotencyKey;
  /** A fingerprint of the request. */
  readonly contentHash: string;
  /** Runs it; called at most once. A refusal it gives must mean that nothing ran. */
  readonly run: () => Promise<Outcome>;
  /** Passes it on to the instance that issued its ticket. */
  readonly forwardToIssuer: (instance: string) => Promise<Outcome>;
}

/** Options of {@link AtMostOnceRunner}. */
export interface AtMostOnceRunnerOptions {
  readonly instance: string;
  readonly incarnation: number;
  readonly claims: Pick<ClaimClient, 'claim'>;
  readonly tickets: TicketStore;
  readonly registry: RunRegistry;
  /** Asks another instance for the outcome of a key that it runs or ran. */
  readonly fetchOutcome: (
    instance: string,
    account: string,
    key: string,
  ) => Promise<Outcome | undefined>;
  readonly wallMilliseconds?: () => number;
}

type Claimed =
  | (Extract<ClaimResult, { kind: 'granted' }> & { readonly running: Promise<Outcome> })
  | Exclude<ClaimResult, { kind: 'granted' }>;

const CLAIM_RETRY_MILLISECONDS = 2000;
const REPEAT_RETRY_MILLISECONDS = 1000;
const MAXIMUM_RECORDED_CHARACTERS = 4096;

/**
 * Names a key together with its account, so that accounts can't meet each other's keys.
 *
 * @param account - The account.
 * @param key - The key.
 * @returns The scoped key.
 */
export function scopeKey(account: string, key: IdempotencyKey): string {
  return `${account}/${key.text}`;
}

function replay(outcome: Outcome): Outcome {
  if (outcome.kind === 'completed') return { ...outcome, isReplay: true };
  if (outcome.kind === 'refused') {
    // That submission did not run; a later one of the same key may.
    return {
      kind: 'alreadyClaimed',
      message: 'Another submission of this key was refused a moment ago.',
      retryMilliseconds: outcome.retryMilliseconds,
    };
  }
  return outcome;
}

function replayRecorded(recorded: RecordedOutcome): Outcome {
  return { kind: 'completed', ...recorded, isReplay: true };
}

const OTHER_CONTENT = createRejection('key_reused', 422, 'This key names another request.');

async function settle(running: Promise<Outcome>, claim: HeldClaim): Promise<Outcome> {
  const outcome = await running;
  if (outcome.kind === 'refused') await claim.release();
  if (outcome.kind === 'completed' && outcome.body.length <= MAXIMUM_RECORDED_CHARACTERS) {
    const { status, contentType, body } = outcome;
    void claim.record({ status, contentType, body });
  }
  return outcome;
}

export class AtMostOnceRunner {
  readonly #options: AtMostOnceRunnerOptions;

  readonly #wall: () => number;

  constructor(options: AtMostOnceRunnerOptions) {
    this.#options = options;
    this.#wall = options.wallMilliseconds ?? Date.now;
  }

  /**
   * Runs a keyed request, or gives what became of its first run.
   *
   * @param request - The request.
   * @returns The outcome; "refused" only if this submission did not run.
   */
  run(request: KeyedRequest): Promise<Outcome> {
    const { key } = request;
    return key.kind === 'ticket' ? this.#runTicket(request, key) : this.#runTimed(request, key);
  }

  async #runTicket(request: KeyedRequest, key: TicketKey): Promise<Outcome> {
    const { instance, incarnation, tickets } = this.#options;
    if (key.instance !== instance) return request.forwardToIssuer(key.instance);
    if (key.incarnation !== incarnation) {
      return createUnknownOutcome(
        'issuer_gone',
        'The instance that issued the ticket was restarted since.',
      );
    }
    const state = tickets.lookUp(key.text, request.account);
    if (state.kind === 'expired')
      return createRefusal('ticket_expired', 'Ask for a new ticket.', 0);
    if (state.kind === 'forgotten')
      return createUnknownOutcome('key_expired', 'The ticket is not known any more.');
    if (state.kind === 'spent') {
      return state.content === request.contentHash ? replay(await state.outcome) : OTHER_CONTENT;
    }
    const outcome = await tickets.spend(key.text, request.contentHash, request.run);
    if (outcome.kind === 'refused') tickets.restore(key.text);
    return outcome;
  }

  async #runTimed(request: KeyedRequest, key: TimedKey): Promise<Outcome> {
    if (isExpired(key, this.#wall())) {
      return createUnknownOutcome(
        'key_expired',
        'The key is older than the claims kept; it was not run now.',
      );
    }
    const scoped = scopeKey(request.account, key);
    const known = this.#options.registry.find(scoped);
    if (known)
      return known.contentHash === request.contentHash
        ? replay(await known.outcome)
        : OTHER_CONTENT;
    const claiming = this.#claim(scoped, request, key);
    this.#options.registry.trackPendingClaim(scoped, claiming);
    const result = await claiming;
    if (result.kind === 'granted') return settle(result.running, result.claim);
    if (result.kind === 'other_content') return OTHER_CONTENT;
    if (result.kind === 'held') return this.#outcomeOf(result, request.account, key.text);
    const message = 'This submission was not run; whether an earlier one ran can not be told now.';
    return createUnknownOutcome('claim_unavailable', message, CLAIM_RETRY_MILLISECONDS);
  }

  /** Claims the key and, once it is granted, starts the run. */
  async #claim(scoped: string, request: KeyedRequest, key: TimedKey): Promise<Claimed> {
    const { claims, registry } = this.#options;
    const result = await claims.claim(buildShardKey(key, scoped), scoped, request.contentHash);
    if (result.kind !== 'granted') return result;
    const running = request.run();
    registry.register(scoped, { contentHash: request.contentHash, outcome: running });
    return { ...result, running };
  }

  async #outcomeOf(
    held: { readonly instance: string; readonly outcome?: RecordedOutcome | undefined },
    account: string,
    key: string,
  ): Promise<Outcome> {
    if (held.outcome) return replayRecorded(held.outcome);
    const told = await this.#options.fetchOutcome(held.instance, account, key);
    if (told) return replay(told);
    return {
      kind: 'alreadyClaimed',
      message: 'Another submission of this key ran or runs; its outcome is not known here.',
      retryMilliseconds: REPEAT_RETRY_MILLISECONDS,
    };
  }
}
