import assert from 'node:assert/strict';
import net, { type AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { createSilentLogger } from '../telemetry/log.js';
import { BackendFleet } from './backend-fleet.js';
import { EndCheck } from './end-check.js';
import type { ServerEntry } from './server-entry.js';

async function startServer(
  context: TestContext,
  onConnection: (server: net.Server, socket: net.Socket) => void,
): Promise<ServerEntry> {
  const server = net.createServer((socket) => onConnection(server, socket));
  context.after(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    id: 'server',
    service: 'service',
    address: { host: '127.0.0.1', port },
    dataCentre: 'dc',
    slots: 1,
    isLeaving: false,
    kind: undefined,
    layers: undefined,
  };
}

async function checkHasEnded(entry: ServerEntry): Promise<boolean> {
  const fleet = new BackendFleet({ log: createSilentLogger() });
  await new EndCheck(fleet).check(entry);
  return fleet.hasEnded(entry.id);
}

test('end check: a server that holds the connection has not ended', async (context) => {
  const entry = await startServer(context, (_, socket) => socket.on('error', () => undefined));
  assert.equal(await checkHasEnded(entry), false);
});

// The check was accepted by a process that was closing its sockets, and its end was missed.
test('end check: a server that accepts one more connection while it ends has ended', async (context) => {
  for (const close of ['destroy', 'resetAndDestroy'] as const) {
    const entry = await startServer(context, (server, socket) => {
      server.close();
      socket[close]();
    });
    assert.equal(await checkHasEnded(entry), true, close);
  }
});

test('end check: a server that closes each connection and goes on listening has not ended', async (context) => {
  const entry = await startServer(context, (_, socket) => socket.destroy());
  assert.equal(await checkHasEnded(entry), false);
});
