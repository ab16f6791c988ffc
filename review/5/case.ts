/**
 * The store goes away for a moment and comes back from a copy some seconds old; what replicas wrote is
 * written again. When all machines are in touch again, a replica reports that it leaves. Requests still reach it.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { findFreePorts } from '../../tools/ports.js';
import { send } from '../common/client.js';
import { CASEBOOK, CONTACT_MILLISECONDS, DRAIN_MILLISECONDS } from '../common/deployment.js';
import { DrillStore } from '../common/drill-store.js';
import { Replica, type Run } from '../common/replica.js';
import { runCase, type CaseContext, type Verdict } from '../common/run-case.js';

const ZONES = ['lj-a', 'lj-b', 'kr-c'];
const FIRST_REPLICAS = 3;
/** `scale_out`: a share of 0.3 more servers, or a count of 1 as on the days of the site. */
const ADDED_REPLICAS = 1;
/** An added replica is cold for a while, and its entry tells how much longer. */
const COLD_MILLISECONDS = [3000, 2000, 1000, 0];
const COLD_STEP_MILLISECONDS = 1000;
const AWAY_MILLISECONDS = 1000;
/** Replicas write their entries again within a heartbeat of the store's return. */
const REWRITTEN_AFTER_MILLISECONDS = 600;
/** From the store's return to the report that a replica leaves: the store is stable, all are in touch. */
const UNTIL_DRAIN_MILLISECONDS = CONTACT_MILLISECONDS + 2000;
const AFTER_DRAIN_MILLISECONDS = 12_000;
const REQUEST_INTERVAL_MILLISECONDS = 20;
const DEADLINE_MILLISECONDS = 2500;

const store = new DrillStore();

async function run({ deployment, record, hasTrouble, atEnd }: CaseContext): Promise<Verdict> {
  const ports = await findFreePorts(FIRST_REPLICAS + ADDED_REPLICAS);
  const runs: Run[] = [];
  const replicas = ports.map(
    (port, index) =>
      new Replica({
        id: `i-${index}`,
        service: CASEBOOK.name,
        port,
        zone: ZONES[index % ZONES.length] ?? '',
        store,
        slots: 6,
        workMilliseconds: 30,
        onRun: (started) => runs.push(started),
      }),
  );
  replicas.forEach((replica) => atEnd(() => replica.crash()));
  for (const replica of replicas.slice(0, FIRST_REPLICAS)) await replica.start();
  await deployment.startInstances();

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
  await sleep(3000);

  const copy = store.copy();
  record.add(`the store makes a copy, revision ${copy.revision}`);
  const added = replicas.slice(FIRST_REPLICAS);
  for (const [step, milliseconds] of COLD_MILLISECONDS.entries()) {
    for (const replica of added) {
      replica.coldLeftMilliseconds = milliseconds;
      if (step === 0) await replica.start();
      else replica.register();
    }
    await sleep(COLD_STEP_MILLISECONDS);
  }
  record.add(`${ADDED_REPLICAS} replica has been added, revision ${store.revision}`);
  if (hasTrouble) {
    store.goAway();
    record.add('the store goes away');
    await sleep(AWAY_MILLISECONDS);
    store.comeBack(copy);
    record.add(`the store is back from its copy, revision ${store.revision}`);
  }
  const backAt = performance.now();
  await sleep(REWRITTEN_AFTER_MILLISECONDS);
  replicas.forEach((replica) => replica.register());
  record.add(`the replicas have written their entries again, revision ${store.revision}`);
  await sleep(UNTIL_DRAIN_MILLISECONDS - REWRITTEN_AFTER_MILLISECONDS);

  const [leaving] = replicas;
  if (!leaving) throw new Error('There is no replica to leave.');
  leaving.drain();
  const acknowledgedAt = performance.now();
  record.add(`the store acknowledges that ${leaving.id} is draining, revision ${store.revision}`);
  await sleep(AFTER_DRAIN_MILLISECONDS);
  isSending = false;
  await sending;
  await Promise.all(sent);

  const atLeaving = runs.filter(({ replicaId }) => replicaId === leaving.id);
  const late = atLeaving.filter(
    ({ requestId, at }) =>
      at > acknowledgedAt + DRAIN_MILLISECONDS &&
      (sentAt.get(requestId) ?? 0) > backAt + CONTACT_MILLISECONDS,
  );
  late.forEach(({ requestId, at }) =>
    record.add(
      `${requestId} reached ${leaving.id} ${Math.round(at - acknowledgedAt)} ms after the acknowledgement`,
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
  folder: '5',
  options: { zones: ZONES, store },
  run,
});
