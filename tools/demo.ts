/**
 * Demonstrates the system, with each part as a separate process: a generation by two engines, a
 * booking that is sent twice and runs once, and a configuration change that comes into force on
 * every instance. Exits with 0 only if all three steps succeed. `--break <step>` makes one step
 * fail, to show that the demo detects failures.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import type { Address } from '../src/common/address.js';
import { readBranch, sendChange, waitUntilInForce } from '../src/command-line/branch-client.js';
import { sendRequest, createIdempotencyKey, requestStream } from './caller.js';
import {
  DaemonGroup,
  DEFAULT_CONFIGURATION,
  createLoopbackAddress,
  tryFetchJson,
  waitFor,
} from './daemon-group.js';
import { findFreePorts } from './ports.js';
import { computeExpectedTokens } from './stand-ins/token-function.js';

const STAND_IN_PROGRAM = fileURLToPath(new URL('./stand-in-main.js', import.meta.url));
const STEPS = ['generation', 'booking', 'configuration'] as const;
type Step = (typeof STEPS)[number];

const PROMPT = 'A room-by-room sorting plan for the kitchen, please.';
const TOKEN_COUNT = 24;
const SEED = 7;
const IN_FORCE_TIMEOUT_MILLISECONDS = 10_000;

/** The running system, and the step that is to fail, if any. */
interface Demo {
  readonly group: DaemonGroup;
  readonly service: Address;
  readonly brokenStep: Step | undefined;
}

const children: ChildProcess[] = [];

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function startStandIn(kind: string, options: object = {}): Promise<Address> {
  const [port = 0] = await findFreePorts(1);
  const json = JSON.stringify({ ...options, port });
  children.push(
    spawn(process.execPath, [STAND_IN_PROGRAM, kind, json], {
      stdio: ['ignore', 'ignore', 'inherit'],
    }),
  );
  const address = createLoopbackAddress(port);
  const probePaths: Readonly<Record<string, string>> = { 'object-api': '/control' };
  const probePath = probePaths[kind] ?? '/status';
  await waitFor(
    `the ${kind} responds`,
    async () => (await tryFetchJson(address, probePath)) !== undefined,
  );
  return address;
}

async function startDemo(brokenStep: Step | undefined): Promise<Demo> {
  const objectApi = await startStandIn('object-api');
  const instanceList = await startStandIn('instance-list');
  const group = new DaemonGroup({
    objectApiPort: objectApi.port,
    instanceListPort: instanceList.port,
  });
  const engines = [
    {
      id: 'engine-1',
      from: 0,
      to: 4,
      dataCentre: 'dc-a',
      accelerator: 'fast',
      stepMilliseconds: 20,
    },
    {
      id: 'engine-2',
      from: 4,
      to: 8,
      dataCentre: 'dc-b',
      accelerator: 'slow',
      stepMilliseconds: 40,
    },
  ];
  for (const engine of engines) {
    const { port } = await startStandIn('engine', { engine });
    await group.registerInstance({
      id: engine.id,
      kind: 'engine',
      port,
      dataCentre: engine.dataCentre,
    });
  }
  const service = await startStandIn('plain-service');
  await group.registerInstance({
    id: 'bookings-1',
    kind: 'service',
    service: 'bookings',
    port: service.port,
    dataCentre: 'dc-a',
  });
  for (const dataCentre of ['dc-a', 'dc-a', 'dc-b']) await group.addDaemon({ dataCentre });
  await group.configure(DEFAULT_CONFIGURATION);
  await group.waitUntilReady(engines.length + 1);
  print(
    `Three instances in two data centres and two engines with half of the layers each are ready.`,
  );
  return { group, service, brokenStep };
}

