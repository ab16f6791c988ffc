/** Handles calls to plain services. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Outcome } from '../routing/outcome.js';
import type { CallerContext } from './caller-context.js';
import type { CallerRequest } from './completions.js';
import { sendOutcome } from './outcome-response.js';
import { readDeadlineMilliseconds } from './request-scheduling.js';

const PATH = /^\/v1\/services\/([^/?]{1,100})(\/[^#]*)?$/;

/** Headers that end here: they speak of this connection or are set by this system. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'te',
  'trailer',
  'upgrade',
  'host',
  'expect',
  'authorization',
  'proxy-authorization',
  'idempotency-key',
  'x-request-id',
  'x-deadline-milliseconds',
  'x-class',
]);

function forwardedHeaders(headers: IncomingHttpHeaders, account: string): Record<string, string> {
  const kept = Object.entries(headers)
    .filter(([name, value]) => value !== undefined && !HOP_HEADERS.has(name))
    .map(([name, value]) => [name, String(value)]);
  return { ...Object.fromEntries(kept), 'x-client-account': account };
}

/**
 * Handles one call to a plain service.
 *
 * @param caller - The request and who makes it.
 * @param context - What handlers share.
 * @returns The outcome, already sent.
 */
export async function handleServiceCall(
  caller: CallerRequest,
  context: CallerContext,
): Promise<Outcome> {
  const { request, account, body, requestId, response } = caller;
  const [, service = '', path = '/'] = PATH.exec(request.url ?? '') ?? [];
  const outcome = await context.services.run({
    account: account.id,
    team: account.team,
    service,
    method: request.method ?? 'GET',
    path,
    headers: forwardedHeaders(request.headers, account.id),
    body,
    key: request.headers['idempotency-key']?.toString() ?? '',
    requestId,
    deadlineMilliseconds: readDeadlineMilliseconds(request.headers, 'interactive'),
  });
  sendOutcome(response, outcome);
  return outcome;
}
