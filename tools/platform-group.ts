/**
 * Runs platform instances as separate processes. The store and the backend servers that they use
 * are stand-ins in the process of the test.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import http from 'node:http';
import os from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { sleep } from '../src/common/clock.js';
import type { CutMode } from './link-faults.js';
import { findFreePorts } from './ports.js';
import { PlatformServer, type PlatformServerOptions } from './stand-ins/platform-server.js';
import { PlatformStore } from './stand-ins/platform-store.js';

const LINK_FAULTS = new URL('./link-faults.js', import.meta.url).href;
export const PLATFORM_PROGRAM = fileURLToPath(new URL('../platform/main.js', import.meta.url));
/** As in `deploy/system.toml`. */
const MEMORY_OPTIONS = ['--max-old-space-size=192', '--max-semi-space-size=4'];
const MAXIMUM_CHECKS = 400;
const CHECK_INTERVAL_MILLISECONDS = 50;

/** A running instance, its process and its ports. */
export interface PlatformInstance {
  readonly name: string;
  /** The current process; another one after a restart. */
  process: ChildProcess;
  readonly ports: Readonly<Record<'front' | 'ready' | 'control' | 'directory', number>>;
  readonly settingsFile: string;
  /** The output of the process so far, in pieces as they arrived. */
  readonly log: string[];
}

/** The response to a call. */
export interface ReceivedResponse {
  /** The HTTP status code, or 0 if no complete response arrived. */
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** A request to an instance. */
export interface RequestOptions {
  readonly port: number;
  readonly method?: string;
  readonly path: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string;
  /** Called with each part of the response's body as it arrives. */
  readonly onPart?: (part: string) => void;
}

/**
 * Sends a request on a new connection and waits for the response.
 *
 * @param options - The port, path and content of the request.
 * @returns The response; status 0 if no complete one arrived. It never rejects.
 */
export function sendRequest(options: RequestOptions): Promise<ReceivedResponse> {
  const { port, method = 'GET', path: target, headers = {}, body = '', onPart } = options;
  return new Promise((resolve) => {
    const request = http.request(
      { host: '127.0.0.1', port, method, path: target, headers, agent: false },
      (response) => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (part: string) => {
          text += part;
          onPart?.(part);
        });
        const finish = (): void => {
          const status = response.complete ? (response.statusCode ?? 0) : 0;
          resolve({ status, headers: response.headers, body: text });
        };
        response.on('end', finish);
        response.on('error', finish);
      },
    );
    request.on('error', () => resolve({ status: 0, headers: {}, body: '' }));
    request.end(body);
  });
}

const ENGINE_CONFIGURATION = {
  slots: 20,
  'kv-token-bytes': 1000,
  models: [{ name: 'model', 'load-s': 0.1 }],
  step_ms: 1,
  per_seq_ms: 0.01,
  read_per_s: 100_000,
  loads_at_once: 6,
  usual: { prompt: 100, answer: 20 },
  layers: 8,
  'layer-mb': 100,
  'activation-bytes': 100,
  'pipe-mbps': 1000,
  kinds: [{ name: 'card', 'size-mb': 700, pace: 1, 'read-factor': 1 }],
};

/** The configuration in the store when a test begins. */
export const PLATFORM_CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'drafts',
      host: 'site.example',
      'path-prefix': '/drafts/',
      kind: 'streaming',
      'timeout-ms': 5000,
      'goal-ms': 500,
      priority: 1,
      service: 'drafter',
      'max-attempts': 2,
      'session-affinity': true,
      'stream-resume': true,
      'gap-target-ms': 200,
    },
    {
      name: 'bookings',
      host: 'site.example',
      'path-prefix': '/bookings/',
      kind: 'unsafe',
      'timeout-ms': 1000,
      'goal-ms': 200,
      priority: 2,
      service: 'casebook',
      'max-attempts': 1,
    },
    {
      name: 'lookups',
      host: 'site.example',
      'path-prefix': '/lookups/',
      kind: 'safe',
      'timeout-ms': 1000,
      'goal-ms': 200,
      priority: 2,
      service: 'casebook',
      'max-attempts': 2,
    },
  ],
  services: [
    { name: 'drafter', 'health-path': '/health', 'max-conns': 100, engine: ENGINE_CONFIGURATION },
    { name: 'casebook', 'health-path': '/health', 'max-conns': 100 },
  ],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 100_000,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15_000,
  },
  tenants: [
    { name: 'planner', 'api-keys': ['key-1', 'key-2'] },
    { name: 'dealer', 'api-keys': ['key-3'] },
  ],
};

interface SettingsValues {
  readonly name: string;
  readonly zone: string;
  readonly ports: PlatformInstance['ports'];
  readonly storePort: number;
  readonly seedPort: number;
}

function formatSettings({ name, zone, ports, storePort, seedPort }: SettingsValues): string {
  return `node = "${name}"
zone = "${zone}"
region = "region"
unknown-field = "ignored"
seeds = ["127.0.0.1:${seedPort}"]
[listen]
front = "127.0.0.1:${ports.front}"
ready = "127.0.0.1:${ports.ready}"
control = "127.0.0.1:${ports.control}"
directory = "127.0.0.1:${ports.directory}"
[bounds]
grace-s = 8
config-ms = 2000
contact-ms = 3000
budget-ratio = 0.2
budget-window-s = 10
budget-slack = 200
ttl_max_s = 5
[limits]
memory-mb = 160
[platform]
address = "127.0.0.1:${storePort}"
form = "objects"
`;
}

