/** JSON-over-HTTP server on which the stand-ins, the test doubles of other services, are built. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

/** A request whose body has been read completely. */
export interface StandInRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

export type StandInHandler = (request: StandInRequest) => Promise<void> | void;

/** A running stand-in; closing it also closes its open connections. */
export interface StandInServer {
  readonly port: number;
  readonly close: () => Promise<void>;
}

/**
 * Sends a JSON response. Does nothing if the response has already begun or the connection is
 * closed.
 *
 * @param response - The response to send.
 * @param status - The HTTP status code.
 * @param body - The value to serialize as JSON.
 * @param headers - Further headers.
 */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
  headers: http.OutgoingHttpHeaders = {},
): void {
  if (response.destroyed || response.headersSent) return;
  response.writeHead(status, { 'content-type': 'application/json', ...headers });
  response.end(JSON.stringify(body));
}

async function readBody(request: http.IncomingMessage): Promise<string> {
  let body = '';
  request.setEncoding('utf8');
  for await (const part of request) body += part as string;
  return body;
}

/**
 * Starts an HTTP server on 127.0.0.1. A handler that throws is answered with status 500, or with a
 * closed connection if the response has already begun.
 *
 * @param port - The port to listen on; 0 selects a free one.
 * @param handler - Called for each request once its body has been read.
 * @returns The listening server; rejects when the port is in use.
 */
export function startStandIn(port: number, handler: StandInHandler): Promise<StandInServer> {
  const server = http.createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://127.0.0.1');
    readBody(request)
      .then((body) =>
        handler({
          method: request.method ?? 'GET',
          path: url.pathname,
          query: url.searchParams,
          headers: request.headers,
          body,
          request,
          response,
        }),
      )
      .catch((error: unknown) => {
        if (!response.headersSent) sendJson(response, 500, { error: String(error) });
        else response.destroy();
      });
  });
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => {
      resolve({
        port: (server.address() as AddressInfo).port,
        close: () =>
          new Promise((closed) => {
            server.close(() => closed());
            server.closeAllConnections();
          }),
      });
    });
  });
}
