/** Handles requests for tickets. */
import { z } from 'zod';
import { createRefusal, type Outcome } from '../routing/outcome.js';
import type { CallerContext } from './caller-context.js';
import type { CallerRequest } from './completions.js';
import { sendOutcome } from './outcome-response.js';
import { parseBody } from './request-body.js';

const TicketRequest = z.strictObject({ count: z.number().int().min(1).max(1000).default(1) });

const FULL_RETRY_MILLISECONDS = 60_000;

function issue(caller: CallerRequest, context: CallerContext): Outcome {
  const body = caller.body === '' ? '{}' : caller.body;
  return parseBody(body, TicketRequest)
    .map(({ count }): Outcome => {
      const issued = context.tickets.issue(caller.account.id, count);
      if (issued.tickets.length === 0) {
        return createRefusal('overloaded', 'Too many tickets are out.', FULL_RETRY_MILLISECONDS);
      }
      const text = JSON.stringify(issued);
      return {
        kind: 'completed',
        status: 200,
        contentType: 'application/json',
        body: text,
        isReplay: false,
      };
    })
    .extract();
}

/**
 * Issues tickets: keys for non-idempotent requests that need no platform.
 *
 * @param caller - The request and who makes it.
 * @param context - What handlers share.
 * @returns The outcome, already sent.
 */
export function handleTickets(caller: CallerRequest, context: CallerContext): Promise<Outcome> {
  const outcome = issue(caller, context);
  sendOutcome(caller.response, outcome);
  return Promise.resolve(outcome);
}
