import assert from 'node:assert/strict';
import { getEventListeners } from 'node:events';
import http from 'node:http';
import net, { type AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import type { Address } from './address.js';
import { fetchResponse, fetchResponseStream, isConnectionSilent, readBody } from './http-client.js';

async function startServer(context: TestContext): Promise<Address> {
  const server = http.createServer((request, response) => response.end('{}'));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return { host: '127.0.0.1', port: (server.address() as AddressInfo).port };
}

const WATCHES = 1000;

// Each answer left a listener at the signal of the caller, which lives as long as the process for watches: 5 KB
// of heap for each of them.
test('http client: a thousand watches leave no listeners at the signal that ends them', async (context) => {
  const address = await startServer(context);
  const agent = new http.Agent({ keepAlive: true });
  context.after(() => agent.destroy());
  const { signal } = new AbortController();
  const request = { address, agent, method: 'GET', path: '/', timeoutMilliseconds: 1000, signal };
  for (let count = 0; count < WATCHES; count += 1) await fetchResponse(request);
  // The last response may not have been closed yet.
  const listeners = getEventListeners(signal, 'abort').length;
  assert.ok(listeners <= 1, `${listeners} listeners`);
});

test('http client: the signal ends a response that is being read', async (context) => {
  const server = http.createServer((request, response) => response.write('begun'));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const controller = new AbortController();
  const response = await fetchResponseStream({
    address: { host: '127.0.0.1', port: (server.address() as AddressInfo).port },
    method: 'GET',
    path: '/',
    timeoutMilliseconds: 1000,
    signal: controller.signal,
  });
  const body = readBody(response);
  controller.abort();
  await assert.rejects(body);
});

/** Starts a server that announces another protocol in answer to each request, and keeps the connection. */
async function startUpgradingServer(context: TestContext): Promise<Address> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () =>
      socket.write(
        'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n',
      ),
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return { host: '127.0.0.1', port: (server.address() as AddressInfo).port };
}

// Such a call settled at its timeout only, and its connection was taken for a silent one.
test('http client: an answer that announces another protocol fails at once and is no silence', async (context) => {
  const address = await startUpgradingServer(context);
  const request = { address, method: 'GET', path: '/', timeoutMilliseconds: 2000 };
  await assert.rejects(fetchResponse(request), (error) => !isConnectionSilent(error));
});
