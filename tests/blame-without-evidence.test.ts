/** Tests that content is not blocked for failures of servers that live on. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '../src/common/clock.js';
import { getFirstInstance, sendCallerRequest, startGroup } from '../tools/serving-group.js';

// Each lost answer counted as the end of its server, though the server went on.
test('blame without evidence: a call is served again after three servers that live on have lost its answer', async (context) => {
  const group = await startGroup(context, { plainServers: 4 });
  const setFault = (isOn: boolean): void =>
    group.servers.forEach(({ faults }) => {
      faults.closesWithoutAnswer = isOn;
    });
  setFault(true);
  for (let call = 0; call < 4; call += 1) {
    await sendCallerRequest(getFirstInstance(group), '/lookups/1', { body: 'same' });
    await sleep(300);
  }
  setFault(false);
  // Servers that failed are tried again once a health check passes.
  await sleep(2500);
  const answer = await sendCallerRequest(getFirstInstance(group), '/lookups/1', { body: 'same' });
  assert.equal(answer.status, 200, answer.body);
});

// A stream whose connection broke before the head of its answer counted without a look at its engine.
test('blame without evidence: a stream is served again after four engines that live on have broken it off', async (context) => {
  const group = await startGroup(context, { engines: 8 });
  const setFault = (isOn: boolean): void =>
    group.servers.forEach(({ faults }) => {
      faults.closesWithoutAnswer = isOn;
    });
  setFault(true);
  for (let stream = 0; stream < 4; stream += 1) {
    await sendCallerRequest(getFirstInstance(group), '/drafts/1', { body: 'same' });
    await sleep(300);
  }
  setFault(false);
  await sleep(2500);
  const answer = await sendCallerRequest(getFirstInstance(group), '/drafts/1', { body: 'same' });
  assert.equal(answer.status, 200, answer.body);
});
