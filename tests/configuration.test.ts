/**
 * Tests that accepted configuration changes come into force on every instance within seconds, and
 * that no instance returns to an older revision.
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import type { Branch } from '../src/configuration/branch.js';
import { fetchResponse } from '../src/common/http-client.js';
import { tryFetchJson, waitFor, type DaemonProcess } from '../tools/daemon-group.js';
import { startFleet, type Fleet } from '../tools/fleet.js';
import { checkHistory, type RevisionObservation } from '../tools/history.js';
import { createRandom } from '../tools/random.js';

const LOCATIONS = ['dc-a', 'dc-a', 'dc-b', 'dc-b', 'dc-c'].map((dataCentre) => ({ dataCentre }));
/** Time within which every instance must have a stored revision in force. */
const MAXIMUM_PROPAGATION_MILLISECONDS = 2000;

async function startInstances(context: TestContext): Promise<Fleet> {
  const fleet = await startFleet({ instances: LOCATIONS });
  context.after(() => fleet.stop());
  return fleet;
}

function fetchBranch(daemon: DaemonProcess, team: string): Promise<Branch | undefined> {
  return tryFetchJson<Branch>(daemon.operatorAddress, `/v1/configuration/${team}`);
}

interface SubmittedChange {
  readonly id: string;
  readonly path: string;
  readonly value: number;
  readonly result: string;
  readonly revision: number;
}

let changeCount = 0;

async function submitChange(
  daemon: DaemonProcess,
  team: string,
  account: string,
  value: number,
): Promise<SubmittedChange> {
  changeCount += 1;
  const id = `change-${changeCount}`;
  const path = ['accounts', account, 'requestsPerSecond'];
  const baseRevision = (await fetchBranch(daemon, team))?.revision ?? 0;
  const body = JSON.stringify({ id, baseRevision, author: daemon.name, edits: [{ path, value }] });
  const request = { id, path: path.join('/'), value };
  try {
    const answer = await fetchResponse({
      address: daemon.operatorAddress,
      method: 'POST',
      path: `/v1/configuration/${team}/changes`,
      body,
      timeoutMilliseconds: 10_000,
    });
    const { result = 'refused', revision = 0 } = JSON.parse(answer.body.toString());
    return { ...request, result, revision };
  } catch {
    return { ...request, result: 'broken', revision: 0 };
  }
}

/** Records the revisions in force on every instance until `isFinished` returns true. */
async function recordRevisions(
  fleet: Fleet,
  teams: readonly string[],
  isFinished: () => boolean,
): Promise<RevisionObservation[]> {
  const revisions: RevisionObservation[] = [];
  while (!isFinished()) {
    for (const daemon of fleet.daemons) {
      for (const team of teams) {
        const branch = await fetchBranch(daemon, team);
        if (branch) revisions.push({ instance: daemon.name, team, revision: branch.revision });
      }
    }
    await sleep(20);
  }
  return revisions;
}

/** Checks that every accepted change was stored, none twice, and that no refused change was. */
function assertAcceptedChangesStored(
  fleet: Fleet,
  team: string,
  changes: readonly SubmittedChange[],
): void {
  const storedBranches = fleet.objectApi.listWrittenValues(`configuration/${team}`) as Branch[];
  const stored = new Map<string, Set<number>>();
  storedBranches
    .flatMap((branch) => branch.recentChanges)
    .forEach(({ id, revision }) => {
      stored.set(id, (stored.get(id) ?? new Set()).add(revision));
    });
  stored.forEach((revisions, id) => assert.equal(revisions.size, 1, `${id} was applied twice`));
  changes.forEach(({ id, result }) => {
    if (result === 'accepted') assert.ok(stored.has(id), `${id} was accepted but is not stored`);
    if (result === 'refused' || result === 'unavailable') {
      assert.ok(!stored.has(id), `${id} was ${result} but is stored`);
    }
  });
}

async function assertStoredRevisionInForce(fleet: Fleet, team: string): Promise<void> {
  const stored = fleet.objectApi.peek(`configuration/${team}`) as Branch;
  await Promise.all(
    fleet.daemons.map((daemon) =>
      waitFor(
        `${daemon.name} has revision ${stored.revision} of ${team}`,
        async () => (await fetchBranch(daemon, team))?.revision === stored.revision,
        MAXIMUM_PROPAGATION_MILLISECONDS,
      ),
    ),
  );
}

