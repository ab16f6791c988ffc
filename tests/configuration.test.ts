/** Accepted changes come into force everywhere within seconds and never go back. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import type { Branch } from '../src/configuration/branch.js';
import { fetchResponse } from '../src/common/http-client.js';
import { readJson, waitFor, type DaemonProcess } from '../tools/daemon-group.js';
import { startFleet, type Fleet } from '../tools/fleet.js';
import { checkHistory, type RevisionSighting } from '../tools/history.js';
import { createRandom } from '../tools/random.js';

const PLACES = ['dc-a', 'dc-a', 'dc-b', 'dc-b', 'dc-c'].map((dataCentre) => ({ dataCentre }));
const IN_FORCE_MILLISECONDS = 2000;

async function startInstances(context: TestContext): Promise<Fleet> {
  const fleet = await startFleet({ instances: PLACES });
  context.after(() => fleet.stop());
  return fleet;
}

function readTeam(daemon: DaemonProcess, team: string): Promise<Branch | undefined> {
  return readJson<Branch>(daemon.operator, `/v1/configuration/${team}`);
}

interface ChangeAnswer {
  readonly id: string;
  readonly path: string;
  readonly value: number;
  readonly result: string;
  readonly revision: number;
}

let changeCount = 0;

async function change(
  daemon: DaemonProcess,
  team: string,
  account: string,
  value: number,
): Promise<ChangeAnswer> {
  changeCount += 1;
  const id = `change-${changeCount}`;
  const path = ['accounts', account, 'requestsPerSecond'];
  const baseRevision = (await readTeam(daemon, team))?.revision ?? 0;
  const body = JSON.stringify({ id, baseRevision, author: daemon.name, edits: [{ path, value }] });
  const described = { id, path: path.join('/'), value };
  try {
    const answer = await fetchResponse({
      address: daemon.operator,
      method: 'POST',
      path: `/v1/configuration/${team}/changes`,
      body,
      timeoutMilliseconds: 10_000,
    });
    const { result = 'refused', revision = 0 } = JSON.parse(answer.body.toString());
    return { ...described, result, revision };
  } catch {
    return { ...described, result: 'broken', revision: 0 };
  }
}

/** Looks at every instance's revisions until told to stop. */
async function sight(
  fleet: Fleet,
  teams: readonly string[],
  isOver: () => boolean,
): Promise<RevisionSighting[]> {
  const revisions: RevisionSighting[] = [];
  while (!isOver()) {
    for (const daemon of fleet.daemons) {
      for (const team of teams) {
        const branch = await readTeam(daemon, team);
        if (branch) revisions.push({ instance: daemon.name, team, revision: branch.revision });
      }
    }
    await sleep(20);
  }
  return revisions;
}

/** Every accepted change is in the stored history, and no refused one. */
function checkAccepted(fleet: Fleet, team: string, answers: readonly ChangeAnswer[]): void {
  const states = fleet.objectApi.historyOf(`configuration/${team}`) as Branch[];
  const stored = new Map<string, Set<number>>();
  states
    .flatMap((branch) => branch.recentChanges)
    .forEach(({ id, revision }) => {
      stored.set(id, (stored.get(id) ?? new Set()).add(revision));
    });
  stored.forEach((revisions, id) => assert.equal(revisions.size, 1, `${id} was applied twice`));
  answers.forEach(({ id, result }) => {
    if (result === 'accepted') assert.ok(stored.has(id), `${id} was accepted and is lost`);
    if (result === 'refused' || result === 'unavailable') {
      assert.ok(!stored.has(id), `${id} was ${result} and is there`);
    }
  });
}

async function checkInForce(fleet: Fleet, team: string): Promise<void> {
  const stored = fleet.objectApi.peek(`configuration/${team}`) as Branch;
  await Promise.all(
    fleet.daemons.map((daemon) =>
      waitFor(
        `${daemon.name} has revision ${stored.revision} of ${team}`,
        async () => (await readTeam(daemon, team))?.revision === stored.revision,
        IN_FORCE_MILLISECONDS,
      ),
    ),
  );
}

