import assert from 'node:assert/strict';
import net, { type AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { isBodyDelimited, sendBackendRequest } from './backend-request.js';

const HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n';

/**
 * Reads the response of a server that sends a body without a length and then ends as `end` does.
 */
async function readUndelimitedBody(
  context: TestContext,
  end: (socket: net.Socket) => void,
  delayMilliseconds = 50,
): Promise<string> {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`${HEAD}half of it`);
      if (delayMilliseconds === 0) setImmediate(end, socket);
      else setTimeout(() => end(socket), delayMilliseconds);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const response = await sendBackendRequest({
    address: { host: '127.0.0.1', port },
    method: 'GET',
    target: '/',
    headers: ['Host', 'x', 'Connection', 'close'],
    body: Buffer.alloc(0),
    signal: new AbortController().signal,
  });
  let text = '';
  for await (const part of response) text += String(part);
  assert.ok(response.complete);
  assert.ok(!isBodyDelimited(response), 'the body has no stated end');
  return text;
}

test('backend request: a response without a length ends with its connection', async (context) => {
  assert.equal(await readUndelimitedBody(context, (socket) => socket.end()), 'half of it');
});

// Guards against taking a response for complete when the server crashed while sending it.
test('backend request: a response without a length fails when its connection is reset', async (context) => {
  await assert.rejects(readUndelimitedBody(context, (socket) => socket.resetAndDestroy()));
});

// Node.js reports such a reset as an orderly end; a half answer was passed on as a whole one.
test('backend request: a response without a length fails when the reset arrives with its last bytes', async (context) => {
  for (let run = 0; run < 20; run += 1)
    await assert.rejects(readUndelimitedBody(context, (socket) => socket.resetAndDestroy(), 0));
});

test('backend request: a response without a length is whole when the end arrives with its last bytes', async (context) => {
  for (let run = 0; run < 20; run += 1)
    assert.equal(await readUndelimitedBody(context, (socket) => socket.end(), 0), 'half of it');
});