test('configuration: operators race to change the same and different fields of two branches while answers to writes are lost', async (context) => {
  const fleet = await startInstances(context);
  const teams = ['north', 'south'];
  let isFinished = false;
  const pendingSightings = recordRevisions(fleet, teams, () => isFinished);
  const changesByTeam = new Map<string, SubmittedChange[]>(teams.map((team) => [team, []]));
  const submitChanges = async (operator: number): Promise<void> => {
    const daemon = fleet.daemons[operator % fleet.daemons.length] as DaemonProcess;
    for (let count = 0; count < 8; count += 1) {
      const team = teams[(operator + count) % 2] as string;
      const account = count % 3 === 0 ? 'shared' : `account-${operator}`;
      changesByTeam
        .get(team)
        ?.push(await submitChange(daemon, team, account, operator * 100 + count + 1));
    }
  };
  fleet.objectApi.faults.loseWriteAnswers = 5;
  await Promise.all(Array.from({ length: 8 }, (_, index) => submitChanges(index)));
  for (const team of teams) {
    assertAcceptedChangesStored(fleet, team, changesByTeam.get(team) ?? []);
    await assertStoredRevisionInForce(fleet, team);
  }
  isFinished = true;
  const allChanges = [...changesByTeam.values()].flat();
  assert.ok(
    allChanges.filter(({ result }) => result === 'accepted').length > allChanges.length / 2,
  );
  assert.deepEqual(
    checkHistory({ submissions: [], executions: [], revisions: await pendingSightings }),
    [],
  );
});

test('configuration: the object store becomes unavailable and returns older copies', async (context) => {
  const fleet = await startInstances(context);
  const { first, objectApi } = fleet;
  let isFinished = false;
  const pendingSightings = recordRevisions(fleet, ['planning'], () => isFinished);
  const oldVersion = objectApi.version();
  const accepted = await submitChange(first, 'planning', 'planner', 10);
  assert.equal(accepted.result, 'accepted');
  objectApi.faults.staleVersion = oldVersion;
  await sleep(600);
  objectApi.faults.outage = true;
  const refused = await submitChange(first, 'planning', 'planner', 11);
  assert.equal(refused.result, 'unavailable');
  const newInstance = await fleet.addDaemon({ dataCentre: 'dc-c' });
  await waitFor('a new instance has received its configuration from peers', async () => {
    const branch = await fetchBranch(newInstance, 'planning');
    return branch?.revision === accepted.revision;
  });
  objectApi.faults.outage = false;
  await sleep(800);
  objectApi.faults.staleVersion = 0;
  const next = await submitChange(first, 'planning', 'planner', 12);
  assert.equal(next.result, 'accepted');
  await assertStoredRevisionInForce(fleet, 'planning');
  isFinished = true;
  assertAcceptedChangesStored(fleet, 'planning', [accepted, refused, next]);
  assert.deepEqual(
    checkHistory({ submissions: [], executions: [], revisions: await pendingSightings }),
    [],
  );
});

test('configuration: an object store that lost accepted changes gets them back from the instances', async (context) => {
  const fleet = await startInstances(context);
  const { first, objectApi } = fleet;
  const accepted = await submitChange(first, 'planning', 'planner', 10);
  objectApi.revertLastWrite('configuration/planning');
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
  await assertStoredRevisionInForce(fleet, 'planning');
});

test('configuration: instances freeze, die and come while operators change it, from a seed', async (context) => {
  const fleet = await startInstances(context);
  const random = createRandom(Number(process.env.SEED ?? 23));
  const [first, ...others] = fleet.daemons as [DaemonProcess, ...DaemonProcess[]];
  let isFinished = false;
  const changes: SubmittedChange[] = [];
  const submitChanges = async (): Promise<void> => {
    for (let value = 1; value <= 30; value += 1) {
      changes.push(
        await submitChange(first, 'planning', random.pick(['planner', 'dealer']), value),
      );
      await sleep(100);
    }
    isFinished = true;
  };
  const injectFaults = async (): Promise<void> => {
    while (!isFinished) {
      const daemon = random.pick(others);
      if (random.next() < 0.5) {
        daemon.getProcess().kill('SIGSTOP');
        await sleep(700);
        daemon.getProcess().kill('SIGCONT');
      } else {
        daemon.getProcess().kill('SIGKILL');
        await sleep(200);
        daemon.launch();
      }
      await sleep(200);
    }
  };
  await Promise.all([submitChanges(), injectFaults()]);
  await fleet.waitUntilReady();
  await assertStoredRevisionInForce(fleet, 'planning');
  assertAcceptedChangesStored(fleet, 'planning', changes);
  assert.deepEqual(
    changes.filter(({ result }) => result !== 'accepted'),
    [],
  );
});
