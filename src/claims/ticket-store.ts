/**
 * Tickets: idempotency keys that this instance issues and keeps in memory until it restarts. Only
 * this instance can spend them, so non-idempotent requests with tickets run at most once even
 * while the platform is unavailable, and need no write to it.
 */
import { randomBytes } from 'node:crypto';
import type { Outcome } from '../routing/outcome.js';

/** Options of {@link TicketStore}. */
export interface TicketStoreOptions {
  readonly instance: string;
  /** The incarnation of this instance, which changes at each start. */
  readonly incarnation: number;
  readonly wallMilliseconds?: () => number;
  readonly maximumTickets?: number;
}

/** Newly issued tickets, as they are sent to the caller. */
export interface IssuedTickets {
  readonly tickets: string[];
  /** When they expire, in milliseconds since 1970. */
  readonly expiresAt: number;
}

/** The state of a ticket that a caller sends. */
export type TicketState =
  | { readonly kind: 'unspent' }
  /** A request with this ticket runs or ran; `content` is the hash of that request. */
  | { readonly kind: 'spent'; readonly content: string; readonly outcome: Promise<Outcome> }
  /** The ticket expired unspent: no request ran with it, and none will. */
  | { readonly kind: 'expired' }
  /**
   * The ticket has no entry any more, or was issued to another account. A request may have run
   * with it.
   */
  | { readonly kind: 'forgotten' };

interface TicketEntry {
  /** The client account that the ticket was issued to. */
  readonly account: string;
  /** In milliseconds since 1970. */
  readonly expiresAt: number;
  /** A hash of the request that spent the ticket. */
  contentHash?: string;
  /** Present exactly while the ticket is spent. */
  outcome?: Promise<Outcome>;
}

export const TICKET_LIFETIME_MILLISECONDS = 3_600_000;
const MAXIMUM_TICKETS = 50_000;
const SECRET_BYTES = 12;

export class TicketStore {
  readonly #options: TicketStoreOptions;

  readonly #entries = new Map<string, TicketEntry>();

  readonly #wallMilliseconds: () => number;

  constructor(options: TicketStoreOptions) {
    this.#options = options;
    this.#wallMilliseconds = options.wallMilliseconds ?? Date.now;
  }

  /**
   * Issues tickets to a client account.
   *
   * @returns The tickets; fewer than `count` when the maximum number of tickets is reached.
   */
  issue(account: string, count: number): IssuedTickets {
    this.#deleteOldEntries();
    const { instance, incarnation, maximumTickets = MAXIMUM_TICKETS } = this.#options;
    const available = Math.max(0, maximumTickets - this.#entries.size);
    const expiresAt = this.#wallMilliseconds() + TICKET_LIFETIME_MILLISECONDS;
    const tickets = Array.from({ length: Math.min(count, available) }, () => {
      const secret = randomBytes(SECRET_BYTES).toString('hex');
      const ticket = `ticket.${instance}.${incarnation}.${secret}`;
      this.#entries.set(ticket, { account, expiresAt });
      return ticket;
    });
    return { tickets, expiresAt };
  }

  /**
   * Returns the state of a ticket without spending it.
   *
   * @param account - The client account that sends the ticket. If the ticket was issued to another
   * account, its state is `forgotten`.
   */
  lookUp(ticket: string, account: string): TicketState {
    const entry = this.#entries.get(ticket);
    if (!entry || entry.account !== account) return { kind: 'forgotten' };
    if (entry.outcome)
      return { kind: 'spent', content: entry.contentHash ?? '', outcome: entry.outcome };
    return entry.expiresAt <= this.#wallMilliseconds() ? { kind: 'expired' } : { kind: 'unspent' };
  }

  /**
   * Spends an unspent ticket and runs its request. The ticket is spent when this call returns its
   * promise, so that no second call can find it unspent.
   *
   * @param ticket - A ticket that {@link lookUp} has just found unspent.
   * @param contentHash - A hash of the request, to compare with repeats of the ticket.
   * @param run - Runs the request.
   * @returns The outcome of the run.
   * @throws Error when the ticket is unknown or already spent.
   */
  spend(ticket: string, contentHash: string, run: () => Promise<Outcome>): Promise<Outcome> {
    const entry = this.#entries.get(ticket);
    if (!entry || entry.outcome)
      throw new Error('The ticket cannot be spent: it is unknown or already spent.');
    entry.contentHash = contentHash;
    entry.outcome = run();
    return entry.outcome;
  }

  /**
   * Makes a spent ticket unspent again, after a refusal that guarantees that its request did not
   * run. Unknown tickets are ignored.
   */
  restore(ticket: string): void {
    const entry = this.#entries.get(ticket);
    if (entry) delete entry.outcome;
  }

  #deleteOldEntries(): void {
    const now = this.#wallMilliseconds();
    this.#entries.forEach((entry, ticket) => {
      // Entries are kept for a second lifetime after their expiry, so that a repeat still finds the
      // outcome, or that the ticket expired unspent.
      if (entry.expiresAt + TICKET_LIFETIME_MILLISECONDS < now) this.#entries.delete(ticket);
    });
  }
}
