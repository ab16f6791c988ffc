import assert from 'node:assert/strict';
import net, { type AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { waitUntil } from '../../tools/platform-group.js';
import { sleep } from '../common/clock.js';
import { createSilentLogger } from '../telemetry/log.js';
import { BackendFleet } from './backend-fleet.js';
import { CONFIRMATION_DELAYS_MILLISECONDS, EndCheck, type PeerFinding } from './end-check.js';
import type { ServerEntry } from './server-entry.js';
import { ServerReach } from './server-reach.js';

const DEFAULT_ENTRY: ServerEntry = {
  id: 'server',
  service: 'service',
  address: { host: '127.0.0.1', port: 1 },
  dataCentre: 'dc',
  slots: 1,
  isLeaving: false,
  kind: undefined,
  layers: undefined,
};

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
  return { ...DEFAULT_ENTRY, address: { host: '127.0.0.1', port } };
}

interface Vantage {
  /** Whether this instance reaches another server. */
  readonly isReached?: boolean;
  readonly peerFinding?: PeerFinding;
  /** What the peer finds when it is asked again. */
  readonly laterPeerFinding?: PeerFinding;
}

function createCheck(context: TestContext, vantage: Vantage = {}) {
  const { isReached = true, peerFinding, laterPeerFinding = peerFinding } = vantage;
  const stop = new AbortController();
  context.after(() => stop.abort());
  const log = createSilentLogger();
  const fleet = new BackendFleet({ log });
  const other: ServerEntry = { ...DEFAULT_ENTRY, id: 'other' };
  const serverReach = new ServerReach({
    listServers: () => [other],
    probe: () => Promise.resolve(isReached ? 'held' : 'unknown'),
    onChange: () => undefined,
    log,
    signal: stop.signal,
  });
  let questions = 0;
  const askPeer = (): Promise<PeerFinding> => {
    questions += 1;
    return Promise.resolve(questions === 1 ? peerFinding : laterPeerFinding);
  };
  const { signal } = stop;
  return { fleet, endCheck: new EndCheck({ fleet, serverReach, askPeer, log, signal }) };
}

async function checkHasEnded(context: TestContext, entry: ServerEntry): Promise<boolean> {
  const { fleet, endCheck } = createCheck(context);
  await endCheck.check(entry);
  return fleet.hasEnded(entry.id);
}

test('end check: a server that holds the connection has not ended', async (context) => {
  const entry = await startServer(context, (_, socket) => socket.on('error', () => undefined));
  assert.equal(await checkHasEnded(context, entry), false);
});

// The check was accepted by a process that was closing its sockets, and its end was missed.
test('end check: a server that accepts one more connection while it ends has ended', async (context) => {
  for (const close of ['destroy', 'resetAndDestroy'] as const) {
    const entry = await startServer(context, (server, socket) => {
      server.close();
      socket[close]();
    });
    assert.equal(await checkHasEnded(context, entry), true, close);
  }
});

test('end check: a server that closes each connection and goes on listening has not ended', async (context) => {
  const entry = await startServer(context, (_, socket) => socket.destroy());
  assert.equal(await checkHasEnded(context, entry), false);
});

// An instance whose own links refused connections recorded live servers as ended.
test('end check: a refusal is no end where this instance reaches no other server, or a peer is accepted', async (context) => {
  const outcomes: [Vantage, boolean][] = [
    [{}, true],
    [{ peerFinding: 'refused' }, true],
    [{ peerFinding: 'held' }, false],
    [{ peerFinding: 'unknown' }, false],
    [{ isReached: false }, false],
    [{ isReached: false, peerFinding: 'refused' }, false],
  ];
  for (const [vantage, hasEnded] of outcomes) {
    const { fleet, endCheck } = createCheck(context, vantage);
    await endCheck.recordRefusal(DEFAULT_ENTRY, 'refused');
    assert.equal(fleet.hasEnded('server'), hasEnded, JSON.stringify(vantage));
  }
});

// The peer was asked once; while many servers end at a time it may not answer, and the end was never known.
test('end check: a refusal that could not be confirmed is confirmed later', async (context) => {
  const { fleet, endCheck } = createCheck(context, {
    peerFinding: 'unknown',
    laterPeerFinding: 'refused',
  });
  await endCheck.recordRefusal(DEFAULT_ENTRY, 'refused');
  assert.equal(fleet.hasEnded('server'), false);
  await waitUntil(() => fleet.hasEnded('server'), 'the end is known');
});

test('end check: a refused server that a peer reaches is not taken for ended later either', async (context) => {
  const { fleet, endCheck } = createCheck(context, {
    peerFinding: 'unknown',
    laterPeerFinding: 'held',
  });
  await endCheck.recordRefusal(DEFAULT_ENTRY, 'refused');
  await sleep(CONFIRMATION_DELAYS_MILLISECONDS.reduce((sum, delay) => sum + delay, 200));
  assert.equal(fleet.hasEnded('server'), false);
});

test('life: a server that holds a connection, or has as many as it accepts, is alive', async (context) => {
  const holding = await startServer(context, (_, socket) => socket.on('error', () => undefined));
  assert.equal(await createCheck(context).endCheck.findLife(holding), 'alive');
  const full = await startServer(context, (_, socket) => socket.resetAndDestroy());
  assert.equal(await createCheck(context).endCheck.findLife(full), 'alive');
});

test('life: one that accepts a connection only while it ends, or is known to have ended, is not', async (context) => {
  const ending = await startServer(context, (server, socket) => {
    server.close();
    socket.destroy();
  });
  assert.notEqual(await createCheck(context).endCheck.findLife(ending), 'alive');
  // Another process has been given the address.
  const taken = await startServer(context, (_, socket) => socket.on('error', () => undefined));
  const { fleet, endCheck } = createCheck(context);
  fleet.recordEnd(taken, 'its address was given to another server');
  assert.equal(await endCheck.findLife(taken), 'ended');
});

// An answer that ended after a question had been sent would have been proved whole by that question.
test('life: questions at one moment share a connection, which is made after the last of them', async (context) => {
  const connectedAt: number[] = [];
  let onFirstConnection: () => void = () => undefined;
  const entry = await startServer(context, (_, socket) => {
    socket.on('error', () => undefined);
    connectedAt.push(performance.now());
    if (connectedAt.length === 1) onFirstConnection();
  });
  const { endCheck } = createCheck(context);
  let askedAt = 0;
  // The connection of the first question is open then.
  const others = new Promise<string[]>((resolve) => {
    onFirstConnection = () => {
      askedAt = performance.now();
      resolve(Promise.all([1, 2, 3].map(() => endCheck.findLife(entry))));
    };
  });
  const first = endCheck.findLife(entry);
  assert.deepEqual(await Promise.all([first, others]), ['alive', Array(3).fill('alive')]);
  assert.equal(connectedAt.length, 2);
  assert.ok((connectedAt[1] ?? 0) >= askedAt);
});
