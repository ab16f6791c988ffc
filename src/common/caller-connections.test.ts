import assert from 'node:assert/strict';
import { once } from 'node:events';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import fc from 'fast-check';
import { RawConnection } from '../../tools/raw-connection.js';
import {
  CallerConnections,
  decideOnConnectionError,
  type ConnectionSituation,
} from './caller-connections.js';

const FRESH: ConnectionSituation = {
  errorCode: 'HPE_INVALID_METHOD',
  openRequests: 0,
  isReadingBody: false,
  hasStartedResponse: false,
  requestCount: 0,
  hasCallerLeft: false,
};

test('caller connections: what is done about an error', () => {
  const cases: readonly [Partial<ConnectionSituation>, object][] = [
    [{}, { kind: 'reject', status: 400 }],
    [
      { errorCode: 'HPE_HEADER_OVERFLOW', requestCount: 3 },
      { kind: 'reject', status: 431 },
    ],
    [
      { errorCode: 'ERR_HTTP_REQUEST_TIMEOUT', requestCount: 3 },
      { kind: 'reject', status: 408 },
    ],
    [{ requestCount: 1 }, { kind: 'close' }],
    [
      { requestCount: 1, isReadingBody: true },
      { kind: 'reject', status: 400 },
    ],
    [{ requestCount: 1, openRequests: 1 }, { kind: 'finishOpenRequests' }],
    [
      { requestCount: 1, openRequests: 1, hasStartedResponse: true },
      { kind: 'finishOpenRequests' },
    ],
    [{ requestCount: 1, openRequests: 1, hasCallerLeft: true }, { kind: 'close' }],
    [{ hasCallerLeft: true, errorCode: 'HPE_INVALID_EOF_STATE' }, { kind: 'close' }],
    [{ errorCode: 'ECONNRESET' }, { kind: 'close' }],
    [{ errorCode: '' }, { kind: 'close' }],
  ];
  cases.forEach(([change, expected]) => {
    assert.deepEqual(
      decideOnConnectionError({ ...FRESH, ...change }),
      expected,
      JSON.stringify(change),
    );
  });
});

test('caller connections: a request that was read is never rejected for what follows it', () => {
  const situations = fc.record({
    errorCode: fc.constantFrom('HPE_INVALID_METHOD', 'HPE_HEADER_OVERFLOW', 'ECONNRESET', 'EPIPE'),
    openRequests: fc.integer({ min: 1, max: 3 }),
    isReadingBody: fc.boolean(),
    hasStartedResponse: fc.boolean(),
    requestCount: fc.nat(9),
    hasCallerLeft: fc.boolean(),
  });
  fc.assert(
    fc.property(situations, (situation) => {
      assert.notEqual(decideOnConnectionError(situation).kind, 'reject');
    }),
    { seed: 24 },
  );
});

// The answer to the first one ended the connection, and with it the second one, which was being served.
test('caller connections: all requests that were read are answered before bytes that do not parse end the connection', async (context) => {
  const ignore = (): void => undefined;
  const log = { debug: ignore, info: ignore, warn: ignore, error: ignore };
  const connections = new CallerConnections({ log, countError: ignore });
  const server = http.createServer((incoming, response) => {
    connections.addRequest(incoming, response, String(incoming.url));
    setTimeout(() => response.end(incoming.url), 50);
  });
  server.on('clientError', (error, socket) => connections.handleError(error, socket));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const connection = await RawConnection.open((server.address() as AddressInfo).port);
  context.after(() => {
    connection.destroy();
    server.close();
  });
  const paths = ['/1', '/2', '/3'];
  const requests = paths.map((path) => `GET ${path} HTTP/1.1\r\nHost: site.example\r\n\r\n`);
  connection.write(`${requests.join('')}no request\r\n\r\n`);
  for (const path of paths) {
    const response = await connection.readResponse(2000);
    assert.equal(response?.isComplete, true, path);
    assert.equal(response.body, path);
  }
  assert.equal(await connection.readResponse(2000), undefined);
  assert.ok(connection.isClosed);
});
