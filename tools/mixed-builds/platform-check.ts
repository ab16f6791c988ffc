/**
 * Checks two builds side by side on the stand-ins of the users' platform: records, crash records,
 * the planner lease, operators' documents, metrics, settings, and a rolling replacement under load.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { sleep } from '../../src/common/clock.js';
import { findUncoveredRanges } from '../../src/layers/layer-ranges.js';
import {
  PLATFORM_PROGRAM,
  PlatformGroup,
  sendRequest,
  waitUntil,
  type PlatformInstance,
  type ReceivedResponse,
} from '../platform-group.js';
import { runProgram } from '../run-program.js';
import { report, type Replacement } from './replacement.js';

const LAYERS = 8;
const INSTANCES = 3;
const LOAD_PAUSE_MILLISECONDS = 20;
/** Time within which records reach every instance. */
const SPREAD_MILLISECONDS = 1200;
/** Servers that content may end as they begin it, before it is blocked. */
const CRASHES_ALLOWED = 2;
/** Documents that do not depend on which instance holds the lease. */
const DOCUMENTS = [
  '/v1/status',
  '/v1/members',
  '/v1/backends',
  '/v1/pipelines',
  '/v1/configuration',
  '/v1/addresses',
];

let requests = 0;

function send(instance: PlatformInstance, target: string, body = ''): Promise<ReceivedResponse> {
  requests += 1;
  const headers = {
    host: 'site.example',
    'request-id': `mixed-${requests}`,
    'deadline-ms': '4000',
    'api-key': 'key-1',
  };
  return sendRequest({ port: instance.ports.front, method: 'POST', path: target, headers, body });
}

async function serveEverywhere(group: PlatformGroup): Promise<void> {
  const running = group.instances.filter(({ process: child }) => child.exitCode === null);
  for (const instance of running) {
    for (const target of ['/drafts/1', '/bookings/1', '/lookups/1']) {
      const answer = await send(instance, target);
      assert.equal(answer.status, 200, `${instance.name} ${target}: ${answer.body}`);
    }
  }
}

async function memberCount(instance: PlatformInstance): Promise<number> {
  const answer = await sendRequest({ port: instance.ports.control, path: '/v1/members' });
  if (answer.status !== 200) return 0;
  const { members } = JSON.parse(answer.body) as { members: { state: string }[] };
  return members.filter(({ state }) => state === 'live').length;
}

function isCovered(group: PlatformGroup, withoutId?: string): boolean {
  const held = group.servers
    .filter(({ isClosed, id }) => !isClosed && id !== withoutId)
    .flatMap(({ layers }) => layers ?? []);
  return findUncoveredRanges(held, LAYERS).length === 0;
}

/** Finds an engine that alone holds some layer, so that its loss must make a planner act. */
function findNeededEngine(group: PlatformGroup): PlatformGroup['servers'][number] {
  const engine = group.servers.find(({ isClosed, id }) => !isClosed && !isCovered(group, id));
  assert.ok(engine, 'some engine alone holds a layer');
  return engine;
}

/** Sends streams and calls to instances that are not stopping, until told to end. */
function startLoad(targets: () => readonly PlatformInstance[]): () => Promise<ReceivedResponse[]> {
  const answers: Promise<ReceivedResponse>[] = [];
  let isRunning = true;
  const loop = async (): Promise<void> => {
    for (let turn = 0; isRunning; turn += 1) {
      const instances = targets();
      const instance = instances[turn % instances.length];
      const target = ['/drafts/1', '/bookings/1', '/lookups/1'][turn % 3] ?? '';
      if (instance) answers.push(send(instance, target));
      await sleep(LOAD_PAUSE_MILLISECONDS);
    }
  };
  const running = loop();
  return async () => {
    isRunning = false;
    await running;
    return Promise.all(answers);
  };
}

/** Replaces every instance while requests go on; nothing may be cut or refused. */
async function replaceInstances(group: PlatformGroup, { from, to }: Replacement): Promise<void> {
  const old = [...group.instances].slice(0, INSTANCES);
  const stopping = new Set<PlatformInstance>();
  const endLoad = startLoad(() => group.instances.filter((instance) => !stopping.has(instance)));
  for (const instance of old) {
    const next = await group.addInstance(`${instance.name}-next`, to);
    stopping.add(next);
    await waitUntil(async () => (await memberCount(next)) > INSTANCES, `${next.name} is ready`);
    stopping.delete(next);
    stopping.add(instance);
    instance.process.kill('SIGTERM');
    const late = await send(instance, '/bookings/1');
    assert.equal(late.status, 200, `${instance.name} serves while it stops`);
    await once(instance.process, 'exit');
    assert.equal(instance.process.exitCode, 0);
  }
  const answers = await endLoad();
  const failed = answers.filter(({ status }) => status !== 200);
  assert.deepEqual(
    failed.map(({ status, body }) => [status, body]),
    [],
    `every request is served while ${from} gives way to ${to}`,
  );
  report(`  rolling replacement: ${answers.length} requests, all served`);
}

/** Lists the paths of all fields in a JSON value; entries of lists and maps by id count as one. */
function listFields(value: unknown, prefix = ''): string[] {
  if (typeof value !== 'object' || value === null) return [prefix];
  if (Array.isArray(value)) return value.flatMap((item) => listFields(item, `${prefix}[]`));
  return Object.entries(value).flatMap(([key, field]) => listFields(field, `${prefix}.${key}`));
}

