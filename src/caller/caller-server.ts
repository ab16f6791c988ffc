/** The HTTP server for callers: one task for each request, straight down. */
import { randomUUID } from 'node:crypto';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import { getErrorMessage } from '../common/http-client.js';
import { createRefusal, createRejection, type Outcome, type Refusal } from '../routing/outcome.js';
import { chooseAddresses } from './addresses.js';
import type { CallerContext } from './caller-context.js';
import { identifyCaller } from './caller-identity.js';
import { handleCompletion, type CallerRequest } from './completions.js';
import { sendOutcome } from './outcome-response.js';
import { readBody } from './request-body.js';
import { readQueueClass } from './request-scheduling.js';
import { handleServiceCall } from './service-calls.js';
import { handleTickets } from './tickets.js';

/** A running server. */
export interface CallerServer {
  /** Requests that are being answered. */
  readonly openRequests: () => number;
  readonly close: () => Promise<void>;
}

type Handler = (caller: CallerRequest, context: CallerContext) => Promise<Outcome>;

interface Route {
  readonly method: string | undefined;
  readonly pattern: RegExp;
  readonly handle: Handler;
}

const ROUTES: readonly Route[] = [
  { method: 'POST', pattern: /^\/v1\/completions$/, handle: handleCompletion },
  { method: 'POST', pattern: /^\/v1\/tickets$/, handle: handleTickets },
  { method: undefined, pattern: /^\/v1\/services\/[^/]+(\/|$)/, handle: handleServiceCall },
];

const REQUEST_ID = /^[A-Za-z0-9._-]{1,100}$/;
const LEAVING_RETRY_MILLISECONDS = 100;
const OPEN_RETRY_MILLISECONDS = 500;
/** Requests a second that one instance is reckoned to serve when accounts are spread. */
const REQUESTS_PER_INSTANCE = 500;

function pathOf(request: IncomingMessage): string {
  return (request.url ?? '/').split('?')[0] ?? '/';
}

function otherAddresses(context: CallerContext): Refusal['addresses'] {
  const self = context.settings.instance;
  return context.membership.live
    .filter((member) => member.instance !== self)
    .map((member) => member.callerAddress)
    .slice(0, 4);
}

function sendAddresses(
  request: IncomingMessage,
  response: ServerResponse,
  context: CallerContext,
): void {
  const query = new URL(request.url ?? '/', 'http://127.0.0.1').searchParams;
  const account = query.get('account') ?? request.headers['x-client-account']?.toString() ?? '';
  const rate = context.configuration.account(account)?.account.requestsPerSecond ?? 0;
  const chosen = chooseAddresses({
    members: context.membership.live,
    account,
    dataCentre: query.get('dataCentre') ?? undefined,
    instancesWorth: rate / REQUESTS_PER_INSTANCE,
    keepMilliseconds: context.settings.timeLimits.addressesKept,
  });
  response.writeHead(200, {
    'content-type': 'application/json',
    'cache-control': `max-age=${Math.floor(chosen.keepMilliseconds / 1000)}`,
  });
  response.end(JSON.stringify(chosen));
}

function sendHealth(response: ServerResponse, context: CallerContext): void {
  const { membership, settings } = context;
  const isReady = membership.find(settings.instance)?.state === 'live';
  response.writeHead(isReady ? 200 : 503, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ ready: isReady }));
}

const PLAIN_ROUTES: Readonly<
  Record<
    string,
    (request: IncomingMessage, response: ServerResponse, context: CallerContext) => void
  >
> = {
  '/v1/addresses': sendAddresses,
  '/v1/health': (request, response, context) => sendHealth(response, context),
};

function findRoute(request: IncomingMessage): Route | Outcome {
  const path = pathOf(request);
  const matching = ROUTES.filter((route) => route.pattern.test(path));
  const route = matching.find((one) => one.method === undefined || one.method === request.method);
  if (route) return route;
  if (matching.length > 0)
    return createRejection('method_not_allowed', 405, 'This method is not served here.');
  return createRejection('unknown_path', 404, 'There is nothing at this path.');
}

/** A keyed request may be a repeat, so nothing may be said of it before its key is looked up. */
function isKeyed(request: IncomingMessage): boolean {
  return request.headers['idempotency-key'] !== undefined;
}

