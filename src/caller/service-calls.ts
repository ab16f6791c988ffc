/** Handles requests to plain services and forwards them to the services' backend servers. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Outcome } from '../routing/outcome.js';
import type { CallerContext } from './caller-context.js';
import type { CallerRequest } from './completions.js';
import { sendOutcome } from './outcome-response.js';
import { readDeadlineMilliseconds } from './request-scheduling.js';

const SERVICE_PATH_PATTERN = /^\/v1\/services\/([^/?]{1,100})(\/[^#]*)?$/;

/** Headers that are not forwarded: they belong to the caller's connection or address this system. */
const HEADERS_NOT_FORWARDED: ReadonlySet<string> = new Set([
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

function selectForwardedHeaders(
  headers: IncomingHttpHeaders,
  account: string,
): Record<string, string> {
  const kept = Object.entries(headers)
    .filter(([name, value]) => value !== undefined && !HEADERS_NOT_FORWARDED.has(name))
    .map(([name, value]) => [name, String(value)]);
  return { ...Object.fromEntries(kept), 'x-client-account': account };
}

/**
 * Handles one request to a plain service and sends the response.
 *
 * @returns The outcome, for logs and metrics; it has already been sent.
 */
export async function handleServiceCall(
  caller: CallerRequest,
  context: CallerContext,
): Promise<Outcome> {
  const { request, account, body, requestId, response } = caller;
  const [, service = '', path = '/'] = SERVICE_PATH_PATTERN.exec(request.url ?? '') ?? [];
  const outcome = await context.services.run({
    account: account.id,
    team: account.team,
    service,
    method: request.method ?? 'GET',
    path,
    headers: selectForwardedHeaders(request.headers, account.id),
    body,
    key: request.headers['idempotency-key']?.toString() ?? '',
    requestId,
    deadlineMilliseconds: readDeadlineMilliseconds(request.headers, 'interactive'),
  });
  sendOutcome(response, outcome);
  return outcome;
}
