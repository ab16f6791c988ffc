/**
 * Tests instances against a stand-in of the platform: placement, chains, refusals, and faults of
 * the backend servers. Those of the object store are in `platform-store`.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import http from 'node:http';
import { test } from 'node:test';
import { sleep } from '../src/common/clock.js';
import { EXIT_CODES } from '../src/command-line/exit-codes.js';
import { findUncoveredRanges } from '../src/layers/coverage-plan.js';
import {
  PLATFORM_CONFIGURATION,
  sendRequest,
  waitUntil,
  type PlatformGroup,
  PLATFORM_PROGRAM,
  type PlatformInstance,
} from '../tools/platform-group.js';
import { COMMAND_LINE, runProgram } from '../tools/run-program.js';
import {
  createRequestId,
  getFirstInstance,
  LAYER_COUNT,
  readEventIds,
  sendCallerRequest,
  startGroup,
} from '../tools/serving-group.js';

function findRuns(group: PlatformGroup, id: string | undefined) {
  return group.servers.flatMap(({ runs }) => runs).filter(({ requestId }) => requestId === id);
}

test('platform: layers are placed on empty engines; streams and calls reach the servers with the client account and without the API key', async (context) => {
  const group = await startGroup(context);
  const forged = { tenant: 'forged', 'hop-count': 'forged', 'expect-instance': 'forged' };
  const stream = await sendCallerRequest(getFirstInstance(group), '/drafts/1', { headers: forged });
  assert.equal(stream.status, 200);
  assert.deepEqual(readEventIds(stream), [1, 2, 3, 4, 5, 6, 7, 8]);
  const bookingAnswer = await sendCallerRequest(getFirstInstance(group), '/bookings/1', {
    key: 'key-3',
  });
  assert.equal(bookingAnswer.status, 200);
  const runs = group.servers.flatMap((server) => server.runs);
  assert.deepEqual(
    runs.map(({ tenant, apiKey }) => [tenant, apiKey]),
    [
      ['planner', undefined],
      ['dealer', undefined],
    ],
  );
  const hops = runs[0]?.hops
    ?.split(',')
    .map((hop) => /=(\d+)-(\d+)$/.exec(hop)?.slice(1).map(Number));
  assert.ok(hops && hops[0]?.[0] === 0 && hops.at(-1)?.[1] === LAYER_COUNT);
  hops.slice(1).forEach((hop, index) => assert.equal(hop?.[0], hops[index]?.[1]));
});

test('platform: the directory lists the ready instances and drops one that is stopping', async (context) => {
  const group = await startGroup(context, { instances: 3 });
  const countAddresses = async (instance: PlatformInstance): Promise<number> => {
    const answer = await sendRequest({ port: instance.ports.directory, path: '/resolve?name=x' });
    return (JSON.parse(answer.body) as { addresses: string[] }).addresses.length;
  };
  const [firstInstance, secondInstance] = group.instances;
  assert.ok(firstInstance && secondInstance);
  await waitUntil(
    async () => (await countAddresses(firstInstance)) === 3,
    'all three instances are listed',
  );
  secondInstance.process.kill('SIGTERM');
  await waitUntil(
    async () => (await countAddresses(firstInstance)) === 2,
    'the stopping instance is not listed',
  );
  const ready = await sendRequest({ port: secondInstance.ports.ready, path: '/ready' });
  assert.notEqual(ready.status, 200);
  const lateAnswer = await sendCallerRequest(secondInstance, '/bookings/1');
  assert.equal(
    lateAnswer.status,
    200,
    'a stopping instance still serves callers that cached its address',
  );
  assert.equal(lateAnswer.headers.connection, 'close');
  await once(secondInstance.process, 'exit');
  assert.equal(secondInstance.process.exitCode, 0);
});

test('platform: stopping an instance interrupts no stream', async (context) => {
  const group = await startGroup(context, { pauseMilliseconds: 250 });
  const streams = Array.from({ length: 5 }, () =>
    sendCallerRequest(getFirstInstance(group), '/drafts/1'),
  );
  await sleep(300);
  getFirstInstance(group).process.kill('SIGTERM');
  const answers = await Promise.all(streams);
  assert.ok(answers.every(({ status }) => status === 200));
});

test('platform: a stream that comes late to a stopping instance is refused instead of being cut off', async (context) => {
  const group = await startGroup(context, { pauseMilliseconds: 550 });
  const instance = getFirstInstance(group);
  const headers = { 'deadline-ms': '10000' };
  const early = sendCallerRequest(instance, '/drafts/1', { headers });
  await sleep(300);
  instance.process.kill('SIGTERM');
  // Callers may use an address for three lifetimes of 1 s.
  await sleep(3300);
  const late = await sendCallerRequest(instance, '/drafts/2');
  assert.equal(late.status, 503);
  assert.ok(Number(late.headers['retry-after']) > 0);
  const call = await sendCallerRequest(instance, '/lookups/1', { method: 'GET' });
  assert.equal(call.status, 200);
  assert.equal((await early).status, 200);
});

test('platform: a stream that breaks off within an event is resumed by another run, and each event is sent once', async (context) => {
  const group = await startGroup(context);
  group.servers.forEach(({ faults }) => {
    faults.breaksStreamAfterEvents = 3;
  });
  const answer = await sendCallerRequest(getFirstInstance(group), '/drafts/1');
  // The route allows two runs, of three events each. The connection must then break off, because a
  // regular end would make the stream look complete.
  assert.deepEqual(readEventIds(answer), [1, 2, 3, 4, 5, 6]);
  assert.equal(answer.status, 0);
  group.servers.forEach(({ faults }) => {
    faults.breaksStreamAfterEvents = 5;
  });
  const whole = await sendCallerRequest(getFirstInstance(group), '/drafts/1');
  assert.equal(whole.status, 200);
  assert.deepEqual(readEventIds(whole), [1, 2, 3, 4, 5, 6, 7, 8]);
});

test('platform: chains avoid an engine that has failed, and its layers are placed on other engines', async (context) => {
  const group = await startGroup(context);
  const [closedEngine] = group.servers;
  assert.ok(closedEngine);
  await closedEngine.close();
  group.store.remove('servers', 'engine-0');
  const remainingEngines = group.servers.slice(1);
  await waitUntil(
    () =>
      findUncoveredRanges(
        remainingEngines.flatMap(({ layers }) => layers ?? []),
        LAYER_COUNT,
      ).length === 0,
    'the other engines hold every layer',
  );
  await waitUntil(async () => {
    const answer = await sendCallerRequest(getFirstInstance(group), '/drafts/1');
    return answer.status === 200;
  }, 'a stream is served');
});

test('platform: a booking whose answer is lost ran once and is not reported as not run', async (context) => {
  const group = await startGroup(context);
  group.servers.forEach(({ faults }) => {
    faults.closesWithoutAnswer = true;
  });
  const id = createRequestId();
  const answer = await sendCallerRequest(getFirstInstance(group), '/bookings/1', {
    headers: { 'request-id': id },
  });
  assert.equal(answer.status, 502);
  assert.equal(findRuns(group, id).length, 1);
});

test('platform: a lookup whose answer is lost is retried on another server', async (context) => {
  const group = await startGroup(context);
  const [, , , , faultyServer] = group.servers;
  assert.ok(faultyServer);
  faultyServer.faults.closesWithoutAnswer = true;
  for (let count = 0; count < 6; count += 1) {
    const answer = await sendCallerRequest(getFirstInstance(group), '/lookups/1');
    assert.equal(answer.status, 200);
  }
});

test('platform: an answer with the id of another request is not forwarded', async (context) => {
  const group = await startGroup(context);
  group.servers.forEach(({ faults }) => {
    faults.sendsWrongRequestId = true;
  });
  const answers = [
    await sendCallerRequest(getFirstInstance(group), '/bookings/1'),
    await sendCallerRequest(getFirstInstance(group), '/lookups/1'),
    await sendCallerRequest(getFirstInstance(group), '/drafts/1'),
  ];
  answers.forEach(({ status, body }) => {
    assert.equal(status, 502);
    assert.ok(!body.includes('ran request-'));
  });
});

test('platform: bytes after an answer are not forwarded to a later request', async (context) => {
  const group = await startGroup(context);
  group.servers.forEach(({ faults }) => {
    faults.sendsExtraResponse = true;
  });
  for (let count = 0; count < 10; count += 1) {
    const id = createRequestId();
    const answer = await sendCallerRequest(getFirstInstance(group), '/bookings/1', {
      headers: { 'request-id': id },
    });
    assert.equal(answer.body, `ran ${id}`);
  }
});

test('platform: when every server is full, the request is refused with a Retry-After header and has not run', async (context) => {
  const group = await startGroup(context);
  group.servers.forEach(({ faults }) => {
    faults.refusesAll = true;
  });
  for (const path of ['/bookings/1', '/drafts/1']) {
    const id = createRequestId();
    const answer = await sendCallerRequest(getFirstInstance(group), path, {
      headers: { 'request-id': id },
    });
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers['retry-after']) > 0);
    assert.equal(findRuns(group, id).length, 0);
  }
});

test('platform: a server that does not answer delays a request no longer than the timeout of its route', async (context) => {
  const group = await startGroup(context);
  group.servers.forEach(({ faults }) => {
    faults.neverAnswers = true;
  });
  const answer = await sendCallerRequest(getFirstInstance(group), '/bookings/1');
  assert.equal(answer.status, 504);
});

test('platform: the request of a caller that disconnects is cancelled', async (context) => {
  const group = await startGroup(context, { pauseMilliseconds: 300 });
  const headers = { host: 'site.example', 'request-id': createRequestId(), 'api-key': 'key-1' };
  const { front: port } = getFirstInstance(group).ports;
  const request = http.request({ port, method: 'POST', path: '/drafts/1', headers, agent: false });
  request.on('error', () => undefined);
  request.end();
  await once(request, 'response');
  request.destroy();
  await waitUntil(
    () => getFirstInstance(group).log.join('').includes('"outcome":"callerGone"'),
    'the instance logs that the caller disconnected',
  );
});

test('platform: the command line shows the state of an instance, and the daemon checks its settings file', async (context) => {
  const group = await startGroup(context, { instances: 2 });
  const [instance] = group.instances;
  assert.ok(instance);
  const flags = ['--instance', `127.0.0.1:${instance.ports.control}`, '--json'];
  const runJsonCommand = async (...words: string[]): Promise<Record<string, unknown[]>> => {
    const ended = await runProgram(COMMAND_LINE, ...words, ...flags);
    assert.equal(ended.exitCode, 0, ended.stderr);
    return JSON.parse(ended.stdout) as Record<string, unknown[]>;
  };
  assert.equal((await runJsonCommand('status')).configurationVersion, 1);
  assert.equal((await runJsonCommand('members')).members?.length, 2);
  assert.equal((await runJsonCommand('backends')).backends?.length, 6);
  assert.equal((await runJsonCommand('pipelines')).stages?.length, 4);
  const configuration = await runJsonCommand('configuration', 'show');
  assert.equal(configuration.routes?.length, PLATFORM_CONFIGURATION.routes.length);
  assert.ok(!JSON.stringify(configuration).includes('key-1'), 'API keys are not shown');
  const valid = await runProgram(PLATFORM_PROGRAM, '--check', instance.settingsFile);
  assert.equal(valid.exitCode, 0, valid.stderr);
  const missing = await runProgram(PLATFORM_PROGRAM, '--check', '/nowhere/boot.toml');
  assert.equal(missing.exitCode, 2);
  assert.notEqual(missing.stderr, '');
  const badPort = await runProgram(PLATFORM_PROGRAM, '--metrics-port', 'nonsense');
  assert.equal(badPort.exitCode, 2);
  assert.match(badPort.stderr, /"nonsense" is not a port/);
  const unreachable = await runProgram(COMMAND_LINE, 'status', '--instance', '127.0.0.1:1');
  assert.equal(unreachable.exitCode, EXIT_CODES.unreachable);
});

test('platform: a server that is leaving gets no new calls and no new streams', async (context) => {
  const group = await startGroup(context);
  const [engine] = group.servers;
  const leavingServer = group.servers.find(({ id }) => id === 'case-0');
  assert.ok(engine && leavingServer);
  engine.register('draining');
  leavingServer.register('draining');
  const remainingEngines = group.servers.filter(({ kind }) => kind !== undefined).slice(1);
  await waitUntil(() => {
    const held = remainingEngines.flatMap(({ layers }) => layers ?? []);
    return findUncoveredRanges(held, LAYER_COUNT).length === 0;
  }, 'the remaining engines hold every layer');
  // Gives the instance time to receive the changed entries.
  await sleep(700);
  const runsBefore = leavingServer.runs.length;
  const answers = await Promise.all(
    Array.from({ length: 12 }, (_, index) =>
      sendCallerRequest(getFirstInstance(group), index % 2 === 0 ? '/drafts/1' : '/bookings/1'),
    ),
  );
  answers.forEach(({ status }) => assert.equal(status, 200));
  assert.equal(leavingServer.runs.length, runsBefore);
  const hops = group.servers.flatMap(({ runs }) => runs.map((run) => run.hops ?? ''));
  hops.forEach((text) => assert.ok(!text.includes(engine.address), text));
});

// Guards against a fault where the second attempt of a call crashed one server too many: all but one of the
// crashes that block it were known before the call, and its first attempt caused the last.
test('platform: a call that crashes every server that runs it crashes only two, across all instances', async (context) => {
  const group = await startGroup(context, { instances: 2 });
  for (let index = 2; index < 8; index += 1) {
    await group.addServer({ id: `case-${index}`, service: 'casebook' });
  }
  await sleep(700);
  const crashingServers = group.servers.filter(({ id }) => id.startsWith('case'));
  crashingServers.forEach(({ faults }) => {
    faults.crashingBody = 'crash';
  });
  const statuses: number[] = [];
  for (let turn = 0; turn < 6; turn += 1) {
    const instance = group.instances[turn % 2] ?? getFirstInstance(group);
    const answer = await sendCallerRequest(instance, '/lookups/1', { body: 'crash' });
    statuses.push(answer.status);
    // Long enough for the other instance to learn of the crash.
    await sleep(1200);
  }
  assert.equal(crashingServers.filter(({ isClosed }) => isClosed).length, 2, statuses.join());
  assert.equal(statuses.at(-1), 503);
  const neighbour = await sendCallerRequest(getFirstInstance(group), '/lookups/1');
  assert.equal(neighbour.status, 200);
});
