/** Handles requests for tickets, which are idempotency keys that need no write to the platform. */
import { z } from 'zod';
import { createRefusal, type Outcome } from '../routing/outcome.js';
import type { CallerContext } from './caller-context.js';
import type { CallerRequest } from './completions.js';
import { sendOutcome } from './outcome-response.js';
import { parseBody } from './request-body.js';

const TicketRequest = z.strictObject({ count: z.number().int().min(1).max(1000).default(1) });

/** The suggested wait when the maximum number of tickets has been issued. */
const LIMIT_RETRY_MILLISECONDS = 60_000;

function issueTickets(caller: CallerRequest, context: CallerContext): Outcome {
  const body = caller.body === '' ? '{}' : caller.body;
  return parseBody(body, TicketRequest)
    .map(({ count }): Outcome => {
      const issued = context.tickets.issue(caller.account.id, count);
      if (issued.tickets.length === 0) {
        return createRefusal('overloaded', 'Too many tickets are out.', LIMIT_RETRY_MILLISECONDS);
      }
      const responseBody = JSON.stringify(issued);
      return {
        kind: 'completed',
        status: 200,
        contentType: 'application/json',
        body: responseBody,
        isReplay: false,
      };
    })
    .extract();
}

/**
 * Issues tickets to the client account and sends the response.
 *
 * @returns The outcome, for logs and metrics; it has already been sent.
 */
export function handleTickets(caller: CallerRequest, context: CallerContext): Promise<Outcome> {
  const outcome = issueTickets(caller, context);
  sendOutcome(caller.response, outcome);
  return Promise.resolve(outcome);
}
