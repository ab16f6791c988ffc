/**
 * Handles what goes wrong on callers' connections outside of any request's handler: bytes that the
 * HTTP parser rejects, heads that take too long, and connections that break.
 */
import { STATUS_CODES, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Logger } from '../telemetry/log.js';
import type { EntryMetrics } from './entry-metrics.js';

/** An error of the HTTP server on a connection. */
export interface ConnectionError extends Error {
  readonly code?: string;
  /** How many bytes of the last packet the parser had accepted. */
  readonly bytesParsed?: number;
}

/** What is known about one connection. */
interface ConnectionState {
  readonly openResponses: Set<ServerResponse>;
  requestCount: number;
  lastRequestId: string;
}

/** Options of {@link CallerConnections}. */
export interface CallerConnectionsOptions {
  readonly log: Logger;
  readonly metrics: Pick<EntryMetrics, 'countEvent'>;
}

const BAD_REQUEST_STATUS = 400;
/** Statuses of errors for which 400 says too little. */
const STATUS_BY_ERROR_CODE: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

function sendStatusAndClose(socket: Duplex, status: number): void {
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
  addRequest(socket: Duplex, requestId: string, response: ServerResponse): void {
    const state = this.#getState(socket);
    state.requestCount += 1;
    state.lastRequestId = requestId;
    state.openResponses.add(response);
    response.once('close', () => state.openResponses.delete(response));
  }

  /** Handles an error that the HTTP server reports for a connection. */
  handleError(error: ConnectionError, socket: Duplex): void {
    const state = this.#getState(socket);
    const hasStartedResponse = [...state.openResponses].some(({ headersSent }) => headersSent);
    const isAnswered = socket.writable && !hasStartedResponse;
    const status = STATUS_BY_ERROR_CODE[error.code ?? ''] ?? BAD_REQUEST_STATUS;
    this.#record(error, state, isAnswered ? status : undefined);
    if (isAnswered) sendStatusAndClose(socket, status);
    if (!hasStartedResponse) socket.destroy();
  }

  #getState(socket: Duplex): ConnectionState {
    const known = this.#states.get(socket);
    if (known) return known;
    const state = { openResponses: new Set<ServerResponse>(), requestCount: 0, lastRequestId: '' };
    this.#states.set(socket, state);
    return state;
  }

  #record(error: ConnectionError, state: ConnectionState, status: number | undefined): void {
    const { log, metrics } = this.#options;
    metrics.countEvent(`connection_error_${error.code ?? 'unknown'}`);
    log.info("A caller's connection failed.", {
      code: error.code,
      message: error.message,
      bytesParsed: error.bytesParsed,
      status,
      openRequests: state.openResponses.size,
      requests: state.requestCount,
      lastRequestId: state.lastRequestId,
    });
  }
}
