/** Tests that instances leave room for requests of the more urgent routes of a service. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  PLATFORM_CONFIGURATION,
  sendRequest,
  waitUntil,
  type PlatformGroup,
} from '../tools/platform-group.js';
import { getFirstInstance, sendCallerRequest, startGroup } from '../tools/serving-group.js';

/** Adds a less urgent route to the service of the streams. */
async function addReportsRoute(group: PlatformGroup): Promise<void> {
  const [drafts] = PLATFORM_CONFIGURATION.routes;
  const reports = { ...drafts, name: 'reports', 'path-prefix': '/reports/', priority: 4 };
  const routes = [...PLATFORM_CONFIGURATION.routes, reports];
  group.store.put('config', 'main', { ...PLATFORM_CONFIGURATION, version: 2, routes });
  const { ports } = getFirstInstance(group);
  await waitUntil(async () => {
    const { body } = await sendRequest({ port: ports.control, path: '/v1/configuration' });
    return body.includes('"version":2');
  }, 'version 2 is in force');
}

// A burst of the least urgent route took all slots, and urgent streams were refused or late.
test('admission: a burst of the less urgent route is refused in part, urgent streams are served', async (context) => {
  const group = await startGroup(context, { engines: 2, pauseMilliseconds: 100 });
  await addReportsRoute(group);
  const instance = getFirstInstance(group);
  const burst = Array.from({ length: 60 }, (_, index) =>
    sendCallerRequest(instance, `/reports/${index}`),
  );
  await waitUntil(
    () => instance.log.join('').includes('reserved_for_priority'),
    'the burst meets its limit',
  );
  const urgent = await Promise.all(
    ['/drafts/1', '/drafts/2', '/drafts/3'].map((path) => sendCallerRequest(instance, path)),
  );
  assert.deepEqual(
    urgent.map(({ status }) => status),
    [200, 200, 200],
  );
  const answers = await Promise.all(burst);
  const refused = answers.filter(({ status }) => status === 503);
  assert.equal(answers.filter(({ status }) => status === 200).length, 60 - refused.length);
  assert.ok(refused.length > 0 && refused.length < 60, `${refused.length}`);
  refused.forEach(({ headers, body }) => {
    assert.ok(Number(headers['retry-after']) > 0);
    assert.match(body, /reserved_for_priority/);
  });
  const runs = group.servers.reduce((sum, server) => sum + server.runs.length, 0);
  assert.equal(runs, 60 - refused.length + urgent.length);
  const later = await sendCallerRequest(instance, '/reports/later');
  assert.equal(later.status, 200);
});