test('configuration: operators race over the same and different fields of one branch and of many', async (context) => {
  const fleet = await startInstances(context);
  const teams = ['north', 'south'];
  let isOver = false;
  const sighting = sight(fleet, teams, () => isOver);
  const answers = new Map<string, ChangeAnswer[]>(teams.map((team) => [team, []]));
  const operate = async (operator: number): Promise<void> => {
    const daemon = fleet.daemons[operator % fleet.daemons.length] as DaemonProcess;
    for (let count = 0; count < 8; count += 1) {
      const team = teams[(operator + count) % 2] as string;
      const account = count % 3 === 0 ? 'shared' : `account-${operator}`;
      answers.get(team)?.push(await change(daemon, team, account, operator * 100 + count + 1));
    }
  };
  fleet.objectApi.faults.loseWriteAnswers = 5;
  await Promise.all(Array.from({ length: 8 }, (_, index) => operate(index)));
  for (const team of teams) {
    checkAccepted(fleet, team, answers.get(team) ?? []);
    await checkInForce(fleet, team);
  }
  isOver = true;
  const all = [...answers.values()].flat();
  assert.ok(all.filter(({ result }) => result === 'accepted').length > all.length / 2);
  assert.deepEqual(
    checkHistory({ submissions: [], executions: [], revisions: await sighting }),
    [],
  );
});

test('configuration: the platform goes away, loses answers, returns older copies and older state', async (context) => {
  const fleet = await startInstances(context);
  const { first, objectApi } = fleet;
  let isOver = false;
  const sighting = sight(fleet, ['planning'], () => isOver);
  const oldVersion = objectApi.version();
  const accepted = await change(first, 'planning', 'planner', 10);
  assert.equal(accepted.result, 'accepted');
  objectApi.faults.staleVersion = oldVersion;
  await sleep(600);
  objectApi.faults.outage = true;
  const refused = await change(first, 'planning', 'planner', 11);
  assert.equal(refused.result, 'unavailable');
  const late = await fleet.addDaemon({ dataCentre: 'dc-c' });
  await waitFor('a new instance has its configuration from peers', async () => {
    const branch = await readTeam(late, 'planning');
    return branch?.revision === accepted.revision;
  });
  objectApi.faults.outage = false;
  await sleep(800);
  objectApi.faults.staleVersion = 0;
  const next = await change(first, 'planning', 'planner', 12);
  assert.equal(next.result, 'accepted');
  await checkInForce(fleet, 'planning');
  isOver = true;
  checkAccepted(fleet, 'planning', [accepted, refused, next]);
  assert.deepEqual(
    checkHistory({ submissions: [], executions: [], revisions: await sighting }),
    [],
  );
});

test('configuration: a platform that lost accepted changes for good gets them back', async (context) => {
  const fleet = await startInstances(context);
  const { first, objectApi } = fleet;
  const accepted = await change(first, 'planning', 'planner', 10);
  objectApi.rollBack('configuration/planning');
  assert.equal(
    (objectApi.peek('configuration/planning') as Branch).revision,
    accepted.revision - 1,
  );
  objectApi.faults.outage = true;
  await sleep(300);
  objectApi.faults.outage = false;
  await waitFor('the accepted change is stored again', () => {
    const stored = objectApi.peek('configuration/planning') as Branch;
    return stored.recentChanges.some(({ id }) => id === accepted.id);
  });
  await checkInForce(fleet, 'planning');
});

test('configuration: instances freeze, die and come while operators change it, from a seed', async (context) => {
  const fleet = await startInstances(context);
  const random = createRandom(Number(process.env.SEED ?? 23));
  const [first, ...others] = fleet.daemons as [DaemonProcess, ...DaemonProcess[]];
  let isOver = false;
  const answers: ChangeAnswer[] = [];
  const operate = async (): Promise<void> => {
    for (let value = 1; value <= 30; value += 1) {
      answers.push(await change(first, 'planning', random.pick(['planner', 'dealer']), value));
      await sleep(100);
    }
    isOver = true;
  };
  const causeFaults = async (): Promise<void> => {
    while (!isOver) {
      const daemon = random.pick(others);
      if (random.next() < 0.5) {
        daemon.child().kill('SIGSTOP');
        await sleep(700);
        daemon.child().kill('SIGCONT');
      } else {
        daemon.child().kill('SIGKILL');
        await sleep(200);
        daemon.launch();
      }
      await sleep(200);
    }
  };
  await Promise.all([operate(), causeFaults()]);
  await fleet.waitReady();
  await checkInForce(fleet, 'planning');
  checkAccepted(fleet, 'planning', answers);
  assert.ok(answers.every(({ result }) => result === 'accepted'));
});
