/**
 * The HTTP server for callers. Each request runs through routing, authentication, the rate limit
 * and its handler to exactly one outcome, which is sent, measured and logged here.
 */
import { randomUUID } from 'node:crypto';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import { CallerConnections } from '../common/caller-connections.js';
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
  /** Returns the number of requests in progress. */
  readonly openRequests: () => number;
  /** Stops listening; connections that are still open after one second are closed by force. */
  readonly close: () => Promise<void>;
}

type Handler = (caller: CallerRequest, context: CallerContext) => Promise<Outcome>;

interface Route {
  /** The HTTP method; any when undefined. */
  readonly method: string | undefined;
  readonly pattern: RegExp;
  readonly handle: Handler;
}

const ROUTES: readonly Route[] = [
  { method: 'POST', pattern: /^\/v1\/completions$/, handle: handleCompletion },
  { method: 'POST', pattern: /^\/v1\/tickets$/, handle: handleTickets },
  { method: undefined, pattern: /^\/v1\/services\/[^/]+(\/|$)/, handle: handleServiceCall },
];

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._-]{1,100}$/;
const LEAVING_RETRY_MILLISECONDS = 100;
const TOO_MANY_OPEN_RETRY_MILLISECONDS = 500;
/** The request rate that one instance is assumed to serve, when accounts are spread over several. */
const REQUESTS_PER_SECOND_PER_INSTANCE = 500;

function readPath(request: IncomingMessage): string {
  return (request.url ?? '/').split('?')[0] ?? '/';
}

/** Lists up to four other instances to which a caller can turn while this one is stopping. */
function listOtherAddresses(context: CallerContext): Refusal['addresses'] {
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
  const requestsPerSecond =
    context.configuration.findAccount(account)?.account.requestsPerSecond ?? 0;
  const addressList = chooseAddresses({
    members: context.membership.live,
    account,
    dataCentre: query.get('dataCentre') ?? undefined,
    instancesNeeded: requestsPerSecond / REQUESTS_PER_SECOND_PER_INSTANCE,
    keepMilliseconds: context.settings.timeLimits.addressesKept,
  });
  response.writeHead(200, {
    'content-type': 'application/json',
    'cache-control': `max-age=${Math.floor(addressList.keepMilliseconds / 1000)}`,
  });
  response.end(JSON.stringify(addressList));
}

function sendHealth(response: ServerResponse, context: CallerContext): void {
  const { membership, settings } = context;
  const isReady = membership.find(settings.instance)?.state === 'live';
  response.writeHead(isReady ? 200 : 503, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ ready: isReady }));
}

/** Paths that are answered without authentication, for any method. */
const PUBLIC_ROUTES: Readonly<
  Record<
    string,
    (request: IncomingMessage, response: ServerResponse, context: CallerContext) => void
  >
> = {
  '/v1/addresses': sendAddresses,
  '/v1/health': (request, response, context) => sendHealth(response, context),
};

/** Finds the route of a request, or the rejection for an unknown path or method. */
function findRoute(request: IncomingMessage): Route | Outcome {
  const path = readPath(request);
  const matching = ROUTES.filter((route) => route.pattern.test(path));
  const route = matching.find(
    (candidate) => candidate.method === undefined || candidate.method === request.method,
  );
  if (route) return route;
  if (matching.length > 0)
    return createRejection('method_not_allowed', 405, 'This method is not served here.');
  return createRejection('unknown_path', 404, 'There is nothing at this path.');
}

/**
 * Tells whether a request has an idempotency key. Such a request may repeat one that has run, so it
 * must not be refused before its key has been looked up: a refusal says that it did not run.
 */
function hasIdempotencyKey(request: IncomingMessage): boolean {
  return request.headers['idempotency-key'] !== undefined;
}

