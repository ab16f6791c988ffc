/** Converts outcomes to HTTP responses, with one function for each kind of outcome. */
import type { ServerResponse } from 'node:http';
import type { Outcome, OutcomeKind } from '../routing/outcome.js';

type OutcomeOf<Kind extends OutcomeKind> = Extract<Outcome, { kind: Kind }>;

/** The status, headers and body of an HTTP response. */
export interface OutcomeResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

const JSON_HEADERS = { 'content-type': 'application/json' };

/** The HTTP statuses of refusals, by code, where they differ from 503. */
const REFUSAL_STATUSES: Readonly<Partial<Record<string, number>>> = { account_limit: 429 };

function createRetryHeaders(retryMilliseconds: number | undefined): Record<string, string> {
  if (retryMilliseconds === undefined) return {};
  return {
    'retry-after': String(Math.ceil(retryMilliseconds / 1000)),
    'x-retry-after-milliseconds': String(Math.round(retryMilliseconds)),
  };
}

function formatBody(outcome: Exclude<Outcome, { kind: 'completed' }>): string {
  const { kind, ...rest } = outcome;
  return JSON.stringify({ outcome: kind, notRun: kind === 'refused', ...rest });
}

const CONVERTERS: {
  readonly [Kind in OutcomeKind]: (outcome: OutcomeOf<Kind>) => OutcomeResponse;
} = {
  completed: (outcome) => ({
    status: outcome.status,
    headers: {
      'content-type': outcome.contentType,
      ...(outcome.isReplay ? { 'idempotency-replayed': 'true' } : {}),
    },
    body: outcome.body,
  }),
  refused: (outcome) => ({
    status: REFUSAL_STATUSES[outcome.code] ?? 503,
    headers: { ...JSON_HEADERS, ...createRetryHeaders(outcome.retryMilliseconds) },
    body: formatBody(outcome),
  }),
  rejected: (outcome) => ({
    status: outcome.status,
    headers: JSON_HEADERS,
    body: formatBody(outcome),
  }),
  unknown: (outcome) => ({
    status: 504,
    headers: { ...JSON_HEADERS, ...createRetryHeaders(outcome.retryMilliseconds) },
    body: formatBody(outcome),
  }),
  alreadyClaimed: (outcome) => ({
    status: 409,
    headers: { ...JSON_HEADERS, ...createRetryHeaders(outcome.retryMilliseconds) },
    body: formatBody(outcome),
  }),
};

/** Creates the HTTP response of an outcome, without the `X-Outcome` header. */
export function createOutcomeResponse(outcome: Outcome): OutcomeResponse {
  const convert = CONVERTERS[outcome.kind] as (anyOutcome: Outcome) => OutcomeResponse;
  return convert(outcome);
}

/** Sends an outcome, unless the response has already been started or its connection is closed. */
export function sendOutcome(response: ServerResponse, outcome: Outcome): void {
  if (response.headersSent || response.destroyed) return;
  const { status, headers, body } = createOutcomeResponse(outcome);
  response.writeHead(status, { ...headers, 'x-outcome': outcome.kind });
  response.end(body);
}
