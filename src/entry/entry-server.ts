/** The HTTP server for callers: reads each request completely, finds its route and relays it. */
import { createHash } from 'node:crypto';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import type { Address } from '../common/address.js';
import { CallerConnections } from '../common/caller-connections.js';
import { getErrorMessage } from '../common/http-client.js';
import { sendLocalResponse, type LocalResponse } from './entry-response.js';
import type { EntryContext } from './entry-context.js';
import { getAbortReason, type AbortReason, type EntryRequest } from './entry-request.js';
import type { ProtocolAdapter, RequestMetadata } from './protocol-adapter.js';
import {
  decodeRelayedRequest,
  RELAY_HEADER,
  type RelayedRequest,
} from '../relay/relayed-request.js';
import { readBody, UnreadBodyError } from './request-body.js';
import {
  BAD_RELAY,
  BAD_REQUEST,
  MEMORY_EXCEEDED,
  NO_CONFIGURATION,
  NO_ROUTE,
  RELAY_FULL,
  STALE_CONFIGURATION,
  STOPPING,
  TOO_LARGE,
  UNKNOWN_KEY,
} from './request-rejections.js';
import { RequestMemory } from '../memory/request-memory.js';
import { parseRequestTarget, type RequestTarget } from './request-target.js';
import { relayCall } from '../relay/relay-call.js';
import { relayStream } from '../relay/relay-stream.js';
import { isRefusedByStop } from './stop-admission.js';
import type { ActiveConfiguration } from './active-configuration.js';
import { pickService, type Route } from './serving-configuration.js';

/** Options of {@link startEntryServer}. */
export interface EntryServerOptions {
  readonly address: Address;
  readonly context: EntryContext;
  readonly configuration: ActiveConfiguration;
  /** Confirms that the configuration is the newest one; false if that can't be shown now. */
  readonly confirmConfiguration: () => Promise<boolean>;
  /**
   * Whether the instance is stopping, in which case connections are closed after their response.
   */
  readonly isStopping: () => boolean;
  /** When a stopping instance ends all requests, on the monotonic clock; undefined unless it stops. */
  readonly mustFinishBy: () => number | undefined;
}

/** A running HTTP server for callers. */
export interface EntryServer {
  /** Serves a request that a peer passes on. */
  readonly serveRelayed: (incoming: IncomingMessage, response: ServerResponse) => void;
  /** The number of requests whose response has not ended. */
  readonly openRequests: () => number;
  /** Closes connections that carry no request. */
  readonly closeIdleConnections: () => void;
  /** Ends all requests, as possibly run if they have been passed on. */
  readonly endRequests: () => void;
  /** Stops listening and closes all connections, including those with a request. */
  readonly close: () => void;
}

const CONTENT_HASH_BYTES = 8;
const MAXIMUM_LOGGED_PATH_CHARACTERS = 200;
const MAXIMUM_HEADER_BYTES = 65_536;
/** The server keeps idle connections for this much longer than callers may. */
const IDLE_TIMEOUT_MARGIN_MILLISECONDS = 3000;
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 60_000;
/** Requests of peers that are served at the same time; each takes two connections. */
const MAXIMUM_RELAYED_REQUESTS = 256;

function hashContent(path: string, account: string, body: Buffer): string {
  const hash = createHash('sha1').update(`${account}\n${path}\n`).update(body);
  return hash.digest('hex').slice(0, 2 * CONTENT_HASH_BYTES);
}

/** Finds the route of a request, or the response to a request that must not be routed. */
function findRouteOrRejection(
  { current, routes }: ActiveConfiguration,
  target: RequestTarget,
  metadata: RequestMetadata,
): Route | LocalResponse {
  if (!current) return NO_CONFIGURATION;
  const route = routes.find(target.host, target.path);
  if (!route) return NO_ROUTE;
  if (!current.hasAccounts || route.isPublic) return route;
  if (metadata.apiKey !== undefined && current.accounts.has(metadata.apiKey)) return route;
  return UNKNOWN_KEY;
}

