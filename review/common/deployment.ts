/**
 * A small deployment: the project's store stand-in, and instances of the system started with the command of
 * the deploy file, with settings like those that the platform writes.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { parse } from 'smol-toml';
import { findFreePorts } from '../../tools/ports.js';
import { PlatformStore } from '../../tools/stand-ins/platform-store.js';

/** The repository, seen from `dist/review/review/common`. */
export const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
export const HEARTBEAT_MILLISECONDS = 1200;
export const DRAIN_MILLISECONDS = 2000;
export const CONTACT_MILLISECONDS = 3000;
export const HOST = 'site.example';
export const API_KEY = 'n2ctnfzs989anu6wsjnb';
const READY_TIMEOUT_MILLISECONDS = 20_000;
const POLL_MILLISECONDS = 50;

/** A running instance. */
export interface Instance {
  readonly name: string;
  readonly process: ChildProcess;
  readonly ports: Readonly<Record<'front' | 'ready' | 'control' | 'directory', number>>;
}

/** The platform's store, as a case uses it. */
export interface CaseStore {
  put(kind: string, name: string, spec: unknown): void;
  remove(kind: string, name: string): void;
  listen(port: number): Promise<void>;
  close(): Promise<void>;
}

/** What a deployment consists of. */
export interface DeploymentOptions {
  /** The store; the project's stand-in by default. */
  readonly store?: CaseStore;
  /** Zones of the instances, one for each. */
  readonly zones: readonly string[];
  /** Returns the port at which an instance reaches the store; the store's own by default. */
  readonly storePortOf?: (storePort: number) => Promise<number>;
}

/** Routes as the users' sheet has them: bookings run once, lookups may be repeated. */
const ROUTES = [
  {
    name: 'van-booking',
    host: HOST,
    'path-prefix': '/booking/',
    kind: 'unsafe',
    'timeout-ms': 1200,
    'goal-ms': 150,
    priority: 2,
    service: 'casebook',
    'max-attempts': 1,
  },
  {
    name: 'case-lookup',
    host: HOST,
    'path-prefix': '/lookup/',
    kind: 'safe',
    'timeout-ms': 1200,
    'goal-ms': 150,
    priority: 2,
    service: 'casebook',
    'max-attempts': 2,
  },
];

export const CASEBOOK = { name: 'casebook', 'health-path': '/health', 'max-conns': 110 };

/** The configuration that is in force throughout. */
export const CONFIGURATION = {
  version: 3,
  routes: ROUTES,
  services: [CASEBOOK],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 4_194_304,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15_000,
  },
  tenants: [{ name: 'hule930', 'api-keys': [API_KEY] }],
};

function formatSettings(
  name: string,
  zone: string,
  ports: Instance['ports'],
  storePort: number,
  seedPort: number,
): string {
  return `node = "${name}"
role = "entry"
machine-class = "front"
serves = ["front","control","directory"]
ip = "127.0.0.1"
zone = "${zone}"
region = "si-central"
seeds = ["127.0.0.1:${seedPort}"]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat-ms = ${HEARTBEAT_MILLISECONDS}
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[listen]
front = "127.0.0.1:${ports.front}"
ready = "127.0.0.1:${ports.ready}"
control = "127.0.0.1:${ports.control}"
directory = "127.0.0.1:${ports.directory}"
[limits]
cpu-share = 0.675
cores = 1
memory-mb = 350
max-fds = 4100
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = ${CONTACT_MILLISECONDS}
ack-ms = 4000
drain-ms = ${DRAIN_MILLISECONDS}
grace-s = 8
loss-slack-ms = 200
config-ms = 2000
budget-ratio = 0.2
budget-window-s = 10
budget-slack = 202
recover-s = 12
stall_ms = 2500
ttl_max_s = 5
[platform]
address = "127.0.0.1:${storePort}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
`;
}

/** Returns the command that the deploy file runs on each machine. */
async function readCommand(): Promise<string[]> {
  const file = parse(await readFile(path.join(ROOT, 'deploy/system.toml'), 'utf8'));
  const { entry } = file.roles as Record<string, { run: string }>;
  return entry?.run.split(' ') ?? [];
}

/** Waits until a condition holds; throws after 20 s. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  description: string,
): Promise<void> {
  const until = performance.now() + READY_TIMEOUT_MILLISECONDS;
  while (performance.now() < until) {
    if (await condition()) return;
    await sleep(POLL_MILLISECONDS);
  }
  throw new Error(`Not in time: ${description}.`);
}

function fetchStatus(port: number, target: string): Promise<number> {
  return new Promise((resolve) => {
    const request = http.get(
      { host: '127.0.0.1', port, path: target, agent: false },
      (response) => {
        response.resume();
        resolve(response.statusCode ?? 0);
      },
    );
    request.on('error', () => resolve(0));
  });
}

function waitUntilReady({ name, ports }: Instance): Promise<void> {
  return waitUntil(
    async () => (await fetchStatus(ports.ready, '/ready')) === 200,
    `${name} is ready`,
  );
}

export class Deployment {
  readonly store: CaseStore;

  readonly instances: Instance[] = [];

  readonly #options: DeploymentOptions;

  #command: string[] = [];

  #directory = '';

  #storePort = 0;

  #seedPort = 0;

  constructor(options: DeploymentOptions) {
    this.#options = options;
    this.store = options.store ?? new PlatformStore();
  }

  /** Starts the store, which holds the configuration. */
  async startStore(): Promise<void> {
    const [storePort = 0] = await findFreePorts(1);
    this.#storePort = storePort;
    this.#command = await readCommand();
    this.#directory = await mkdtemp(path.join(os.tmpdir(), 'review-'));
    this.store.put('config', 'main', CONFIGURATION);
    await this.store.listen(storePort);
  }

  /** Starts all instances and waits until they are ready. */
  async startInstances(): Promise<void> {
    for (const zone of this.#options.zones) await this.#addInstance(zone);
    await Promise.all(this.instances.map((instance) => waitUntilReady(instance)));
  }

  /** Starts one more instance, without waiting until it is ready. */
  async #addInstance(zone: string): Promise<void> {
    const [front = 0, ready = 0, control = 0, directory = 0] = await findFreePorts(4);
    const ports = { front, ready, control, directory };
    this.#seedPort ||= control;
    const { storePortOf = (port: number) => Promise.resolve(port) } = this.#options;
    const storePort = await storePortOf(this.#storePort);
    const name = `front-${zone}-${this.instances.length + 1}`;
    const settingsFile = path.join(this.#directory, `${name}.toml`);
    await writeFile(settingsFile, formatSettings(name, zone, ports, storePort, this.#seedPort));
    this.instances.push({ name, process: this.#launch(settingsFile), ports });
  }

  /** Ends every process that was started, and removes the settings. */
  async stop(): Promise<void> {
    await Promise.all(
      this.instances.map(async ({ process: child }) => {
        if (child.exitCode !== null || child.signalCode !== null) return;
        const ended = once(child, 'exit');
        child.kill('SIGKILL');
        await ended;
      }),
    );
    await this.store.close();
    if (this.#directory !== '') await rm(this.#directory, { recursive: true, force: true });
  }

  /** Kills every process that is left, without waiting. */
  kill(): void {
    this.instances.forEach(({ process: child }) => child.kill('SIGKILL'));
  }

  #launch(settingsFile: string): ChildProcess {
    const [, ...parameters] = this.#command;
    return spawn(process.execPath, parameters, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, SESAMEDYKE_NODE_FILE: settingsFile },
      stdio: 'ignore',
    });
  }
}