/** Routes and authenticates a request, reads its body, checks the rate limit and calls the handler. */
async function processRequest(
  request: IncomingMessage,
  response: ServerResponse,
  context: CallerContext,
  requestId: string,
): Promise<{ outcome: Outcome; account: string; class: string }> {
  const unidentifiedTags = { account: 'unknown', class: 'unknown' };
  const route = findRoute(request);
  if ('kind' in route) return { outcome: route, ...unidentifiedTags };
  const identified = identifyCaller(request.headers, context.configuration);
  if (identified.isLeft()) return { outcome: identified.extract(), ...unidentifiedTags };
  const account = identified.unsafeCoerce();
  const tags = { account: account.id, class: readQueueClass(request.headers, account) };
  const body = await readBody(request, context.settings.sizeLimits.bodyBytes);
  if (body.isLeft()) return { outcome: body.extract(), ...tags };
  const exceeded = hasIdempotencyKey(request)
    ? undefined
    : await context.limiter.consumeOrRefuse(account.id);
  if (exceeded) return { outcome: exceeded, ...tags };
  const disconnection = new AbortController();
  response.once('close', () => disconnection.abort());
  const caller = {
    request,
    response,
    requestId,
    account,
    body: body.unsafeCoerce(),
    signal: disconnection.signal,
  };
  return { outcome: await route.handle(caller, context), ...tags };
}

/** Refuses a request before any work is done, if this instance is stopping or has too many open. */
function refuseEarly(
  request: IncomingMessage,
  openRequests: number,
  context: CallerContext,
): Outcome | undefined {
  if (hasIdempotencyKey(request)) return undefined;
  if (context.isStopping()) {
    const refusal = createRefusal(
      'leaving',
      'This instance is stopping; use another one.',
      LEAVING_RETRY_MILLISECONDS,
    );
    return { ...refusal, addresses: listOtherAddresses(context) };
  }
  if (openRequests > context.settings.sizeLimits.openRequests) {
    return createRefusal(
      'too_many_open',
      'Too many requests are open here.',
      TOO_MANY_OPEN_RETRY_MILLISECONDS,
    );
  }
  return undefined;
}

/** The id that the caller gave the request, or an empty string. */
function readGivenRequestId(request: IncomingMessage): string {
  return request.headers['x-request-id']?.toString() ?? '';
}

/** Answers one request; exactly one outcome is sent, measured and logged. */
async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  context: CallerContext,
  openRequests: number,
): Promise<void> {
  const sendPublic = PUBLIC_ROUTES[readPath(request)];
  if (sendPublic) {
    sendPublic(request, response, context);
    return;
  }
  const givenId = readGivenRequestId(request);
  const requestId = REQUEST_ID_PATTERN.test(givenId) ? givenId : randomUUID();
  response.setHeader('x-request-id', requestId);
  const state = context.membership.find(context.settings.instance)?.state;
  // Keep-alive connections would bring callers back to this instance while it is leaving.
  if (state === 'leaving') response.setHeader('connection', 'close');
  const startedAt = performance.now();
  const earlyRefusal = refuseEarly(request, openRequests, context);
  const { outcome, ...tags } = earlyRefusal
    ? { outcome: earlyRefusal, account: 'unknown', class: 'unknown' }
    : await processRequest(request, response, context, requestId);
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
 * Starts the server for callers.
 *
 * @returns The server; rejects when it cannot listen on the configured address.
 */
export function startCallerServer(context: CallerContext): Promise<CallerServer> {
  const { settings, log } = context;
  let openRequests = 0;
  const connections = new CallerConnections({
    log,
    countError: (code) => context.metrics.count('connection_error', { code }),
  });
  const server = http.createServer(
    {
      maxHeaderSize: settings.sizeLimits.headerBytes,
      headersTimeout: settings.timeLimits.callerRequest,
      requestTimeout: settings.timeLimits.callerRequest,
      connectionsCheckingInterval: 1000,
    },
    (request, response) => {
      openRequests += 1;
      response.on('error', () => undefined);
      connections.addRequest(request, response, readGivenRequestId(request));
      handleRequest(request, response, context, openRequests)
        .catch((error: unknown) => {
          log.error('A caller request failed with an unexpected error; its connection is closed.', {
            error: getErrorMessage(error),
          });
          response.destroy();
        })
        .finally(() => {
          openRequests -= 1;
        });
    },
  );
  server.on('clientError', (error, socket) => connections.handleError(error, socket));
  const { host, port } = settings.callerAddress;
  return new Promise((resolve, rejectStart) => {
    server.once('error', rejectStart);
    server.listen(port, host, () => {
      resolve({
        openRequests: () => openRequests,
        close: () =>
          new Promise((resolveClose) => {
            server.close(() => resolveClose());
            server.closeIdleConnections();
            setTimeout(() => server.closeAllConnections(), 1000).unref();
          }),
      });
    });
  });
}