async function readFields({ ports }: PlatformInstance, target: string): Promise<string[]> {
  const { status, body } = await sendRequest({ port: ports.control, path: target });
  assert.equal(status, 200, target);
  return [...new Set(listFields(JSON.parse(body)))].sort();
}

/** Names of the metrics and of the gauges, without their values and the metrics of Node.js. */
async function readMetricNames({ ports }: PlatformInstance): Promise<string[]> {
  const { body } = await sendRequest({ port: ports.ready, path: '/metrics' });
  const lines = body.split('\n').filter((line) => /^(# (TYPE|HELP) )?sesamedyke_/.test(line));
  const names = lines.filter((line) => line.startsWith('#') || line.startsWith('sesamedyke_state'));
  return names.map((line) => (line.startsWith('#') ? line : line.replace(/ \S+$/, ''))).sort();
}

function listMissing(expected: readonly string[], actual: readonly string[]): string[] {
  return expected.filter((name) => !actual.includes(name));
}

/** Checks that an instance of this build shows operators all fields and metrics of the other build. */
async function compareDocuments(own: PlatformInstance, other: PlatformInstance): Promise<void> {
  for (const target of DOCUMENTS) {
    const missing = listMissing(await readFields(other, target), await readFields(own, target));
    assert.deepEqual(missing, [], target);
  }
  assert.deepEqual(listMissing(await readMetricNames(other), await readMetricNames(own)), []);
  report(`  operators: no field lost at ${DOCUMENTS.length} paths, no metric lost`);
}

/** Sends a request that crashes servers to both builds in turn; the crashes must add up. */
async function crashServers(group: PlatformGroup): Promise<void> {
  for (let index = 2; index < 8; index += 1) {
    await group.addServer({ id: `case-${index}`, service: 'casebook' });
  }
  await sleep(SPREAD_MILLISECONDS);
  const cases = group.servers.filter(({ id }) => id.startsWith('case'));
  cases.forEach(({ faults }) => {
    faults.crashingBody = 'crash';
  });
  const running = group.instances.filter(({ process: child }) => child.exitCode === null);
  for (let turn = 0; turn < 6; turn += 1) {
    const instance = running[turn % 2 === 0 ? 0 : running.length - 1];
    assert.ok(instance);
    await send(instance, '/lookups/1', 'crash');
    await sleep(SPREAD_MILLISECONDS);
  }
  assert.equal(cases.filter(({ isClosed }) => isClosed).length, CRASHES_ALLOWED);
  report(`  crash records: ${CRASHES_ALLOWED} servers lost over both builds`);
}

/**
 * Runs the checks on the users' platform.
 *
 * @param replacement - The build that runs first and the one that replaces it.
 * @throws AssertionError when the builds do not work side by side.
 */
export async function checkPlatform(replacement: Replacement): Promise<void> {
  const { name, from, to } = replacement;
  report(`platform: ${name}`);
  const group = new PlatformGroup();
  try {
    await group.start();
    for (let index = 0; index < 4; index += 1) {
      const id = `engine-${index}`;
      await group.addServer({ id, service: 'drafter', kind: 'card', pauseMilliseconds: 20 });
    }
    await group.addServer({ id: 'case-0', service: 'casebook' });
    await group.addServer({ id: 'case-1', service: 'casebook' });
    for (let index = 0; index < INSTANCES; index += 1) {
      await group.addReadyInstance(`entry-${index}`, from);
    }
    await waitUntil(() => isCovered(group), 'every layer is held');
    await sleep(SPREAD_MILLISECONDS);
    const leaseBefore = group.store.read('leases', 'planner') as { holder: string; term: number };
    const added = await group.addReadyInstance('entry-added', to);
    await waitUntil(
      async () => (await memberCount(added)) === INSTANCES + 1,
      'the added instance knows every other one',
    );
    await Promise.all(
      group.instances.map((instance) =>
        waitUntil(
          async () => (await memberCount(instance)) === INSTANCES + 1,
          `${instance.name} knows every other one`,
        ),
      ),
    );
    await serveEverywhere(group);
    report(
      `  side by side: ${group.instances.length} instances know and serve each other's records`,
    );
    const [unchanged] = group.instances;
    assert.ok(unchanged);
    const isAddedOwn = to === PLATFORM_PROGRAM;
    await compareDocuments(isAddedOwn ? added : unchanged, isAddedOwn ? unchanged : added);
    await crashServers(group);
    await replaceInstances(group, replacement);
    const engine = findNeededEngine(group);
    await engine.close();
    group.store.remove('servers', engine.id);
    await waitUntil(() => isCovered(group), 'the layers of a lost engine are placed again');
    const lease = group.store.read('leases', 'planner') as { holder: string; term: number };
    assert.ok(lease.term > leaseBefore.term, 'the lease went to the other build');
    await sleep(SPREAD_MILLISECONDS);
    await serveEverywhere(group);
    report(
      `  lease: term ${leaseBefore.term} of ${from === PLATFORM_PROGRAM ? 'this' : 'the other'} build, then ${lease.term}`,
    );
    const [instance] = group.instances;
    assert.ok(instance);
    for (const program of [from, to]) {
      const checked = await runProgram(program, '--check', instance.settingsFile);
      assert.equal(checked.exitCode, 0, checked.stderr);
    }
    report('  settings file: valid for both builds');
  } finally {
    await group.stop();
  }
}
