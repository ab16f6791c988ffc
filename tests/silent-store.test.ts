/** Tests that what an instance follows in the store stays up to date when connections to the store go silent. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import {
  PLATFORM_CONFIGURATION,
  PlatformGroup,
  sendRequest,
  type PlatformInstance,
} from '../tools/platform-group.js';
import { SilencingProxy, type SilentDirection } from '../tools/silencing-proxy.js';
import type { PlatformServer } from '../tools/stand-ins/platform-server.js';

/** From when an instance counts as undisturbed again, and what was acknowledged earlier must be known to it. */
const CONTACT_MILLISECONDS = 3000;
/** By then the watches wait, and the servers' has just begun. */
const UNTIL_SILENCE_MILLISECONDS = 1500;
const POLL_MILLISECONDS = 20;
const WATCH_MILLISECONDS = 10_000;
/** A watch that waits may still answer when only what is sent to the store vanishes; the next one doesn't. */
const BETWEEN_CHANGES_MILLISECONDS = 500;

interface SilentStore {
  readonly group: PlatformGroup;
  readonly proxy: SilencingProxy;
  readonly instance: PlatformInstance;
  readonly server: PlatformServer;
}

async function startBehindProxy(context: TestContext): Promise<SilentStore> {
  const proxy = new SilencingProxy();
  context.after(() => proxy.close());
  const group = new PlatformGroup({ storePortOf: (port) => proxy.listen(port) });
  context.after(() => group.stop());
  await group.start();
  const server = await group.addServer({ id: 'case-0', service: 'casebook' });
  const instance = await group.addReadyInstance('entry-0');
  return { group, proxy, instance, server };
}

async function readDocument(instance: PlatformInstance, path: string): Promise<unknown> {
  const { body } = await sendRequest({ port: instance.ports.control, path });
  return JSON.parse(body);
}

async function knowsLeaving(instance: PlatformInstance): Promise<boolean> {
  const document = await readDocument(instance, '/v1/backends');
  return (document as { backends: { state: string }[] }).backends[0]?.state === 'leaving';
}

async function knowsVersion(instance: PlatformInstance, version: number): Promise<boolean> {
  const document = await readDocument(instance, '/v1/status');
  return (document as { configurationVersion: number }).configurationVersion === version;
}

/** What an instance follows in the store. */
const FOLLOWED: Record<
  string,
  {
    readonly kind: string;
    /** Ends the watch that waits, if its answer arrives. */
    readonly changeBefore: (store: SilentStore) => void;
    readonly change: (store: SilentStore) => void;
    readonly isKnown: (store: SilentStore) => Promise<boolean>;
  }
> = {
  servers: {
    kind: 'servers',
    changeBefore: ({ group }) => group.store.put('servers', 'unreadable', {}),
    change: ({ server }) => server.register('draining'),
    isKnown: ({ instance }) => knowsLeaving(instance),
  },
  configuration: {
    kind: 'config',
    changeBefore: ({ group }) =>
      group.store.put('config', 'main', { ...PLATFORM_CONFIGURATION, version: 2 }),
    change: ({ group }) =>
      group.store.put('config', 'main', { ...PLATFORM_CONFIGURATION, version: 3 }),
    isKnown: ({ instance }) => knowsVersion(instance, 3),
  },
};
const DIRECTIONS: readonly SilentDirection[] = ['toServer', 'fromServer'];
const SILENCED = ['all connections', 'its connection'] as const;

/** Measures how long after the silence a change is known; gives up after the longest wait of a watch. */
async function measure(
  store: SilentStore,
  { changeBefore, change, isKnown }: (typeof FOLLOWED)[string],
): Promise<number> {
  const silencedAt = performance.now();
  changeBefore(store);
  await sleep(BETWEEN_CHANGES_MILLISECONDS);
  change(store);
  while (performance.now() - silencedAt < WATCH_MILLISECONDS) {
    if (await isKnown(store)) break;
    await sleep(POLL_MILLISECONDS);
  }
  return Math.round(performance.now() - silencedAt);
}

const CASES = Object.entries(FOLLOWED).flatMap(([name, followed]) =>
  DIRECTIONS.flatMap((direction) =>
    SILENCED.map((silenced) => ({ name, followed, direction, silenced })),
  ),
);

// The watch of the servers was renewed over a kept connection that was silent too, and waited 10.7 s; where
// only its own connection went silent, nothing renewed it.
for (const { name, followed, direction, silenced } of CASES) {
  test(`silent store: ${name}, when ${silenced} went silent ${direction}, are as in the store once the instance is in touch`, async (context) => {
    const store = await startBehindProxy(context);
    await sleep(UNTIL_SILENCE_MILLISECONDS);
    const count = store.proxy.silence(
      direction,
      (line) => silenced === 'all connections' || line.includes(`/objects/${followed.kind}?`),
    );
    assert.ok(count > 0, 'no connection was open');
    const milliseconds = await measure(store, followed);
    context.diagnostic(`known after ${milliseconds} ms, ${count} connections silent`);
    assert.ok(milliseconds < CONTACT_MILLISECONDS, `known after ${milliseconds} ms`);
  });
}

// Nothing told operators that an instance served by what the store had confirmed long ago.
test('silent store: status and metrics tell how long ago the store confirmed servers and configuration', async (context) => {
  const { instance, group } = await startBehindProxy(context);
  group.store.faults.neverAnswers = true;
  await sleep(UNTIL_SILENCE_MILLISECONDS);
  const status = (await readDocument(instance, '/v1/status')) as Record<string, number>;
  const metrics = await sendRequest({ port: instance.ports.ready, path: '/metrics' });
  for (const [field, name] of [
    ['serversAgeMilliseconds', 'servers_age_milliseconds'],
    ['configurationAgeMilliseconds', 'configuration_age_milliseconds'],
  ] as const) {
    assert.ok((status[field] ?? 0) >= UNTIL_SILENCE_MILLISECONDS / 2, `${field} ${status[field]}`);
    const age = new RegExp(`name="${name}"[^}]*} (\\d+)`).exec(metrics.body)?.[1];
    assert.ok(Number(age) >= (status[field] ?? 0), `${name} ${age}`);
  }
});
