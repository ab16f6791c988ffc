/** Tests odd entries in the list of servers, as another writer may leave them: they name no server to use. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { PlatformGroup, waitUntil, type PlatformInstance } from '../tools/platform-group.js';
import { sendCallerRequest } from '../tools/serving-group.js';
import { findFreePorts } from '../tools/ports.js';

const ENGINES = 4;
const PLAIN_SERVERS = 2;
const REQUESTS = 20;
/** Enough calls at a time for all servers of a service. */
const CALLERS = 4;
/** Fewer than the stand-in store can send. */
const NESTED_LEVELS = 2000;

function nest(levels: number): unknown {
  let value: unknown = {};
  for (let level = 0; level < levels; level += 1) value = { value };
  return value;
}

const ODD_LAYERS = {
  'much too long': { from: 0, to: 1e9 },
  'as long as a number can be': { from: 0, to: Number.MAX_SAFE_INTEGER },
  'far behind the model': { from: 1e9, to: 1e9 + 1 },
  'one layer too many': { from: 0, to: 9 },
  'right behind the model': { from: 8, to: 9 },
  'from within the model to far behind it': { from: 7, to: 100_000 },
};

const ODD_PORTS = ['70000', '0', '-1', '1e3', '0x50', ' 80', '+80', '80.5', '', '080000'];

const ODD_FIELDS = {
  null: null,
  'a list': [],
  'too many slots': { slots: Number.MAX_SAFE_INTEGER },
  'no address': { address: null },
  nested: { layers: nest(NESTED_LEVELS), born: nest(NESTED_LEVELS), extra: nest(NESTED_LEVELS) },
  'names of an object': { zone: '__proto__', kind: 'constructor' },
};

/** Writes entries for which no process listens, each odd in another way. */
async function writeOddEntries({ store }: PlatformGroup): Promise<void> {
  const [port = 0] = await findFreePorts(1);
  const engine = {
    service: 'drafter',
    address: `127.0.0.1:${port}`,
    zone: 'zone-a',
    slots: 20,
    state: 'ready',
    kind: 'card',
    layers: { from: 0, to: 8 },
  };
  Object.entries(ODD_LAYERS).forEach(([name, layers]) =>
    store.put('servers', `a ${name}`, { ...engine, layers }),
  );
  ODD_PORTS.forEach((text) =>
    store.put('servers', `port ${text}`, {
      ...engine,
      service: 'casebook',
      address: `127.0.0.1:${text}`,
    }),
  );
  Object.entries(ODD_FIELDS).forEach(([name, fields]) =>
    store.put(
      'servers',
      `a ${name}`,
      fields && !Array.isArray(fields) ? { ...engine, ...fields } : fields,
    ),
  );
}

/** Starts servers and instances beside the odd entries, which are there first. */
async function startBesideOddEntries(context: TestContext): Promise<PlatformGroup> {
  const group = new PlatformGroup();
  context.after(() => group.stop());
  await group.start();
  await writeOddEntries(group);
  for (let index = 0; index < ENGINES; index += 1)
    await group.addServer({ id: `engine-${index}`, service: 'drafter', kind: 'card' });
  for (let index = 0; index < PLAIN_SERVERS; index += 1)
    await group.addServer({ id: `case-${index}`, service: 'casebook' });
  await group.addReadyInstance('entry-0');
  await group.addReadyInstance('entry-1');
  return group;
}

async function isServed(instance: PlatformInstance, path: string): Promise<boolean> {
  return (await sendCallerRequest(instance, path)).status === 200;
}

function assertNoneEnded({ instances }: PlatformGroup): void {
  instances.forEach(({ name, process: child, log }) =>
    assert.deepEqual([child.exitCode, child.signalCode], [null, null], `${name} ${log.join('')}`),
  );
}

// An entry that ended behind the model's last layer let no chain be found; a very long one was walked through
// layer by layer, which took all processor time or memory.
test('odd entries: engines are planned and requests are served beside entries that name no server', async (context) => {
  const group = await startBesideOddEntries(context);
  for (const instance of group.instances)
    await waitUntil(() => isServed(instance, '/drafts/1'), `${instance.name} serves streams`);
  const answers = [];
  for (let count = 0; count < REQUESTS; count += 1)
    for (const instance of group.instances) {
      answers.push(await isServed(instance, '/drafts/1'));
      answers.push(await isServed(instance, '/lookups/1'));
      answers.push(await isServed(instance, '/bookings/1'));
    }
  assert.deepEqual(
    answers.filter((wasServed) => !wasServed),
    [],
  );
  const added = await group.addServer({ id: 'case-added', service: 'casebook' });
  group.servers.forEach(({ faults }) => Object.assign(faults, { callMilliseconds: 100 }));
  await waitUntil(async () => {
    const callers = Array.from({ length: CALLERS }, () => group.instances).flat();
    await Promise.all(callers.map((instance) => isServed(instance, '/lookups/1')));
    return added.runs.length > 0;
  }, 'a server that is added is used');
  assertNoneEnded(group);
});

// A live engine may report such a range as well as register with it.
test('odd entries: an engine that reports layers behind the model is not used, and the others serve', async (context) => {
  const group = new PlatformGroup();
  context.after(() => group.stop());
  await group.start();
  const [odd] = await Promise.all(
    Array.from({ length: ENGINES }, (_, index) =>
      group.addServer({ id: `engine-${index}`, service: 'drafter', kind: 'card' }),
    ),
  );
  assert.ok(odd);
  odd.layers = { from: 4, to: 1e9, version: 1 };
  odd.register('ready');
  const instance = await group.addReadyInstance('entry-0');
  await waitUntil(() => isServed(instance, '/drafts/1'), 'streams are served');
  for (let count = 0; count < REQUESTS; count += 1)
    assert.ok(await isServed(instance, '/drafts/1'));
  assert.deepEqual(odd.runs, []);
  assertNoneEnded(group);
});

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
