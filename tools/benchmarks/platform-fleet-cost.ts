/**
 * Runs a fleet of platform instances before stand-in servers under a steady load, with changes of the
 * configuration and ejected servers, and prints the processor time of an instance.
 *
 * Usage: node dist/tools/benchmarks/platform-fleet-cost.js [instances] [servers] [seconds]
 * With PROFILE_FILE set, the second instance writes a processor profile there, whose sums by part of the
 * program are printed.
 */
import { existsSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { sleep } from '../../src/common/clock.js';
import {
  PlatformGroup,
  PLATFORM_CONFIGURATION,
  PLATFORM_PROGRAM,
  sendRequest,
  waitUntil,
} from '../platform-group.js';
import { createRequestId, sendCallerRequest } from '../serving-group.js';
import { summarizeProfile, type Profile } from './profile-summary.js';

const [instanceCount = 20, serverCount = 80, seconds = 15] = process.argv.slice(2).map(Number);
const PROFILED_PROGRAM = fileURLToPath(new URL('./profiled-instance.js', import.meta.url));
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const CONFIGURATION_INTERVAL_MILLISECONDS = 250;
const REQUESTS_PER_INSTANCE_AND_SECOND = 2;
const WARM_UP_MILLISECONDS = 5000;
/** Kernel clock ticks of /proc. */
const TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 11;

function readProcessorSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[USER_TICKS_FIELD + 1]);
  return ticks / TICKS_PER_SECOND;
}

function getZone(index: number): string {
  return ZONES[index % ZONES.length] ?? '';
}

async function startServers(group: PlatformGroup): Promise<void> {
  const engineCount = Math.round(serverCount * 0.7);
  for (let index = 0; index < engineCount; index += 1)
    await group.addServer({
      id: `engine-${index}`,
      service: 'drafter',
      kind: 'card',
      zone: getZone(index),
    });
  for (let index = engineCount; index < serverCount; index += 1)
    await group.addServer({ id: `case-${index}`, service: 'casebook', zone: getZone(index) });
}

async function startInstances(group: PlatformGroup): Promise<void> {
  for (let index = 0; index < instanceCount; index += 1) {
    const isProfiled = index === 1 && process.env.PROFILE_FILE !== undefined;
    await group.addInstance(
      `entry-${index}`,
      isProfiled ? PROFILED_PROGRAM : PLATFORM_PROGRAM,
      getZone(index),
    );
    await sleep(100);
  }
  await Promise.all(
    group.instances.map(({ name, ports }) =>
      waitUntil(
        async () => (await sendRequest({ port: ports.ready, path: '/ready' })).status === 200,
        `${name} is ready`,
      ),
    ),
  );
}

async function changeConfiguration(group: PlatformGroup, signal: AbortSignal): Promise<void> {
  let version = 1;
  while (!signal.aborted) {
    version += 1;
    group.store.put('config', 'main', { ...PLATFORM_CONFIGURATION, version });
    await sleep(CONFIGURATION_INTERVAL_MILLISECONDS, signal);
  }
}

async function sendLoad(
  group: PlatformGroup,
  outcomes: Map<number, number>,
  signal: AbortSignal,
): Promise<void> {
  for (let count = 0; !signal.aborted; count += 1) {
    const instance = group.instances[count % instanceCount];
    const isStream = Math.floor(count / instanceCount) % 2 === 0;
    if (instance) {
      const path = isStream ? '/drafts/one' : '/lookups/one';
      void sendCallerRequest(instance, `${path}?${createRequestId()}`, {
        method: isStream ? 'POST' : 'GET',
      }).then(({ status }) => outcomes.set(status, (outcomes.get(status) ?? 0) + 1));
    }
    await sleep(1000 / (instanceCount * REQUESTS_PER_INSTANCE_AND_SECOND), signal);
  }
}

/** Lets some servers fail their requests and health checks. */
function breakServers(group: PlatformGroup): void {
  group.servers
    .filter((_, index) => index % 12 === 5)
    .forEach(({ faults }) => {
      faults.neverAnswers = true;
    });
}

/** Prints the shares of a profile's parts, once it has been written. */
async function printProfile(file: string): Promise<void> {
  await waitUntil(() => existsSync(file), 'the profile is written');
  const profile = JSON.parse(readFileSync(file, 'utf8')) as Profile;
  summarizeProfile(profile).forEach(({ part, share }) =>
    process.stdout.write(`${(100 * share).toFixed(1).padStart(5)} % ${part}\n`),
  );
}

const group = new PlatformGroup();
const controller = new AbortController();
const outcomes = new Map<number, number>();
try {
  process.env.PROFILE_DELAY_MILLISECONDS = String(
    instanceCount * 100 + 6000 + WARM_UP_MILLISECONDS,
  );
  process.env.PROFILE_MILLISECONDS = String(seconds * 1000 - 4000);
  await group.start();
  await startServers(group);
  await startInstances(group);
  process.stderr.write('Instances are ready.\n');
  void changeConfiguration(group, controller.signal);
  void sendLoad(group, outcomes, controller.signal);
  breakServers(group);
  await sleep(WARM_UP_MILLISECONDS);
  const readAll = (): number[] =>
    group.instances.map(({ process: child }) => readProcessorSeconds(child.pid ?? 0));
  const before = readAll();
  const probesBefore = group.servers.flatMap(({ contacts }) => contacts).length;
  await sleep(seconds * 1000);
  const used = readAll().map((value, index) => (value - (before[index] ?? 0)) / seconds);
  const mean = used.reduce((sum, value) => sum + value, 0) / used.length;
  process.stdout.write(
    `${JSON.stringify({
      instanceCount,
      serverCount,
      meanCores: mean,
      leastCores: Math.min(...used),
      mostCores: Math.max(...used),
      contactsPerSecond:
        (group.servers.flatMap(({ contacts }) => contacts).length - probesBefore) / seconds,
      outcomes: Object.fromEntries(outcomes),
    })}\n`,
  );
  await sleep(3000);
  if (process.env.PROFILE_FILE !== undefined) await printProfile(process.env.PROFILE_FILE);
} finally {
  controller.abort();
  await group.stop();
}
process.exit(0);
