/**
 * Shows the system at work, everything as processes of its own: a generation over two engines, a
 * booking sent twice and run once, and a configuration change in force on every instance. Exits
 * with 0 only if all of it held. `--break <step>` spoils one step, to show that the demo can fail.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import type { Address } from '../src/common/address.js';
import { readBranch, sendChange, waitUntilInForce } from '../src/command-line/branch-client.js';
import { callPath, makeKey, stream } from './caller.js';
import {
  DaemonGroup,
  DEFAULT_CONFIGURATION,
  onLoopback,
  readJson,
  waitFor,
} from './daemon-group.js';
import { findFreePorts } from './ports.js';
import { expectedTokens } from './stand-ins/token-function.js';

const STAND_IN = fileURLToPath(new URL('./stand-in-main.js', import.meta.url));
const STEPS = ['generation', 'booking', 'configuration'] as const;
type Step = (typeof STEPS)[number];

const PROMPT = 'A room-by-room sorting plan for the kitchen, please.';
const TOKENS = 24;
const SEED = 7;
const IN_FORCE_MILLISECONDS = 10_000;

interface Demo {
  readonly group: DaemonGroup;
  readonly service: Address;
  readonly broken: Step | undefined;
}

const children: ChildProcess[] = [];

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function startStandIn(kind: string, options: object = {}): Promise<Address> {
  const [port = 0] = await findFreePorts(1);
  const json = JSON.stringify({ ...options, port });
  children.push(
    spawn(process.execPath, [STAND_IN, kind, json], { stdio: ['ignore', 'ignore', 'inherit'] }),
  );
  const address = onLoopback(port);
  const probes: Readonly<Record<string, string>> = { 'object-api': '/control' };
  const probe = probes[kind] ?? '/status';
  await waitFor(`the ${kind} answers`, async () => (await readJson(address, probe)) !== undefined);
  return address;
}

async function start(broken: Step | undefined): Promise<Demo> {
  const objectApi = await startStandIn('object-api');
  const instanceList = await startStandIn('instance-list');
  const group = new DaemonGroup({
    objectApiPort: objectApi.port,
    instanceListPort: instanceList.port,
  });
  const stages = [
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
  for (const engine of stages) {
    const { port } = await startStandIn('engine', { engine });
    await group.list({ id: engine.id, kind: 'engine', port, dataCentre: engine.dataCentre });
  }
  const service = await startStandIn('plain-service');
  await group.list({
    id: 'bookings-1',
    kind: 'service',
    service: 'bookings',
    port: service.port,
    dataCentre: 'dc-a',
  });
  for (const dataCentre of ['dc-a', 'dc-a', 'dc-b']) await group.addDaemon({ dataCentre });
  await group.configure(DEFAULT_CONFIGURATION);
  await group.waitReady(stages.length + 1);
  say(`Three instances in two data centres and two engines with half of the layers each are up.`);
  return { group, service, broken };
}

async function showGeneration({ group, broken }: Demo): Promise<boolean> {
  say('\n1. A generation, streamed:');
  const { addresses = [] } =
    (await readJson<{ addresses: Address[] }>(
      group.first.caller,
      '/v1/addresses?account=planner',
    )) ?? {};
  const [address = group.first.caller] = addresses;
  const body = { model: 'drafting', prompt: PROMPT, max_tokens: TOKENS, seed: SEED };
  const answer = await stream(address, body);
  say(`   ${answer.tokens.join('')}`);
  const seed = broken === 'generation' ? SEED + 1 : SEED;
  const input = {
    model: 'drafting',
    version: '1',
    adapter: '',
    prompt: PROMPT,
    seed,
    totalLayers: 8,
  };
  const isRight = answer.tokens.join('') === expectedTokens(input, TOKENS).join('');
  say(`   ${answer.outcome}; ${isRight ? 'every token is right' : 'THE TOKENS ARE WRONG'}.`);
  return answer.outcome === 'completed' && isRight;
}

async function showBooking({ group, service, broken }: Demo): Promise<boolean> {
  say('\n2. A booking, sent twice with one idempotency key, to two instances:');
  const key = makeKey('flat-12');
  const keys = [key, broken === 'booking' ? makeKey('another') : key];
  const outcomes: string[] = [];
  for (const [index, one] of keys.entries()) {
    const daemon = group.daemons[index] ?? group.first;
    const answer = await callPath(
      daemon.caller,
      'POST',
      '/v1/services/bookings/movers',
      '{"day":"Monday"}',
      {
        headers: { 'idempotency-key': one },
      },
    );
    const replayed = answer.headers['idempotency-replayed'] === 'true' ? ' (replayed)' : '';
    say(`   ${daemon.name}: ${answer.status} ${answer.body}${replayed}`);
    outcomes.push(answer.outcome);
  }
  const { journal = [] } = (await readJson<{ journal: unknown[] }>(service, '/journal')) ?? {};
  say(`   The service ran it ${journal.length} time(s).`);
  return journal.length === 1 && outcomes.every((outcome) => outcome === 'completed');
}

async function showConfiguration({ group, broken }: Demo): Promise<boolean> {
  say('\n3. A configuration change:');
  const { operator } = group.first;
  const { revision: baseRevision } = await readBranch(operator, group.team);
  const edits = [{ path: ['accounts', 'planner', 'requestsPerSecond'], value: 50 }];
  const startedAt = performance.now();
  const revision = await sendChange(operator, group.team, { baseRevision, author: 'demo', edits });
  const wanted = broken === 'configuration' ? revision + 1 : revision;
  const limit = broken === 'configuration' ? 1000 : IN_FORCE_MILLISECONDS;
  const { inForce, missing } = await waitUntilInForce(operator, group.team, wanted, limit);
  const milliseconds = Math.round(performance.now() - startedAt);
  say(
    `   Revision ${wanted} is in force on ${inForce.length} of ${inForce.length + missing.length} instances after ${milliseconds} ms.`,
  );
  return missing.length === 0 && inForce.length === group.daemons.length;
}

async function main(): Promise<boolean> {
  const { values } = parseArgs({ options: { break: { type: 'string' } } });
  const broken = STEPS.find((step) => step === values.break);
  if (values.break !== undefined && !broken)
    throw new Error(`--break takes one of ${STEPS.join(', ')}.`);
  const demo = await start(broken);
  try {
    const held = [
      await showGeneration(demo),
      await showBooking(demo),
      await showConfiguration(demo),
    ];
    return held.every(Boolean);
  } finally {
    await demo.group.stop();
  }
}

let isHeld = false;
try {
  isHeld = await main();
} finally {
  children.forEach((child) => child.kill('SIGKILL'));
}
say(isHeld ? '\nAll of it held.' : '\nSOMETHING DID NOT HOLD.');
process.exit(isHeld ? 0 : 1);
