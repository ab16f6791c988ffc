/** Tests sound servers that fall silent for a while and go on: what they run is neither ended nor run again. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import type { PlatformGroup, ReceivedResponse } from '../tools/platform-group.js';
import {
  getFirstInstance,
  readEventIds,
  sendCallerRequest,
  startGroup,
} from '../tools/serving-group.js';
import type { ServerFaults } from '../tools/stand-ins/server-faults.js';

const ALL_EVENTS = [1, 2, 3, 4, 5, 6, 7, 8];

function setFaults(group: PlatformGroup, faults: Partial<ServerFaults>): void {
  group.servers.forEach((server) => Object.assign(server.faults, faults));
}

function countRuns(group: PlatformGroup): number {
  return group.servers.reduce((sum, { runs }) => sum + runs.length, 0);
}

/** Starts a slow stream, and applies faults to all servers while it runs, one set after the other. */
async function streamThrough(
  context: TestContext,
  options: {
    readonly engines: number;
    readonly silenceMilliseconds: number;
    readonly during: Partial<ServerFaults>;
    readonly after: Partial<ServerFaults>;
  },
): Promise<{ readonly group: PlatformGroup; readonly answer: ReceivedResponse }> {
  const { engines, silenceMilliseconds, during, after } = options;
  const group = await startGroup(context, { engines, pauseMilliseconds: 400 });
  const answer = sendCallerRequest(getFirstInstance(group), '/drafts/1', {
    headers: { 'deadline-ms': '15000' },
  });
  await sleep(500);
  setFaults(group, during);
  await sleep(silenceMilliseconds);
  setFaults(group, after);
  return { group, answer: await answer };
}

const SILENCES = [
  { engines: 2, silenceMilliseconds: 500 },
  { engines: 4, silenceMilliseconds: 500 },
  { engines: 4, silenceMilliseconds: 1000 },
];

SILENCES.forEach(({ engines, silenceMilliseconds }) => {
  const label = `${engines} engines, ${silenceMilliseconds} ms`;

  // Reports stayed out, the stream was ended, and no engine had room for another run.
  test(`silent servers: a stream goes on whose engines answer no report and are then full (${label})`, async (context) => {
    const { group, answer } = await streamThrough(context, {
      engines,
      silenceMilliseconds,
      during: { neverAnswers: true },
      after: { neverAnswers: false, refusesAll: true },
    });
    assert.equal(answer.status, 200);
    assert.deepEqual(readEventIds(answer), ALL_EVENTS);
    assert.equal(countRuns(group), 1);
  });

  test(`silent servers: a stream goes on whose engines all pause (${label})`, async (context) => {
    const { group, answer } = await streamThrough(context, {
      engines,
      silenceMilliseconds,
      during: { isSilent: true },
      after: { isSilent: false },
    });
    assert.equal(answer.status, 200);
    assert.deepEqual(readEventIds(answer), ALL_EVENTS);
    assert.equal(countRuns(group), 1);
  });
});

[1, 2].forEach((plainServers) => {
  // The attempt was ended when it took longer than expected, though no server had room for another one.
  test(`silent servers: a slow call is answered where no server takes another attempt (${plainServers} servers)`, async (context) => {
    const group = await startGroup(context, { plainServers });
    for (let call = 0; call < 20; call += 1)
      await sendCallerRequest(getFirstInstance(group), '/lookups/1', { body: `call ${call}` });
    const earlierRuns = countRuns(group);
    setFaults(group, { callMilliseconds: 600 });
    const answer = sendCallerRequest(getFirstInstance(group), '/lookups/1', { body: 'slow' });
    await sleep(80);
    setFaults(group, { refusesAll: true });
    assert.equal((await answer).status, 200);
    assert.equal(countRuns(group), earlierRuns + 1);
  });
});