/** Reads what a request states; a peer that passes it on knows better how far it has come. */
function readMetadata(
  protocol: ProtocolAdapter,
  incoming: IncomingMessage,
  relayed: RelayedRequest | undefined,
): RequestMetadata {
  const metadata = protocol.parseRequestHeaders(incoming.headers);
  if (!relayed) return metadata;
  return {
    ...metadata,
    deadlineMilliseconds: relayed.remainingMilliseconds,
    lastEventId: relayed.lastEventId ?? metadata.lastEventId,
  };
}

function isLocalResponse(result: Route | LocalResponse): result is LocalResponse {
  return 'status' in result;
}

/**
 * Starts the HTTP server for callers.
 *
 * @param options - The address to listen on, and the state that requests are served with.
 * @returns The running server.
 * @throws Error when the address cannot be listened on.
 */
export async function startEntryServer(options: EntryServerOptions): Promise<EntryServer> {
  const { address, context, configuration, confirmConfiguration, isStopping, mustFinishBy } =
    options;
  const { protocol, metrics, logs } = context;
  const log = logs('caller');
  const connections = new CallerConnections({
    log,
    countError: (code) => metrics.countEvent(`connection_error_${code}`),
  });
  /** Ends the requests that are being served. */
  const abortControllers = new Set<AbortController>();
  let openCount = 0;
  let relayedCount = 0;

  const rejectRequest = (
    incoming: IncomingMessage,
    response: ServerResponse,
    localResponse: LocalResponse,
  ): void => {
    const { requestId } = protocol.parseRequestHeaders(incoming.headers);
    log.info('Request rejected.', {
      requestId,
      status: localResponse.status,
      code: localResponse.code,
      method: incoming.method,
      host: incoming.headers.host,
      path: incoming.url?.slice(0, MAXIMUM_LOGGED_PATH_CHARACTERS),
      configurationVersion: configuration.current?.version,
      configurationAgeMilliseconds: Math.round(configuration.ageMilliseconds()),
      configurationEvidence: configuration.upToDateEvidence,
    });
    metrics.countEvent(`rejected_${localResponse.code}`);
    sendLocalResponse(response, requestId, localResponse);
  };

  const serve = async (
    incoming: IncomingMessage,
    response: ServerResponse,
    relayed?: RelayedRequest,
  ): Promise<void> => {
    const receivedAt = performance.now();
    if (!configuration.current) return rejectRequest(incoming, response, NO_CONFIGURATION);
    if (relayed && configuration.current.version < relayed.configurationVersion)
      return rejectRequest(incoming, response, STALE_CONFIGURATION);
    const { bodyBytes } = configuration.current.limits;
    const metadata = readMetadata(protocol, incoming, relayed);
    const target = parseRequestTarget(incoming.url ?? '', incoming.headers.host);
    if (metadata.requestId === '' || !target) {
      return rejectRequest(incoming, response, BAD_REQUEST);
    }
    const { requestId } = metadata;
    const memory = new RequestMemory({ budget: context.memory, requestId, response });
    const abortController = new AbortController();
    const abort = (reason: AbortReason): void => abortController.abort(reason);
    abortControllers.add(abortController);
    const onClose = (): void => {
      if (!response.writableFinished) abort('callerGone');
    };
    response.on('close', onClose);
    let timer: NodeJS.Timeout | undefined;
    try {
      const body = await readBody(incoming, {
        maximumBytes: bodyBytes,
        memory,
        signal: abortController.signal,
      });
      const isDenied = isLocalResponse(findRouteOrRejection(configuration, target, metadata));
      if (isDenied && !(await confirmConfiguration()))
        return rejectRequest(incoming, response, STALE_CONFIGURATION);
      // A newer version may have come by now; one version decides on all of the rest.
      const { current } = configuration;
      const route = findRouteOrRejection(configuration, target, metadata);
      if (isLocalResponse(route)) return rejectRequest(incoming, response, route);
      const service = current.services.get(pickService(route, Math.random()));
      if (!service) return rejectRequest(incoming, response, STALE_CONFIGURATION);
      const account =
        metadata.apiKey === undefined || route.isPublic
          ? undefined
          : current.accounts.get(metadata.apiKey);
      const callerTimeoutMilliseconds = metadata.deadlineMilliseconds ?? Number.POSITIVE_INFINITY;
      const deadline = receivedAt + Math.min(callerTimeoutMilliseconds, route.timeoutMilliseconds);
      if (isStopping()) connections.closeAfter(incoming, response);
      const routeDeadline = receivedAt + route.timeoutMilliseconds;
      const isStream = route.kind === 'streaming';
      const latestEnd = isStream ? routeDeadline : deadline;
      // The stop may have begun while the body arrived.
      if (isRefusedByStop({ deadline: latestEnd, mustFinishBy: mustFinishBy() }))
        return rejectRequest(incoming, response, STOPPING);
      timer = setTimeout(() => abort('deadline'), Math.max(0, deadline - performance.now()));
      const request: EntryRequest = {
        incoming,
        response,
        metadata,
        path: target.path,
        route,
        service,
        configurationVersion: current.version,
        account,
        body,
        memory,
        receivedAt,
        deadline,
        signal: abortController.signal,
        isOver: () => {
          if (performance.now() >= deadline) abort('deadline');
          return abortController.signal.aborted;
        },
        relayed,
        content: {
          hash: hashContent(target.path, account?.name ?? '', body),
          sharedParts: metadata.sharedPromptParts,
        },
      };
      if (service.engine) await relayStream(context, request, service.engine);
      else await relayCall(context, request);
      return undefined;
    } catch (error) {
      if (error instanceof UnreadBodyError) {
        if (error.reason === 'tooLarge') return rejectRequest(incoming, response, TOO_LARGE);
        if (error.reason === 'memoryExceeded')
          return rejectRequest(incoming, response, MEMORY_EXCEEDED);
        if (getAbortReason(abortController.signal) === 'stopping') {
          connections.closeAfter(incoming, response);
          return rejectRequest(incoming, response, STOPPING);
        }
      }
      if (!response.destroyed)
        log.error('Unexpected error while serving a request.', { message: getErrorMessage(error) });
      response.destroy();
      return undefined;
    } finally {
      clearTimeout(timer);
      abortControllers.delete(abortController);
      response.off('close', onClose);
    }
  };

  const countOpen = (response: ServerResponse): void => {
    openCount += 1;
    response.once('close', () => {
      openCount -= 1;
    });
  };

  const serveRelayed = (incoming: IncomingMessage, response: ServerResponse): void => {
    const relayed = decodeRelayedRequest(String(incoming.headers[RELAY_HEADER]));
    if (!relayed) return rejectRequest(incoming, response, BAD_RELAY);
    if (relayedCount >= MAXIMUM_RELAYED_REQUESTS)
      return rejectRequest(incoming, response, RELAY_FULL);
    const { requestId } = protocol.parseRequestHeaders(incoming.headers);
    log.info('Serving a request for a peer.', { requestId, ...relayed });
    countOpen(response);
    relayedCount += 1;
    response.once('close', () => {
      relayedCount -= 1;
    });
    void serve(incoming, response, relayed);
    return undefined;
  };

  const serveRequest = (incoming: IncomingMessage, response: ServerResponse): void => {
    const { requestId } = protocol.parseRequestHeaders(incoming.headers);
    if (connections.isEnding(incoming.socket)) {
      log.info('Request not read: an answer before it ends the connection.', { requestId });
      metrics.countEvent('not_read');
      incoming.resume();
      return;
    }
    countOpen(response);
    connections.addRequest(incoming, response, requestId);
    if (isStopping()) connections.closeAfter(incoming, response);
    void serve(incoming, response);
  };

  const server = http.createServer(
    { maxHeaderSize: MAXIMUM_HEADER_BYTES, noDelay: true },
    serveRequest,
  );
  // An expectation other than 100-continue may be ignored; Node.js would answer 417 by itself.
  server.on('checkExpectation', serveRequest);
  server.on('clientError', (error, socket) => connections.handleError(error, socket));
  server.requestTimeout = 0;
  configuration.onChange(({ limits }) => {
    server.keepAliveTimeout = limits.idleMilliseconds + IDLE_TIMEOUT_MARGIN_MILLISECONDS;
    server.headersTimeout = limits.headerMilliseconds;
  });
  server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MILLISECONDS;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host: address.host, port: address.port, backlog: 1024 }, resolve);
  });
  return {
    serveRelayed,
    openRequests: () => openCount,
    closeIdleConnections: () => server.closeIdleConnections(),
    endRequests: () => {
      const reason: AbortReason = 'stopping';
      abortControllers.forEach((controller) => controller.abort(reason));
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
