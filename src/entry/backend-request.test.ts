import assert from 'node:assert/strict';
import net, { type AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { isBodyDelimited, sendBackendRequest } from './backend-request.js';

const HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n';

/** Reads the answer of a server that sends a body without a length and then ends as told. */
async function readUnframed(
  context: TestContext,
  end: (socket: net.Socket) => void,
): Promise<string> {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`${HEAD}half of it`, () => setTimeout(() => end(socket), 50));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const answer = await sendBackendRequest({
    address: { host: '127.0.0.1', port },
    method: 'GET',
    target: '/',
    headers: ['Host', 'x', 'Connection', 'close'],
    body: Buffer.alloc(0),
    signal: new AbortController().signal,
  });
  let text = '';
  for await (const part of answer) text += String(part);
  assert.ok(answer.complete);
  assert.ok(!isBodyDelimited(answer), 'its end can’t be told from a crash');
  return text;
}

test('exchange: an answer without a length ends with its connection', async (context) => {
  assert.equal(await readUnframed(context, (socket) => socket.end()), 'half of it');
});

// A server that crashed within such an answer made it look complete.
test('exchange: an answer without a length that is reset is not complete', async (context) => {
  await assert.rejects(readUnframed(context, (socket) => socket.resetAndDestroy()));
});
