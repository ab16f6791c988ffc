/**
 * An engine crashes and is back at its address under a new id, while its old entry has not lapsed. An
 * instance that starts then takes the new engine for ended. Answers of engines are lost: requests run on
 * more engines than `max-attempts` allows.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { findFreePorts } from '../../tools/ports.js';
import { send } from '../common/client.js';
import { createConfiguration, Deployment, DRAFTER } from '../common/deployment.js';
import { Replica, type ReplicaOptions } from '../common/replica.js';
import { runCase, type CaseContext, type Verdict } from '../common/run-case.js';

const ZONES = ['lj-a', 'lj-b', 'kr-c'];
const ENGINES = 5;
/** An entry is removed after three heartbeats of silence. */
const LAPSE_MILLISECONDS = 3600;
const DOWN_MILLISECONDS = 2000;
/** `answer_lost`: the users' days have it with share 0.6 and x 0.4 for 4 s, or x 0.3 for 6 s. */
const LOSING_ENGINES = 3;
const LOST_SHARE = 0.4;
const EPISODES = 3;
const EPISODE_MILLISECONDS = 4000;
const PAUSE_MILLISECONDS = 6000;
const REQUEST_INTERVAL_MILLISECONDS = 25;
const DEADLINE_MILLISECONDS = 20_000;
const MAXIMUM_ATTEMPTS = 2;
/** The rule allows so many requests. */
const ALLOWED = 3;

async function run({ deployment, record, hasTrouble, atEnd }: CaseContext): Promise<Verdict> {
  const ports = await findFreePorts(ENGINES);
  const runs = new Map<string, Set<string>>();
  const createEngine = (id: string, port: number, zone: string): Replica => {
    const options: ReplicaOptions = {
      id,
      service: DRAFTER.name,
      port,
      zone,
      kind: 'a100s',
      store: deployment.store,
      slots: 134,
      workMilliseconds: 20,
      onRun: ({ requestId, replicaId }) =>
        runs.set(requestId, (runs.get(requestId) ?? new Set()).add(replicaId)),
    };
    return new Replica(options);
  };
  // Each start has a new id; here the later id sorts first, as one of two random ids does.
  const ids = ['i-7f3a91c2', 'i-8d0c1a55', 'i-91be7703', 'i-a46f20d8', 'i-c5e9b614'];
  const engines = ids.map((id, index) => createEngine(id, ports[index] ?? 0, 'lj-a'));
  for (const engine of engines) {
    await engine.start();
    atEnd(() => engine.crash());
  }
  await deployment.startInstances();
  await sleep(1500);

  const [crashing] = engines;
  if (!crashing) throw new Error('There is no engine to crash.');
  let newest = crashing;
  // As a control, the losses may come without the crash.
  if (hasTrouble && process.env.TROUBLE !== 'losses') {
    await crashing.crash();
    record.add(`${crashing.id} crashes`);
    setTimeout(() => {
      deployment.store.remove('servers', crashing.id);
      record.add(`the entry of ${crashing.id} has lapsed`);
    }, LAPSE_MILLISECONDS);
    await sleep(DOWN_MILLISECONDS);
    const returned = createEngine('i-2b66f0e7', ports[0] ?? 0, 'lj-a');
    newest = returned;
    await returned.start();
    atEnd(() => returned.crash());
    record.add(`${returned.id} starts at its address`);
  }
  const added = await deployment.addInstance('lj-a');
  await Deployment.waitUntilReady(added);
  record.add(`${added.name} has started`);
  await sleep(3000);
  const ended = added.log.join('').match(/.*Backend server has ended.*/g) ?? [];
  ended.forEach((line) => record.add(`${added.name} wrote: ${line}`));

  const serving = [newest, ...engines.slice(1)];
  let isEpisode = false;
  serving.slice(0, LOSING_ENGINES).forEach((engine) => {
    engine.answer = (_, response) => {
      if (!hasTrouble || !isEpisode || Math.random() >= LOST_SHARE) return false;
      response.socket?.resetAndDestroy();
      return true;
    };
  });
  const sent: Promise<void>[] = [];
  const byStatus = new Map<number, number>();
  let count = 0;
  for (let episode = 0; episode < EPISODES; episode += 1) {
    isEpisode = true;
    const until = performance.now() + EPISODE_MILLISECONDS;
    while (performance.now() < until) {
      const id = `plan-${count}`;
      count += 1;
      sent.push(
        send(added, {
          id,
          method: 'POST',
          path: `/plan/${id}`,
          body: id,
          deadlineMilliseconds: DEADLINE_MILLISECONDS,
          headers: { model: 'model', 'token-usage': '760,40' },
        }).then(({ status }) => {
          byStatus.set(status, (byStatus.get(status) ?? 0) + 1);
        }),
      );
      await sleep(REQUEST_INTERVAL_MILLISECONDS);
    }
    isEpisode = false;
    await sleep(PAUSE_MILLISECONDS);
  }
  await Promise.all(sent);
  const over = [...runs].filter(([, at]) => at.size > MAXIMUM_ATTEMPTS);
  over.forEach(([id, at]) => record.add(`${id}, sent once, ran at ${[...at].join(', ')}`));
  record.add(`answers by status: ${JSON.stringify(Object.fromEntries(byStatus))}`);
  return {
    isBroken: over.length > ALLOWED,
    summary: `${count} streams, ${over.length} ran on more than ${MAXIMUM_ATTEMPTS} engines, none of which ended`,
  };
}

await runCase({
  folder: '5',
  options: { zones: ZONES, configuration: createConfiguration(3, [DRAFTER]) },
  run,
});