function launch(program: string, settingsFile: string, log: string[]): ChildProcess {
  const child = spawn(process.execPath, [...MEMORY_OPTIONS, '--import', LINK_FAULTS, program], {
    env: { ...process.env, SESAMEDYKE_NODE_FILE: settingsFile },
    stdio: ['ignore', 'pipe', 'pipe', 'ipc'],
  });
  child.stdout?.on('data', (part: Buffer) => log.push(part.toString()));
  child.stderr?.on('data', (part: Buffer) => log.push(part.toString()));
  return child;
}

/** Starts the process of an instance that has ended once more, without waiting until it is ready. */
export function relaunchInstance(instance: PlatformInstance, program = PLATFORM_PROGRAM): void {
  instance.process = launch(program, instance.settingsFile, instance.log);
}

/**
 * Cuts an instance off from all servers of its group, or ends that.
 *
 * @param group - The group.
 * @param instance - The instance; a later process of it isn't cut.
 * @param mode - How the cut shows; undefined ends it.
 */
export function cutFromServers(
  group: PlatformGroup,
  instance: PlatformInstance,
  mode: CutMode | undefined,
): void {
  const ports = group.servers.map(({ port }) => port);
  instance.process.send(mode === undefined ? { ports } : { ports, mode });
}

/** Options of {@link PlatformGroup}. */
export interface PlatformGroupOptions {
  /** Returns the port at which instances reach the store; the store's own by default. */
  readonly storePortOf?: (storePort: number) => Promise<number>;
}

/** A store, backend servers and instances under the control of a test. */
export class PlatformGroup {
  readonly store = new PlatformStore();

  readonly servers: PlatformServer[] = [];

  readonly instances: PlatformInstance[] = [];

  readonly #options: PlatformGroupOptions;

  #storePort = 0;

  #seedPort = 0;

  #directory = '';

  constructor(options: PlatformGroupOptions = {}) {
    this.#options = options;
  }

  /** Writes the initial configuration to the store and starts the store. */
  async start(): Promise<void> {
    const [storePort = 0] = await findFreePorts(1);
    const { storePortOf = (port: number) => Promise.resolve(port) } = this.#options;
    this.#storePort = await storePortOf(storePort);
    this.#directory = await mkdtemp(path.join(os.tmpdir(), 'platform-group-'));
    this.store.put('config', 'main', PLATFORM_CONFIGURATION);
    await this.store.listen(storePort);
  }

  /** Starts a backend server, which registers itself in the store. */
  async addServer(
    options: Omit<PlatformServerOptions, 'port' | 'store' | 'zone'> & { readonly zone?: string },
  ): Promise<PlatformServer> {
    const [port = 0] = await findFreePorts(1);
    const server = new PlatformServer({ zone: 'zone-a', ...options, port, store: this.store });
    await server.start();
    this.servers.push(server);
    return server;
  }

  /** Starts an instance without waiting until it is ready. */
  async addInstance(
    name: string,
    program = PLATFORM_PROGRAM,
    zone = 'zone-a',
  ): Promise<PlatformInstance> {
    const [front = 0, ready = 0, control = 0, directory = 0] = await findFreePorts(4);
    const ports = { front, ready, control, directory };
    this.#seedPort ||= control;
    const file = path.join(this.#directory, `${name}.toml`);
    const storePort = this.#storePort;
    const seedPort = this.#seedPort;
    await writeFile(file, formatSettings({ name, zone, ports, storePort, seedPort }));
    const log: string[] = [];
    const instance = { name, process: launch(program, file, log), ports, settingsFile: file, log };
    this.instances.push(instance);
    return instance;
  }

  /** Starts an instance and waits until it is ready. */
  async addReadyInstance(
    name: string,
    program = PLATFORM_PROGRAM,
    zone = 'zone-a',
  ): Promise<PlatformInstance> {
    const instance = await this.addInstance(name, program, zone);
    await waitUntil(async () => {
      const answer = await sendRequest({ port: instance.ports.ready, path: '/ready' });
      return answer.status === 200;
    }, `${name} is ready`);
    return instance;
  }

  /** Kills all instances, stops the servers and the store, and removes the settings files. */
  async stop(): Promise<void> {
    await Promise.all(
      this.instances.map(async ({ process: child }) => {
        if (child.exitCode !== null || child.signalCode !== null) return;
        child.kill('SIGKILL');
        await once(child, 'exit');
      }),
    );
    await Promise.all(this.servers.map((server) => server.close()));
    await this.store.close();
    await rm(this.#directory, { recursive: true, force: true });
  }
}

/**
 * Waits until a condition holds.
 *
 * @param condition - Checked every 50 ms.
 * @param description - Describes the condition in the error message.
 * @throws Error when the condition does not hold within 20 s.
 */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  description: string,
): Promise<void> {
  for (let checks = 0; checks < MAXIMUM_CHECKS; checks += 1) {
    if (await condition()) return;
    await sleep(CHECK_INTERVAL_MILLISECONDS);
  }
  throw new Error(`condition not met in time: ${description}`);
}
