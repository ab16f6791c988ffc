/** Tests that what a newer configuration allows is neither denied nor missed beyond the bound. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sleep } from '../src/common/clock.js';
import { PLATFORM_CONFIGURATION } from '../tools/platform-group.js';
import { sendCallerRequest, startGroup } from '../tools/serving-group.js';

/** `config-ms` of the small sites, which the settings of these instances name. */
const CHANGE_BOUND_MILLISECONDS = 2000;

const [, , LOOKUPS] = PLATFORM_CONFIGURATION.routes;
const ADDED = { ...LOOKUPS, name: 'added', 'path-prefix': '/added/' };

// An instance denied on evidence of 4.5 s, a peer's word on evidence of up to 9.5 s.
test('late configuration: a route is not denied once it may have been added longer ago than the bound', async (context) => {
  const group = await startGroup(context, { instances: 3 });
  await sleep(1000);
  group.store.faults.neverAnswers = true;
  group.store.put('config', 'main', {
    ...PLATFORM_CONFIGURATION,
    version: 2,
    routes: [...PLATFORM_CONFIGURATION.routes, ADDED],
  });
  await sleep(CHANGE_BOUND_MILLISECONDS);
  for (let turn = 0; turn < 4; turn += 1) {
    const answers = await Promise.all(
      group.instances.map((instance) => sendCallerRequest(instance, '/added/1', { method: 'GET' })),
    );
    answers.forEach(({ status }) => assert.equal(status, 503));
    await sleep(500);
  }
});
