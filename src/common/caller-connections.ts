/**
 * Handles what goes wrong on callers' connections outside of any request's handler: bytes that the
 * HTTP parser rejects, heads that take too long, and connections that break.
 */
import { STATUS_CODES, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Logger } from '../telemetry/log.js';

/** An error of the HTTP server on a connection. */
export interface ConnectionError extends Error {
  readonly code?: string;
  /** How many bytes of the last packet the parser had accepted. */
  readonly bytesParsed?: number;
}

/** What is known about a connection when an error is reported for it. */
export interface ConnectionSituation {
  readonly errorCode: string;
  /** Requests that were read completely and whose responses have not ended. */
  readonly openRequests: number;
  /** Whether the body of a request is still being read. */
  readonly isReadingBody: boolean;
  /** Whether a response has begun, so that no other one can be written. */
  readonly hasStartedResponse: boolean;
  /** Requests that the connection has carried so far. */
  readonly requestCount: number;
  /** Whether the caller has ended its side. */
  readonly hasCallerLeft: boolean;
}

/** What to do about an error. */
export type ConnectionDecision =
  | { readonly kind: 'reject'; readonly status: number }
  /** Answer the requests that were read, then close. */
  | { readonly kind: 'finishOpenRequests' }
  | { readonly kind: 'close' };

interface OpenRequest {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
}

/** What is kept about one connection. */
interface ConnectionState {
  readonly openRequests: Set<OpenRequest>;
  requestCount: number;
  lastRequestId: string;
  /** Whether the connection is closed once its open requests are answered. */
  isFinishing: boolean;
}

/** Options of {@link CallerConnections}. */
export interface CallerConnectionsOptions {
  readonly log: Logger;
  /** Counts an error under its code. */
  readonly countError: (code: string) => void;
}

const PARSE_ERROR_PREFIX = 'HPE_';
const BAD_REQUEST_STATUS = 400;
/** Errors that are certain on a connection that has carried requests before, too. */
const STATUS_BY_ERROR_CODE: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

function isParseError(errorCode = ''): boolean {
  return errorCode.startsWith(PARSE_ERROR_PREFIX);
}

/**
 * Decides what to do when a connection reports an error. A request that has been read is never answered
 * for the bytes after it. Bytes that do not parse are answered 400 only where they are certainly a
 * caller's request: within a body, or at the start of a connection.
 *
 * @param situation - What is known about the connection.
 * @returns The decision.
 */
export function decideOnConnectionError(situation: ConnectionSituation): ConnectionDecision {
  const { errorCode, openRequests, isReadingBody, hasStartedResponse } = situation;
  const knownStatus = STATUS_BY_ERROR_CODE[errorCode];
  const isCallersFault = isParseError(errorCode) || knownStatus !== undefined;
  if (situation.hasCallerLeft || !isCallersFault) return { kind: 'close' };
  if (openRequests > 0) return { kind: 'finishOpenRequests' };
  if (hasStartedResponse) return { kind: 'close' };
  if (knownStatus !== undefined) return { kind: 'reject', status: knownStatus };
  const isCertain = isReadingBody || situation.requestCount === 0;
  return isCertain ? { kind: 'reject', status: BAD_REQUEST_STATUS } : { kind: 'close' };
}

/** Lists the open requests that were read completely. */
function listReadRequests(state: ConnectionState): OpenRequest[] {
  return [...state.openRequests].filter(({ incoming }) => incoming.complete);
}

/** Lets the connection end with the last of its responses; each one that hasn't been sent says so or not. */
function announceEnd(responses: readonly ServerResponse[], last: ServerResponse | undefined): void {
  responses
    .filter((response) => !response.headersSent)
    .forEach((response) =>
      response.setHeader('Connection', response === last ? 'close' : 'keep-alive'),
    );
}

function sendStatus(socket: Duplex, status: number): void {
  if (!socket.writable) return;
  socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`);
}

/** The connections of callers. */
export class CallerConnections {
  readonly #options: CallerConnectionsOptions;

  readonly #states = new WeakMap<Duplex, ConnectionState>();

  constructor(options: CallerConnectionsOptions) {
    this.#options = options;
  }

  /** Notes a request whose head has been read. */
  addRequest(incoming: IncomingMessage, response: ServerResponse, requestId: string): void {
    const state = this.#getState(incoming.socket);
    const openRequest = { incoming, response };
    state.requestCount += 1;
    state.lastRequestId = requestId;
    state.openRequests.add(openRequest);
    response.once('close', () => {
      state.openRequests.delete(openRequest);
      if (state.isFinishing && listReadRequests(state).length === 0)
        incoming.socket.end(() => incoming.socket.destroy());
    });
  }

  /**
   * Lets a connection end with the response to its last request. An earlier response that has not been sent no
   * longer ends it, since the last one would be lost.
   */
  closeAfter({ socket }: IncomingMessage, response: ServerResponse): void {
    const responses = [...this.#getState(socket).openRequests].map((open) => open.response);
    announceEnd([response, ...responses], responses.at(-1) ?? response);
  }

  /**
   * Whether an open response has told the caller that the connection ends with it. A request behind it can't
   * be answered, so it must not run.
   */
  isEnding(socket: Duplex): boolean {
    return [...this.#getState(socket).openRequests].some(
      ({ response }) => response.headersSent && response.getHeader('Connection') === 'close',
    );
  }

  /** Handles an error that the HTTP server reports for a connection. */
  handleError(error: ConnectionError, socket: Duplex): void {
    const state = this.#getState(socket);
    const open = [...state.openRequests];
    const decision = decideOnConnectionError({
      errorCode: error.code ?? '',
      openRequests: listReadRequests(state).length,
      isReadingBody: open.some(({ incoming }) => !incoming.complete),
      hasStartedResponse: open.some(({ response }) => response.headersSent),
      requestCount: state.requestCount,
      hasCallerLeft: socket.readableEnded,
    });
    // Each further packet reports the error again while the open requests are answered.
    if (decision.kind === 'finishOpenRequests' && state.isFinishing) return;
    this.#record(error, state, decision);
    if (decision.kind === 'finishOpenRequests') {
      state.isFinishing = true;
      const responses = listReadRequests(state).map(({ response }) => response);
      announceEnd(responses, responses.at(-1));
      return;
    }
    if (decision.kind === 'reject') sendStatus(socket, decision.status);
    socket.destroy();
  }

  #getState(socket: Duplex): ConnectionState {
    const known = this.#states.get(socket);
    if (known) return known;
    const state = {
      openRequests: new Set<OpenRequest>(),
      requestCount: 0,
      lastRequestId: '',
      isFinishing: false,
    };
    this.#states.set(socket, state);
    return state;
  }

  #record(error: ConnectionError, state: ConnectionState, decision: ConnectionDecision): void {
    const { log, countError } = this.#options;
    countError(error.code ?? 'unknown');
    // A reset of a connection that carries no request decides nothing.
    if (decision.kind === 'close' && state.openRequests.size === 0 && !isParseError(error.code))
      return;
    log.info("A caller's connection failed.", {
      code: error.code,
      message: error.message,
      bytesParsed: error.bytesParsed,
      decision: decision.kind,
      status: decision.kind === 'reject' ? decision.status : undefined,
      openRequests: state.openRequests.size,
      requests: state.requestCount,
      lastRequestId: state.lastRequestId,
    });
  }
}
