/** Tests odd entries in the list of servers, as another writer may leave them: they name no server to use. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PlatformGroup, type PlatformInstance } from '../tools/platform-group.js';
import { sendCallerRequest } from '../tools/serving-group.js';

const REQUESTS = 20;

async function isServed(instance: PlatformInstance, path: string): Promise<boolean> {
  return (await sendCallerRequest(instance, path)).status === 200;
}

function assertNoneEnded({ instances }: PlatformGroup): void {
  instances.forEach(({ name, process: child, log }) =>
    assert.deepEqual([child.exitCode, child.signalCode], [null, null], `${name} ${log.join('')}`),
  );
}

// The loads of servers were summed by id in a plain object, which has such members from the start.
test('odd entries: instances go on beside servers named like the members of an object', async (context) => {
  const group = new PlatformGroup();
  context.after(() => group.stop());
  await group.start();
  const ids = ['constructor', '__proto__', 'toString', 'hasOwnProperty'];
  for (const id of ids) await group.addServer({ id, service: 'casebook' });
  await group.addReadyInstance('entry-0');
  await group.addReadyInstance('entry-1');
  group.servers.forEach(({ faults }) => Object.assign(faults, { callMilliseconds: 300 }));
  for (let count = 0; count < REQUESTS; count += 1) {
    const calls = group.instances.flatMap((instance) =>
      ids.map(() => isServed(instance, '/lookups/1')),
    );
    assert.ok((await Promise.all(calls)).every(Boolean));
  }
  assertNoneEnded(group);
});