/** Carries one request to its outcome. */
async function answer(
  request: IncomingMessage,
  response: ServerResponse,
  context: CallerContext,
  requestId: string,
): Promise<{ outcome: Outcome; account: string; class: string }> {
  const nobody = { account: 'unknown', class: 'unknown' };
  const route = findRoute(request);
  if ('kind' in route) return { outcome: route, ...nobody };
  const identified = identifyCaller(request.headers, context.configuration);
  if (identified.isLeft()) return { outcome: identified.extract(), ...nobody };
  const account = identified.unsafeCoerce();
  const tags = { account: account.id, class: readQueueClass(request.headers, account) };
  const body = await readBody(request, context.settings.sizeLimits.bodyBytes);
  if (body.isLeft()) return { outcome: body.extract(), ...tags };
  const exceeded = isKeyed(request) ? undefined : await context.limiter.consumeOrRefuse(account.id);
  if (exceeded) return { outcome: exceeded, ...tags };
  const gone = new AbortController();
  response.once('close', () => gone.abort());
  const caller = {
    request,
    response,
    requestId,
    account,
    body: body.unsafeCoerce(),
    signal: gone.signal,
  };
  return { outcome: await route.handle(caller, context), ...tags };
}

function refuseEarly(
  request: IncomingMessage,
  open: number,
  context: CallerContext,
): Outcome | undefined {
  if (isKeyed(request)) return undefined;
  if (context.isStopping()) {
    const refusal = createRefusal(
      'leaving',
      'This instance is stopping; use another one.',
      LEAVING_RETRY_MILLISECONDS,
    );
    return { ...refusal, addresses: otherAddresses(context) };
  }
  if (open > context.settings.sizeLimits.openRequests) {
    return createRefusal(
      'too_many_open',
      'Too many requests are open here.',
      OPEN_RETRY_MILLISECONDS,
    );
  }
  return undefined;
}

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
  context: CallerContext,
  open: number,
): Promise<void> {
  const plain = PLAIN_ROUTES[pathOf(request)];
  if (plain) {
    plain(request, response, context);
    return;
  }
  const given = request.headers['x-request-id']?.toString() ?? '';
  const requestId = REQUEST_ID.test(given) ? given : randomUUID();
  response.setHeader('x-request-id', requestId);
  const state = context.membership.find(context.settings.instance)?.state;
  // While it leaves, kept connections must not lead callers back here.
  if (state === 'leaving') response.setHeader('connection', 'close');
  const startedAt = performance.now();
  const early = refuseEarly(request, open, context);
  const { outcome, ...tags } = early
    ? { outcome: early, account: 'unknown', class: 'unknown' }
    : await answer(request, response, context, requestId);
  sendOutcome(response, outcome);
  const milliseconds = performance.now() - startedAt;
  context.metrics.observe('request', milliseconds, { ...tags, outcome: outcome.kind });
  context.log.debug('Request answered.', {
    requestId,
    account: tags.account,
    outcome: outcome.kind,
    code: 'code' in outcome ? outcome.code : undefined,
    milliseconds: Math.round(milliseconds),
  });
}

/**
 * Starts the server.
 *
 * @param context - What handlers share.
 * @returns The running server.
 * @throws Error when the address can't be listened on.
 */
export function startCallerServer(context: CallerContext): Promise<CallerServer> {
  const { settings, log } = context;
  let open = 0;
  const server = http.createServer(
    {
      maxHeaderSize: settings.sizeLimits.headerBytes,
      headersTimeout: settings.timeLimits.callerRequest,
      requestTimeout: settings.timeLimits.callerRequest,
      connectionsCheckingInterval: 1000,
    },
    (request, response) => {
      open += 1;
      response.on('error', () => undefined);
      handle(request, response, context, open)
        .catch((error: unknown) => {
          log.error('A request failed unexpectedly.', { error: getErrorMessage(error) });
          response.destroy();
        })
        .finally(() => {
          open -= 1;
        });
    },
  );
  const { host, port } = settings.callerAddress;
  return new Promise((resolve, reject_) => {
    server.once('error', reject_);
    server.listen(port, host, () => {
      resolve({
        openRequests: () => open,
        close: () =>
          new Promise((closed) => {
            server.close(() => closed());
            server.closeIdleConnections();
            setTimeout(() => server.closeAllConnections(), 1000).unref();
          }),
      });
    });
  });
}
