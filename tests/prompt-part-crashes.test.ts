/**
 * Tests that requests which share one part of their prompts, and end each engine that begins to write an
 * answer on it, end few engines, and that requests which share other parts with them are served.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { test } from 'node:test';
import { sleep } from '../src/common/clock.js';
import {
  relaunchInstance,
  sendRequest,
  waitUntil,
  type PlatformGroup,
} from '../tools/platform-group.js';
import { getFirstInstance, sendCallerRequest, startGroup } from '../tools/serving-group.js';

/** As in the settings of the instances. */
const CONTACT_MILLISECONDS = 3000;
/** From the stated target: requests with the part that may reach engines later than that. */
const MAXIMUM_LATER_RUNS = 3;
const ENDS_UNTIL_KNOWN = 5;
/** From the stated target: fewer sound requests are not compared. */
const SOUND_REQUESTS_TO_COMPARE = 20;
/** A single trial with the part may end an engine at any time, so that it takes more turns then. */
const MINIMUM_TURNS = 70;
const MAXIMUM_TURNS = 200;
const GUILTY_PART = 'bad0';
const SHARED_PART = 'aa00';

let partCount = 0;

function createPrefix(part: string): string {
  partCount += 1;
  return `${SHARED_PART}:40,${part}:20,${partCount.toString(16)}:100`;
}

async function sendStream(
  group: PlatformGroup,
  turn: number,
  part: string,
): Promise<{ readonly at: number; readonly status: number }> {
  const instance = group.instances[turn % group.instances.length] ?? getFirstInstance(group);
  const at = performance.now();
  const { status } = await sendCallerRequest(instance, `/drafts/${turn}`, {
    body: `request ${turn}`,
    headers: { 'prompt-prefix': createPrefix(part) },
  });
  return { at, status };
}

async function startCrashingGroup(
  context: Parameters<typeof startGroup>[0],
): Promise<PlatformGroup> {
  const group = await startGroup(context, { engines: 9, instances: 3 });
  group.servers.forEach(({ faults }) => {
    faults.crashingPromptPart = GUILTY_PART;
    faults.readingMilliseconds = 60;
    faults.restartMilliseconds = 1000;
  });
  return group;
}

/** When the engines ended, in order. */
function listEnds(group: PlatformGroup): number[] {
  return group.servers.flatMap(({ crashes }) => crashes).sort((one, two) => one - two);
}

/** From when sound requests have to be served: some time after the fifth end, or after the last of fewer. */
function findSettledAt(group: PlatformGroup): number {
  const ends = listEnds(group);
  const knownEnd = ends[ENDS_UNTIL_KNOWN - 1] ?? ends.at(-1) ?? Number.POSITIVE_INFINITY;
  return knownEnd + 2 * CONTACT_MILLISECONDS;
}

/** The runs with the part that came later than allowed. */
function countLaterRuns(group: PlatformGroup): number {
  const fifthEnd = listEnds(group)[ENDS_UNTIL_KNOWN - 1] ?? Number.POSITIVE_INFINITY;
  return group.servers
    .flatMap(({ runs }) => runs)
    .filter(({ promptPrefix }) => promptPrefix?.includes(GUILTY_PART))
    .filter(({ arrivedAt }) => arrivedAt > fifthEnd + CONTACT_MILLISECONDS).length;
}

// Ends were counted by the content of the whole request, so no two of these added up.
test('prompt part that ends engines: requests with it, no two alike, stop reaching engines, and sound ones are served', async (context) => {
  const group = await startCrashingGroup(context);
  const sound: { readonly at: number; readonly status: number }[] = [];
  const listSettled = (): typeof sound => sound.filter(({ at }) => at > findSettledAt(group));
  const isShown = (turn: number): boolean =>
    turn >= MINIMUM_TURNS && listSettled().length >= SOUND_REQUESTS_TO_COMPARE;
  for (let turn = 0; turn < MAXIMUM_TURNS && !isShown(turn); turn += 1) {
    const guilty = sendStream(group, turn, GUILTY_PART);
    sound.push(await sendStream(group, turn + 1, 'cc00'));
    await guilty;
    await sleep(200);
  }
  const later = countLaterRuns(group);
  assert.ok(later <= MAXIMUM_LATER_RUNS, `${later} later runs`);
  const after = listSettled();
  const served = after.filter(({ status }) => status === 200).length;
  assert.ok(after.length >= SOUND_REQUESTS_TO_COMPARE, `${after.length} sound requests`);
  assert.ok(served > after.length / 2, `${served} of ${after.length} served`);
});

// What is known of a part was lost with the processes that knew it.
test('prompt part that ends engines: it is still known after all instances were killed', async (context) => {
  const group = await startCrashingGroup(context);
  for (let turn = 0; turn < 15; turn += 1) {
    await sendStream(group, turn, GUILTY_PART);
    await sleep(300);
  }
  const endsBefore = group.servers.reduce((sum, { crashCount }) => sum + crashCount, 0);
  await Promise.all(
    group.instances.map(async (instance) => {
      instance.process.kill('SIGKILL');
      await once(instance.process, 'exit');
      relaunchInstance(instance);
    }),
  );
  await Promise.all(
    group.instances.map(({ name, ports }) =>
      waitUntil(
        async () => (await sendRequest({ port: ports.ready, path: '/ready' })).status === 200,
        `${name} is ready again`,
      ),
    ),
  );
  await sleep(CONTACT_MILLISECONDS);
  for (let round = 0; round < 5; round += 1) {
    const turns = [0, 1, 2].map((turn) => 3 * round + turn);
    await Promise.all(turns.map((turn) => sendStream(group, turn, GUILTY_PART)));
    await sleep(300);
  }
  const endsAfter = group.servers.reduce((sum, { crashCount }) => sum + crashCount, 0);
  assert.ok(endsAfter - endsBefore <= MAXIMUM_LATER_RUNS, `${endsAfter - endsBefore} further ends`);
});

// Each retry took the part to one more engine.
test('prompt part that ends engines: one request with it ends no more than two', async (context) => {
  const group = await startCrashingGroup(context);
  await sendStream(group, 0, GUILTY_PART);
  await sleep(300);
  const ends = group.servers.reduce((sum, { crashCount }) => sum + crashCount, 0);
  assert.ok(ends >= 1 && ends <= 2, `${ends} engines ended`);
});
