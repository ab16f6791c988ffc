import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { createPeerRecord } from '../../tools/peer-record.js';
import { createProtocolAdapter } from '../../platform/protocol-adapter.js';
import { createSilentLogger } from '../telemetry/log.js';
import type { EntryRequest } from './entry-request.js';
import { PeerRelay, type PeerAnswer } from './peer-relay.js';

/** Starts a peer that refuses each request with a code. */
async function startRefusingPeer(context: TestContext, code: string) {
  let received = 0;
  const server = http.createServer((request, response) => {
    received += 1;
    request.resume();
    response.writeHead(503, { 'retry-after': '0.5' });
    response.end(JSON.stringify({ error: { code, message: 'Not run.' } }));
  });
  context.after(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const record = createPeerRecord(`peer-${port}`, {
    acceptsRequests: true,
    peers: { host: '127.0.0.1', port },
  });
  return { record, countReceived: () => received };
}

async function relayThrough(
  peers: readonly ReturnType<typeof createPeerRecord>[],
  processKeys: readonly string[],
): Promise<PeerAnswer> {
  const relay = new PeerRelay({
    instance: 'cut',
    listPeers: () => peers,
    configurationVersion: () => 1,
    protocol: createProtocolAdapter(),
    log: createSilentLogger(),
  });
  const request = {
    incoming: { rawHeaders: ['Host', 'site.example'], method: 'POST' },
    response: new EventEmitter(),
    metadata: { requestId: 'request' },
    path: '/lookups/1',
    body: Buffer.from('body'),
    deadline: performance.now() + 1000,
    signal: new AbortController().signal,
  } as unknown as EntryRequest;
  return relay.relay(request, { processKeys, lastEventId: undefined });
}

// A server may have run the request before; the peer that refuses it only speaks of itself.
test('peer relay: a refusal of a peer is no proof for a request that may have run', async (context) => {
  for (const code of ['crashes_servers', 'stopping']) {
    const { record } = await startRefusingPeer(context, code);
    const fresh = await relayThrough([record], []);
    assert.ok(fresh.kind === 'ended' && fresh.response.code === code);
    assert.equal(fresh.response.retryAfterSeconds, 0.5);
    assert.equal((await relayThrough([record], ['server/1'])).kind, 'none');
  }
});

test('peer relay: a peer that only speaks of itself is followed by another one, any other word is final', async (context) => {
  const stopping = await startRefusingPeer(context, 'stopping');
  const blocking = await startRefusingPeer(context, 'crashes_servers');
  const answer = await relayThrough([stopping.record, blocking.record], []);
  assert.ok(answer.kind === 'ended' && answer.response.code === 'crashes_servers');
  assert.equal(blocking.countReceived(), 1);
  assert.ok(stopping.countReceived() <= 1);
  const absent = createPeerRecord('absent', {
    acceptsRequests: true,
    peers: { host: '127.0.0.1', port: 1 },
  });
  assert.equal((await relayThrough([absent], [])).kind, 'none');
});
