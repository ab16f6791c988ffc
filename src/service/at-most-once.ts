/**
 * Runs a request with an idempotency key at most once, across all instances, restarts and repeated
 * submissions. A key made by the caller is first claimed in the platform's object store. A ticket is
 * a key that one instance issued; only that instance may run it, and it does so without a claim.
 */
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

/** A request with an idempotency key. */
export interface KeyedRequest {
  readonly account: string;
  readonly key: IdempotencyKey;
  /** A hash of the request, to detect a key that is used again for another request. */
  readonly contentHash: string;
  /** Runs the request; called at most once. It may return a refusal only if nothing ran. */
  readonly run: () => Promise<Outcome>;
  /** Forwards the request to the instance that issued its ticket. */
  readonly forwardToIssuer: (instance: string) => Promise<Outcome>;
}

/** Options of {@link AtMostOnceRunner}. */
export interface AtMostOnceRunnerOptions {
  readonly instance: string;
  readonly incarnation: number;
  readonly claims: Pick<ClaimClient, 'claim'>;
  readonly tickets: TicketStore;
  readonly registry: RunRegistry;
  /** Fetches the outcome of a key from the peer that holds its claim; undefined if it has none. */
  readonly fetchOutcome: (
    instance: string,
    account: string,
    key: string,
  ) => Promise<Outcome | undefined>;
  readonly wallMilliseconds?: () => number;
}

/** The result of a claim; if it was granted, with the outcome of the run that was started. */
type ClaimWithRun =
  | (Extract<ClaimResult, { kind: 'granted' }> & { readonly running: Promise<Outcome> })
  | Exclude<ClaimResult, { kind: 'granted' }>;

const CLAIM_RETRY_MILLISECONDS = 2000;
const REPEAT_RETRY_MILLISECONDS = 1000;
/** Longer responses are not stored with the claim; only the instance that ran the request has them. */
const MAXIMUM_RECORDED_CHARACTERS = 4096;

/**
 * Prefixes a key with its account, so that equal keys of different accounts do not collide.
 *
 * @param account - The id of the client account.
 * @param key - The idempotency key.
 * @returns The key to claim and to register the run under.
 */
export function scopeKey(account: string, key: IdempotencyKey): string {
  return `${account}/${key.text}`;
}

/** Converts the outcome of an earlier submission into the outcome of a repeated one. */
function toReplay(outcome: Outcome): Outcome {
  if (outcome.kind === 'completed') return { ...outcome, isReplay: true };
  if (outcome.kind === 'refused') {
    // The earlier submission did not run, but a later one with the same key may.
    return {
      kind: 'alreadyClaimed',
      message: 'Another submission of this key was refused a moment ago.',
      retryMilliseconds: outcome.retryMilliseconds,
    };
  }
  return outcome;
}

function createRecordedReplay(recorded: RecordedOutcome): Outcome {
  return { kind: 'completed', ...recorded, isReplay: true };
}

const CONTENT_MISMATCH = createRejection('key_reused', 422, 'This key names another request.');

/** Waits for a run, then releases its claim if nothing ran or stores the response with the claim. */
async function settleClaim(running: Promise<Outcome>, claim: HeldClaim): Promise<Outcome> {
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

  readonly #wallClock: () => number;

  constructor(options: AtMostOnceRunnerOptions) {
    this.#options = options;
    this.#wallClock = options.wallMilliseconds ?? Date.now;
  }

  /**
   * Runs a request, or returns the outcome of the earlier submission with its key.
   *
   * @param request - The request with its idempotency key.
   * @returns The outcome; `refused` only if this submission did not run.
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
      return state.content === request.contentHash
        ? toReplay(await state.outcome)
        : CONTENT_MISMATCH;
    }
    const outcome = await tickets.spend(key.text, request.contentHash, request.run);
    if (outcome.kind === 'refused') tickets.restore(key.text);
    return outcome;
  }

  async #runTimed(request: KeyedRequest, key: TimedKey): Promise<Outcome> {
    if (isExpired(key, this.#wallClock())) {
      return createUnknownOutcome(
        'key_expired',
        'The key is older than the claims kept; it was not run now.',
      );
    }
    const scopedKey = scopeKey(request.account, key);
    const existingRun = this.#options.registry.find(scopedKey);
    if (existingRun)
      return existingRun.contentHash === request.contentHash
        ? toReplay(await existingRun.outcome)
        : CONTENT_MISMATCH;
    const pendingClaim = this.#claim(scopedKey, request, key);
    this.#options.registry.trackPendingClaim(scopedKey, pendingClaim);
    const result = await pendingClaim;
    if (result.kind === 'granted') return settleClaim(result.running, result.claim);
    if (result.kind === 'other_content') return CONTENT_MISMATCH;
    if (result.kind === 'held') return this.#findEarlierOutcome(result, request.account, key.text);
    const message = 'This submission was not run; whether an earlier one ran can not be told now.';
    return createUnknownOutcome('claim_unavailable', message, CLAIM_RETRY_MILLISECONDS);
  }

  /** Claims the key and starts the run in the same step in which the claim is granted. */
  async #claim(scopedKey: string, request: KeyedRequest, key: TimedKey): Promise<ClaimWithRun> {
    const { claims, registry } = this.#options;
    const result = await claims.claim(
      buildShardKey(key, scopedKey),
      scopedKey,
      request.contentHash,
    );
    if (result.kind !== 'granted') return result;
    const running = request.run();
    registry.register(scopedKey, { contentHash: request.contentHash, outcome: running });
    return { ...result, running };
  }

  async #findEarlierOutcome(
    held: { readonly instance: string; readonly outcome?: RecordedOutcome | undefined },
    account: string,
    key: string,
  ): Promise<Outcome> {
    if (held.outcome) return createRecordedReplay(held.outcome);
    const fetched = await this.#options.fetchOutcome(held.instance, account, key);
    if (fetched) return toReplay(fetched);
    return {
      kind: 'alreadyClaimed',
      message: 'Another submission of this key ran or runs; its outcome is not known here.',
      retryMilliseconds: REPEAT_RETRY_MILLISECONDS,
    };
  }
}
