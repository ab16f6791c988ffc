/**
 * Tickets: keys that this incarnation of this instance issues and that only it can spend, so
 * that non-idempotent work goes on at most once while the platform is away, at no write at all.
 */
import { randomBytes } from 'node:crypto';
import type { Outcome } from '../routing/outcome.js';

/** Options of {@link TicketStore}. */
export interface TicketStoreOptions {
  readonly instance: string;
  readonly incarnation: number;
  readonly wallMilliseconds?: () => number;
  readonly maximumTickets?: number;
}

/** Tickets just issued. */
export interface IssuedTickets {
  readonly tickets: string[];
  readonly expiresAt: number;
}

/** What a ticket is worth when it is presented. */
export type TicketState =
  | { readonly kind: 'unspent' }
  | { readonly kind: 'spent'; readonly content: string; readonly outcome: Promise<Outcome> }
  /** It certainly never ran and never will. */
  | { readonly kind: 'expired' }
  /** It may have run: what became of it is no longer kept. */
  | { readonly kind: 'forgotten' };

interface Entry {
  readonly account: string;
  readonly expiresAt: number;
  content?: string;
  outcome?: Promise<Outcome>;
}

export const TICKET_LIFETIME_MILLISECONDS = 3_600_000;
const MAXIMUM_TICKETS = 50_000;
const SECRET_BYTES = 12;

export class TicketStore {
  readonly #options: TicketStoreOptions;

  readonly #entries = new Map<string, Entry>();

  readonly #wall: () => number;

  constructor(options: TicketStoreOptions) {
    this.#options = options;
    this.#wall = options.wallMilliseconds ?? Date.now;
  }

  /**
   * Issues tickets to an account.
   *
   * @param account - The account.
   * @param count - How many are wanted.
   * @returns The tickets; fewer than wanted when the book is full.
   */
  issue(account: string, count: number): IssuedTickets {
    this.#forgetOld();
    const { instance, incarnation, maximumTickets = MAXIMUM_TICKETS } = this.#options;
    const room = Math.max(0, maximumTickets - this.#entries.size);
    const expiresAt = this.#wall() + TICKET_LIFETIME_MILLISECONDS;
    const tickets = Array.from({ length: Math.min(count, room) }, () => {
      const secret = randomBytes(SECRET_BYTES).toString('hex');
      const ticket = `ticket.${instance}.${incarnation}.${secret}`;
      this.#entries.set(ticket, { account, expiresAt });
      return ticket;
    });
    return { tickets, expiresAt };
  }

  /**
   * Looks at a ticket without spending it.
   *
   * @param ticket - The ticket.
   * @param account - Who presents it; to others it is as if it had been forgotten.
   * @returns What it is worth.
   */
  lookUp(ticket: string, account: string): TicketState {
    const entry = this.#entries.get(ticket);
    if (!entry || entry.account !== account) return { kind: 'forgotten' };
    if (entry.outcome)
      return { kind: 'spent', content: entry.content ?? '', outcome: entry.outcome };
    return entry.expiresAt <= this.#wall() ? { kind: 'expired' } : { kind: 'unspent' };
  }

  /**
   * Spends an unspent ticket. It does so before the run starts and without waiting in between,
   * so that no second call can find it unspent.
   *
   * @param ticket - The ticket, which {@link lookUp} just found unspent.
   * @param content - A fingerprint of the request.
   * @param run - Runs the request.
   * @returns The outcome of the run.
   */
  spend(ticket: string, content: string, run: () => Promise<Outcome>): Promise<Outcome> {
    const entry = this.#entries.get(ticket);
    if (!entry || entry.outcome) throw new Error('The ticket is not unspent.');
    entry.content = content;
    entry.outcome = run();
    return entry.outcome;
  }

  /**
   * Makes a ticket unspent again after a run that certainly did not happen.
   *
   * @param ticket - The ticket.
   */
  restore(ticket: string): void {
    const entry = this.#entries.get(ticket);
    if (entry) delete entry.outcome;
  }

  #forgetOld(): void {
    const now = this.#wall();
    this.#entries.forEach((entry, ticket) => {
      // Kept twice as long, so that a repeat still finds the outcome or the expiry.
      if (entry.expiresAt + TICKET_LIFETIME_MILLISECONDS < now) this.#entries.delete(ticket);
    });
  }
}