async function showGeneration({ group, brokenStep }: Demo): Promise<boolean> {
  print('\n1. A generation, streamed:');
  const { addresses = [] } =
    (await tryFetchJson<{ addresses: Address[] }>(
      group.first.callerAddress,
      '/v1/addresses?account=planner',
    )) ?? {};
  const [address = group.first.callerAddress] = addresses;
  const body = { model: 'drafting', prompt: PROMPT, max_tokens: TOKEN_COUNT, seed: SEED };
  const result = await requestStream(address, body);
  print(`   ${result.tokens.join('')}`);
  const seed = brokenStep === 'generation' ? SEED + 1 : SEED;
  const tokenInput = {
    model: 'drafting',
    version: '1',
    adapter: '',
    prompt: PROMPT,
    seed,
    totalLayers: 8,
  };
  const isCorrect =
    result.tokens.join('') === computeExpectedTokens(tokenInput, TOKEN_COUNT).join('');
  print(`   ${result.outcome}; ${isCorrect ? 'all tokens are correct' : 'THE TOKENS ARE WRONG'}.`);
  return result.outcome === 'completed' && isCorrect;
}

async function showBooking({ group, service, brokenStep }: Demo): Promise<boolean> {
  print('\n2. A booking, sent twice with one idempotency key, to two instances:');
  const key = createIdempotencyKey('flat-12');
  const sentKeys = [key, brokenStep === 'booking' ? createIdempotencyKey('another') : key];
  const outcomes: string[] = [];
  for (const [index, sentKey] of sentKeys.entries()) {
    const daemon = group.daemons[index] ?? group.first;
    const response = await sendRequest(
      daemon.callerAddress,
      'POST',
      '/v1/services/bookings/movers',
      '{"day":"Monday"}',
      {
        headers: { 'idempotency-key': sentKey },
      },
    );
    const replayed = response.headers['idempotency-replayed'] === 'true' ? ' (replayed)' : '';
    print(`   ${daemon.name}: ${response.status} ${response.body}${replayed}`);
    outcomes.push(response.outcome);
  }
  const { journal = [] } = (await tryFetchJson<{ journal: unknown[] }>(service, '/journal')) ?? {};
  print(`   The service ran it ${journal.length} time(s).`);
  return journal.length === 1 && outcomes.every((outcome) => outcome === 'completed');
}

async function showConfiguration({ group, brokenStep }: Demo): Promise<boolean> {
  print('\n3. A configuration change:');
  const { operatorAddress: operator } = group.first;
  const { revision: baseRevision } = await readBranch(operator, group.team);
  const edits = [{ path: ['accounts', 'planner', 'requestsPerSecond'], value: 50 }];
  const startedAt = performance.now();
  const revision = await sendChange(operator, group.team, { baseRevision, author: 'demo', edits });
  const expectedRevision = brokenStep === 'configuration' ? revision + 1 : revision;
  const timeoutMilliseconds = brokenStep === 'configuration' ? 1000 : IN_FORCE_TIMEOUT_MILLISECONDS;
  const { inForce, missing } = await waitUntilInForce(
    operator,
    group.team,
    expectedRevision,
    timeoutMilliseconds,
  );
  const elapsedMilliseconds = Math.round(performance.now() - startedAt);
  print(
    `   Revision ${expectedRevision} is in force on ${inForce.length} of ${inForce.length + missing.length} instances after ${elapsedMilliseconds} ms.`,
  );
  return missing.length === 0 && inForce.length === group.daemons.length;
}

async function main(): Promise<boolean> {
  const { values } = parseArgs({ options: { break: { type: 'string' } } });
  const brokenStep = STEPS.find((step) => step === values.break);
  if (values.break !== undefined && !brokenStep)
    throw new Error(`--break must be one of ${STEPS.join(', ')}.`);
  const demo = await startDemo(brokenStep);
  try {
    const results = [
      await showGeneration(demo),
      await showBooking(demo),
      await showConfiguration(demo),
    ];
    return results.every(Boolean);
  } finally {
    await demo.group.stop();
  }
}

let hasSucceeded = false;
try {
  hasSucceeded = await main();
} finally {
  children.forEach((child) => child.kill('SIGKILL'));
}
print(hasSucceeded ? '\nAll steps succeeded.' : '\nA STEP FAILED.');
process.exit(hasSucceeded ? 0 : 1);
