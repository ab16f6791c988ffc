/**
 * All open connections to the store go silent for good, without a reset; new ones work. When all machines
 * are in touch again, a replica reports that it leaves. Requests still reach it after `drain-ms`.
 */
import net from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { findFreePorts } from '../../tools/ports.js';
import { send } from '../common/client.js';
import { CASEBOOK, CONTACT_MILLISECONDS, DRAIN_MILLISECONDS } from '../common/deployment.js';
import { Replica, type Run } from '../common/replica.js';
import { runCase, type CaseContext, type Verdict } from '../common/run-case.js';

const ZONES = ['lj-a', 'lj-b', 'kr-c'];
const REPLICAS = 3;
const REQUEST_INTERVAL_MILLISECONDS = 20;
const DEADLINE_MILLISECONDS = 2500;
/** From the silence to the replica's report that it leaves: all machines are in touch again. */
const UNTIL_DRAIN_MILLISECONDS = CONTACT_MILLISECONDS + 500;
const AFTER_DRAIN_MILLISECONDS = 12_000;

interface Connection {
  readonly near: net.Socket;
  readonly far: net.Socket;
  isSilent: boolean;
}

/** Passes connections on to the store, until they go silent. */
class StoreProxy {
  readonly #servers: net.Server[] = [];

  readonly #connections = new Set<Connection>();

  /** Starts a port that leads to the store. */
  async listen(storePort: number): Promise<number> {
    const [port = 0] = await findFreePorts(1);
    const server = net.createServer((near) => this.#pass(near, storePort));
    this.#servers.push(server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', resolve);
    });
    return port;
  }

  /** Silences all connections that are open now; later ones work. */
  silence(): number {
    this.#connections.forEach((connection) => {
      connection.isSilent = true;
    });
    return this.#connections.size;
  }

  close(): void {
    this.#connections.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
    this.#servers.forEach((server) => server.close());
  }

  #pass(near: net.Socket, storePort: number): void {
    const far = net.connect({ host: '127.0.0.1', port: storePort });
    const connection = { near, far, isSilent: false };
    this.#connections.add(connection);
    const join = (from: net.Socket, to: net.Socket): void => {
      from.setNoDelay(true);
      from.on('data', (part) => {
        if (!connection.isSilent) to.write(part);
      });
      from.on('error', () => undefined);
      from.on('close', () => {
        this.#connections.delete(connection);
        if (!connection.isSilent) to.destroy();
      });
    };
    join(near, far);
    join(far, near);
  }
}

const proxy = new StoreProxy();

async function run({ deployment, record, hasTrouble, atEnd }: CaseContext): Promise<Verdict> {
  atEnd(() => proxy.close());
  const ports = await findFreePorts(REPLICAS);
  const runs: Run[] = [];
  const replicas = ports.map(
    (port, index) =>
      new Replica({
        id: `i-${index}`,
        service: CASEBOOK.name,
        port,
        zone: ZONES[index % ZONES.length] ?? '',
        store: deployment.store,
        slots: 6,
        workMilliseconds: 30,
        onRun: (started) => runs.push(started),
      }),
  );
  for (const replica of replicas.slice(1)) {
    await replica.start();
    atEnd(() => replica.crash());
  }
  await deployment.startInstances();
  await sleep(3000);
  const [leaving] = replicas;
  if (!leaving) throw new Error('There is no replica to leave.');
  // One more replica joins: from here on, the store has nothing to tell of replicas.
  await leaving.start();
  atEnd(() => leaving.crash());

  const sentAt = new Map<string, number>();
  const sent: Promise<void>[] = [];
  const byStatus = new Map<number, number>();
  let isSending = true;
  const sendAll = async (): Promise<void> => {
    for (let count = 0; isSending; count += 1) {
      const instance = deployment.instances[count % deployment.instances.length];
      const id = `lookup-${count}`;
      sentAt.set(id, performance.now());
      if (instance)
        sent.push(
          send(instance, {
            id,
            method: 'GET',
            path: `/lookup/${id}`,
            deadlineMilliseconds: DEADLINE_MILLISECONDS,
          }).then(({ status }) => {
            byStatus.set(status, (byStatus.get(status) ?? 0) + 1);
          }),
        );
      await sleep(REQUEST_INTERVAL_MILLISECONDS);
    }
  };
  const sending = sendAll();
  await sleep(3500);
  const silencedAt = performance.now();
  if (hasTrouble) record.add(`all ${proxy.silence()} open connections to the store go silent`);
  await sleep(UNTIL_DRAIN_MILLISECONDS);
  leaving.drain();
  const acknowledgedAt = performance.now();
  record.add(`the store acknowledges that ${leaving.id} is draining`);
  await sleep(AFTER_DRAIN_MILLISECONDS);
  isSending = false;
  await sending;
  await Promise.all(sent);

  const atLeaving = runs.filter(({ replicaId }) => replicaId === leaving.id);
  const inTouchFrom = silencedAt + CONTACT_MILLISECONDS;
  const late = atLeaving.filter(
    ({ requestId, at }) =>
      at > acknowledgedAt + DRAIN_MILLISECONDS && (sentAt.get(requestId) ?? 0) > inTouchFrom,
  );
  atLeaving
    .filter(({ at }) => at > acknowledgedAt)
    .forEach(({ requestId, at }) =>
      record.add(
        `${requestId} reached ${leaving.id} ${Math.round(at - acknowledgedAt)} ms after the ` +
          'acknowledgement',
      ),
    );
  const last = Math.max(0, ...atLeaving.map(({ at }) => at - acknowledgedAt));
  record.add(`answers by status: ${JSON.stringify(Object.fromEntries(byStatus))}`);
  return {
    isBroken: late.length > 0,
    summary:
      `${late.length} requests reached the draining replica later than ${DRAIN_MILLISECONDS} ms after ` +
      `the acknowledgement; the last one at all ${Math.round(last)} ms after it (0: none)`,
  };
}

await runCase({
  folder: '4',
  options: {
    zones: ZONES,
    storePortOf: (storePort) => proxy.listen(storePort),
  },
  run,
});
