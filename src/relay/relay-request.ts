/** Sends a caller's request to a backend server and reads the head of the response. */
import type { IncomingMessage } from 'node:http';
import { formatAddress } from '../common/address.js';
import { HttpRequestError } from '../common/http-client.js';
import { interpretResponse, type ResponseMeaning } from '../evidence/response-meaning.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import { sendBackendRequest, type BackendRequest } from './backend-request.js';
import { maySend } from './send-permission.js';
import type { EntryContext } from '../entry/entry-context.js';
import type { EntryRequest } from '../entry/entry-request.js';
import type { ResponseMetadata, StageAddress } from '../entry/protocol-adapter.js';

/** Options of {@link sendRelayedRequest}. */
export interface RelayedRequestOptions {
  readonly server: ServerEntry;
  /** The chain to run over; undefined for plain services. */
  readonly chain: readonly StageAddress[] | undefined;
  /** The last event that the caller has, when a stream resumes. */
  readonly lastEventId: number | undefined;
  /** Aborts the request, and its response if that has begun. */
  readonly signal: AbortSignal;
}

/** The head of a backend server's response; its body can be read from `message`. */
export interface RelayedResponse {
  readonly message: IncomingMessage;
  readonly status: number;
  readonly meaning: ResponseMeaning;
}

/** Statuses from here on are logged with what they say about the response's origin. */
const FIRST_LOGGED_STATUS = 300;
/** The least urgent of the ten degrees that backend servers know. */
const LEAST_URGENT = 9;

function logFailure(
  context: EntryContext,
  requestId: string,
  server: ServerEntry,
  {
    status,
    meaning,
    metadata,
  }: Omit<RelayedResponse, 'message'> & {
    readonly metadata: ResponseMetadata;
  },
): void {
  context.logs('routing').info('Backend server responded with a failure.', {
    requestId,
    server: server.id,
    address: formatAddress(server.address),
    status,
    meaning: meaning.kind,
    reason: meaning.kind === 'unproved' ? meaning.reason : undefined,
    isNotExecuted: metadata.statesNotRun,
    isSigned: metadata.isSigned,
    isForRequest: metadata.requestId === requestId,
  });
}

/** Sends a request, and notes whether the server could be reached. */
async function sendObserved(
  { serverReach }: EntryContext,
  server: ServerEntry,
  request: BackendRequest,
): Promise<IncomingMessage> {
  try {
    const message = await sendBackendRequest(request);
    serverReach.recordConnected(server);
    return message;
  } catch (error) {
    const isUnconnected = error instanceof HttpRequestError && error.phase === 'connecting';
    if (!isUnconnected) serverReach.recordConnected(server);
    else if (!request.signal.aborted) serverReach.recordUnreachable(server);
    throw error;
  }
}

/**
 * Sends a request to a backend server and waits for the head of the response.
 *
 * @param context - What the instance shares between requests.
 * @param request - The caller's request.
 * @param options - Where it goes, and how.
 * @returns The response, and what its head proves.
 * @throws HttpRequestError whose phase tells whether any byte may have reached the backend server.
 */
export async function sendRelayedRequest(
  context: EntryContext,
  request: EntryRequest,
  options: RelayedRequestOptions,
): Promise<RelayedResponse> {
  const { protocol } = context;
  const { incoming, path, account, body, deadline, metadata, route } = request;
  const { server, chain, lastEventId, signal } = options;
  if (!(await maySend(request, context.eventLoopDelay)))
    throw new HttpRequestError('connecting', 'The request is over; it was not sent.');
  const message = await sendObserved(context, server, {
    address: server.address,
    method: incoming.method ?? 'GET',
    target: path,
    headers: protocol.buildBackendHeaders(incoming.rawHeaders, {
      remainingMilliseconds: deadline - performance.now(),
      account: account?.name,
      serverId: server.id,
      chain,
      lastEventId,
      urgency: Math.min(LEAST_URGENT, account?.priority ?? route.priority),
      bodyBytes: body.length,
    }),
    body,
    signal,
    isOver: request.isOver,
  });
  const status = message.statusCode ?? 0;
  const { requestId } = metadata;
  const responseMetadata = protocol.parseResponseHeaders(message.headers, status);
  const addresses = [server.address, ...(chain ?? []).map(({ address }) => address)];
  const meaning = interpretResponse(
    { requestId, serverId: server.id, addresses: addresses.map(formatAddress) },
    { status, metadata: responseMetadata },
  );
  if (meaning.kind !== 'unproved') {
    const { statements } = meaning;
    context.statements.record({ entry: server, status, statements, requestId });
  }
  if (status >= FIRST_LOGGED_STATUS)
    logFailure(context, requestId, server, { status, meaning, metadata: responseMetadata });
  return { message, status, meaning };
}
