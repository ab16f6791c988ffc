import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import http from 'node:http';
import net, { type AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { createPeerRecord } from '../../tools/peer-record.js';
import { createProtocolAdapter } from '../../platform/protocol-adapter.js';
import type { PeerRecord } from '../gossip/peer-record.js';
import { createSilentLogger } from '../telemetry/log.js';
import type { EntryRequest } from '../entry/entry-request.js';
import type { PeerAnswer } from './peer-answer.js';
import { PeerRelay } from './peer-relay.js';
import type { Route } from '../entry/serving-configuration.js';

/** Starts a peer that refuses each request with a code, under the id of the request unless another is given. */
async function startRefusingPeer(
  context: TestContext,
  code: string,
  headers: Readonly<Record<string, string>> = { 'request-id': 'request' },
) {
  let received = 0;
  const server = http.createServer((request, response) => {
    received += 1;
    request.resume();
    response.writeHead(503, { 'retry-after': '0.5', ...headers });
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

function createRelay(peers: readonly PeerRecord[]): PeerRelay {
  return new PeerRelay({
    instance: 'cut',
    listPeers: () => peers,
    configurationVersion: () => 1,
    protocol: createProtocolAdapter(),
    isBlocked: () => false,
    maySend: () => Promise.resolve(true),
    acquireRetry: () => true,
    log: createSilentLogger(),
  });
}

function createRequest(route: Partial<Route>): EntryRequest {
  return {
    incoming: { rawHeaders: ['Host', 'site.example'], method: 'POST' },
    response: new EventEmitter(),
    metadata: { requestId: 'request' },
    route,
    service: { name: 'service' },
    content: { hash: 'hash', sharedParts: [] },
    path: '/lookups/1',
    body: Buffer.from('body'),
    deadline: performance.now() + 1000,
    signal: new AbortController().signal,
  } as unknown as EntryRequest;
}

function relayThrough(
  peers: readonly PeerRecord[],
  processKeys: readonly string[],
  route: Partial<Route> = { kind: 'safe', maximumAttempts: 2 },
): Promise<PeerAnswer> {
  const progress = { processKeys, lastEventId: undefined };
  return createRelay(peers).relay(createRequest(route), progress);
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

/** Starts a peer that ends as soon as a request has arrived. */
async function startEndingPeer(context: TestContext) {
  let received = 0;
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      received += 1;
      socket.resetAndDestroy();
    });
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

// A request that may run again ended with the peer that had it, though another one could serve it.
test('peer relay: a request whose peer ends goes on at another one only where it may run again', async (context) => {
  const routes: readonly [Partial<Route>, number][] = [
    [{ kind: 'safe', maximumAttempts: 2 }, 2],
    [{ kind: 'safe', maximumAttempts: 1 }, 1],
    [{ kind: 'unsafe', maximumAttempts: 3 }, 1],
    [{ kind: 'streaming', isResumable: true, maximumAttempts: 2 }, 2],
    [{ kind: 'streaming', isResumable: false, maximumAttempts: 2 }, 1],
  ];
  for (const [route, expected] of routes) {
    const peers = [await startEndingPeer(context), await startEndingPeer(context)];
    const records = peers.map(({ record }) => record);
    const answer = await relayThrough(records, [], route);
    assert.equal(answer.kind, 'lost', 'it may have run');
    const received = peers.reduce((sum, { countReceived }) => sum + countReceived(), 0);
    assert.equal(received, expected, JSON.stringify(route));
  }
});

// The refusal of the second peer states nothing of what the first one has begun.
test('peer relay: a refusal after the end of another peer is no proof that the request has not run', async (context) => {
  const ending = await startEndingPeer(context);
  const refusing = await startRefusingPeer(context, 'crashes_servers');
  for (let run = 0; run < 8; run += 1) {
    const countBefore = ending.countReceived();
    const answer = await relayThrough([ending.record, refusing.record], []);
    const wasSent = ending.countReceived() > countBefore;
    assert.equal(answer.kind, wasSent ? 'lost' : 'ended');
  }
});

// The host of a peer may end with it, so that no connection is ever closed.
test('peer relay: a newer process of the peer ends an exchange, its silence does not', () => {
  const incarnation = 5;
  const exchange = {
    peer: 'peer',
    incarnation,
    silenceMilliseconds: 60_000,
    processKeys: ['peer'],
    excludedPeers: ['peer'],
  };
  const decide = (records: readonly PeerRecord[], kind: Route['kind']): string =>
    createRelay(records).decide(createRequest({ kind, maximumAttempts: 2 }), exchange).kind;
  const other = createPeerRecord('other', { acceptsRequests: true });
  const same = createPeerRecord('peer', { incarnation });
  const newer = createPeerRecord('peer', { incarnation: incarnation + 1 });
  (['safe', 'unsafe'] as const).forEach((kind) => {
    assert.equal(decide([other, newer], kind), 'end');
    assert.equal(decide([other, same], kind), 'wait', 'its records come');
    assert.equal(decide([], kind), 'wait', 'there is no other peer');
  });
  assert.equal(decide([other], 'safe'), 'tryBeside');
  assert.equal(decide([other], 'unsafe'), 'wait');
});

// A refusal of another request was passed on as the promise that this one has not run.
test('peer relay: an answer that lacks the id of the request is lost, and the request may have run', async (context) => {
  const foreignHeaders: readonly Record<string, string>[] = [
    {},
    { 'request-id': 'earlier' },
    { 'response-signature': 's' },
    { 'request-id': 'earlier', 'response-signature': 's' },
  ];
  for (const headers of foreignHeaders) {
    for (const code of ['crashes_servers', 'stopping']) {
      const { record } = await startRefusingPeer(context, code, headers);
      const { kind } = await relayThrough([record], [], { kind: 'unsafe', maximumAttempts: 3 });
      assert.equal(kind, 'lost', JSON.stringify({ code, headers }));
    }
  }
});
