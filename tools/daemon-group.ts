/** Runs daemons as separate processes on loopback, for tests, the demo and the experiments. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Address } from '../src/common/address.js';
import { sleep } from '../src/common/clock.js';
import { fetchResponse } from '../src/common/http-client.js';
import { diffSettings, sendChange } from '../src/command-line/branch-client.js';
import { TeamSettings } from '../src/configuration/branch.js';
import type { SettingsInput } from '../src/settings/settings.js';
import { findFreePorts } from './ports.js';
import type { ListedInstance } from './stand-ins/instance-list.js';

/** A daemon of the group with its addresses and its current process. */
export interface DaemonProcess {
  readonly name: string;
  readonly dataCentre: string;
  readonly callerAddress: Address;
  readonly operatorAddress: Address;
  readonly peerAddress: Address;
  /** Returns the current process, which is a new one after each launch. */
  readonly getProcess: () => ChildProcess;
  /** Starts a new process with the same settings, after the previous one has ended. */
  readonly launch: () => void;
}

/** The location of a daemon. */
export interface DaemonLocation {
  readonly dataCentre: string;
  readonly region?: string;
}

/** Settings that all daemons of a group share. */
export type SharedSettings = Pick<
  SettingsInput,
  'timeLimits' | 'sizeLimits' | 'placement' | 'metrics'
>;

/** Options of {@link DaemonGroup}. */
export interface DaemonGroupOptions {
  readonly objectApiPort: number;
  readonly instanceListPort: number;
  readonly team?: string;
  readonly settings?: SharedSettings;
}

const DAEMON_PROGRAM = fileURLToPath(new URL('../src/daemon/main.js', import.meta.url));
const DEFAULT_WAIT_MILLISECONDS = 20_000;
const POLL_MILLISECONDS = 20;

/** The team settings that a test deployment uses unless it states others. */
export const DEFAULT_CONFIGURATION = {
  accounts: { planner: {}, dealer: { class: 'batch' } },
  models: { drafting: { model: 'drafting', version: '1' } },
  services: { bookings: { timeoutMilliseconds: 2000 } },
};

/**
 * Creates an address on 127.0.0.1.
 *
 * @param port - The TCP port.
 * @returns The address.
 */
export function createLoopbackAddress(port: number): Address {
  return { host: '127.0.0.1', port };
}

/**
 * Waits until a condition holds.
 *
 * @param description - Describes the condition in the error message.
 * @param condition - Checked every 20 ms.
 * @param milliseconds - The longest wait; 20 s by default.
 * @throws Error when the condition does not hold in time.
 */
export async function waitFor(
  description: string,
  condition: () => Promise<boolean> | boolean,
  milliseconds = DEFAULT_WAIT_MILLISECONDS,
): Promise<void> {
  const deadline = Date.now() + milliseconds;
  while (Date.now() < deadline) {
    if (await condition()) return;
    await sleep(POLL_MILLISECONDS);
  }
  throw new Error(`condition not met within ${milliseconds} ms: ${description}`);
}

/**
 * Requests a path with GET and parses the JSON response.
 *
 * @param address - The address of the HTTP server.
 * @param urlPath - The path, with its query.
 * @returns The value, or undefined if there is no response with status 200 and valid JSON.
 */
export async function tryFetchJson<Value>(
  address: Address,
  urlPath: string,
): Promise<Value | undefined> {
  try {
    const response = await fetchResponse({
      address,
      method: 'GET',
      path: urlPath,
      timeoutMilliseconds: 1000,
    });
    return response.status === 200 ? (JSON.parse(response.body.toString()) as Value) : undefined;
  } catch {
    return undefined;
  }
}

function isRunning(daemon: DaemonProcess): boolean {
  const child = daemon.getProcess();
  return child.exitCode === null && child.signalCode === null;
}

interface BackendStatus {
  readonly kind: string;
  readonly usable: boolean;
  readonly engine?: unknown;
}

async function isReady(daemon: DaemonProcess, members: number, backends: number): Promise<boolean> {
  const health = await tryFetchJson(daemon.callerAddress, '/v1/health');
  const memberList = await tryFetchJson<{ members: { state: string }[] }>(
    daemon.operatorAddress,
    '/v1/members',
  );
  const backendList = await tryFetchJson<{ backends: BackendStatus[] }>(
    daemon.operatorAddress,
    '/v1/backends',
  );
  const liveMembers = memberList?.members.filter((member) => member.state === 'live').length ?? 0;
  const usable = backendList?.backends.filter(
    (backend) => backend.usable && (backend.kind === 'service' || backend.engine),
  );
  return health !== undefined && liveMembers >= members && (usable?.length ?? 0) >= backends;
}

/**
 * Waits up to 20 s for a daemon's process to end.
 *
 * @param daemon - The daemon whose process is to end.
 * @returns The exit code, or null if a signal ended the process.
 */
export async function waitForExit(daemon: DaemonProcess): Promise<number | null> {
  await waitFor(`${daemon.name} has ended`, () => !isRunning(daemon));
  return daemon.getProcess().exitCode;
}

/** A group of daemon processes that share a platform and serve one team. */
export class DaemonGroup {
  readonly daemons: DaemonProcess[] = [];

  readonly team: string;

  readonly #options: DaemonGroupOptions;

  readonly #directory = mkdtempSync(path.join(tmpdir(), 'sesamedyke-'));

  constructor(options: DaemonGroupOptions) {
    this.#options = options;
    this.team = options.team ?? 'planning';
  }

  /** The daemon that was added first. */
  get first(): DaemonProcess {
    const [first] = this.daemons;
    if (!first) throw new Error('the group has no daemon');
    return first;
  }

  /**
   * Adds an instance to the platform's instance list, or replaces its entry.
   *
   * @param instance - The entry; it is live and on 127.0.0.1 in `region-1` unless stated otherwise.
   */
  async registerInstance(
    instance: Pick<ListedInstance, 'id' | 'kind' | 'port' | 'dataCentre'> & Partial<ListedInstance>,
  ): Promise<void> {
    await fetchResponse({
      address: createLoopbackAddress(this.#options.instanceListPort),
      method: 'POST',
      path: '/instances',
      body: JSON.stringify({ host: '127.0.0.1', region: 'region-1', state: 'live', ...instance }),
      timeoutMilliseconds: 1000,
    });
  }

  /**
   * Starts another daemon, with the first two of the group as seed peers, and adds it to the
   * instance list.
   *
   * @param place - The location of the daemon.
   * @returns The daemon, whose process need not be ready yet.
   */
  async addDaemon(place: DaemonLocation): Promise<DaemonProcess> {
    const name = `entry-${this.daemons.length + 1}`;
    const { dataCentre, region = 'region-1' } = place;
    const [callerPort = 0, operatorPort = 0, peerPort = 0] = await findFreePorts(3);
    const { objectApiPort, instanceListPort, settings } = this.#options;
    const addresses = {
      callerAddress: createLoopbackAddress(callerPort),
      operatorAddress: createLoopbackAddress(operatorPort),
      peerAddress: createLoopbackAddress(peerPort),
    };
    const instanceSettings: SettingsInput = {
      instance: name,
      dataCentre,
      region,
      ...addresses,
      platform: {
        objectApi: createLoopbackAddress(objectApiPort),
        instanceList: createLoopbackAddress(instanceListPort),
      },
      seedPeers: this.daemons.map((other) => other.peerAddress).slice(0, 2),
      logLevel: 'debug',
      ...settings,
    };
    const file = path.join(this.#directory, `${name}.jsonc`);
    writeFileSync(file, JSON.stringify(instanceSettings));
    let child = this.#spawn(name, file);
    const daemon: DaemonProcess = {
      name,
      dataCentre,
      callerAddress: addresses.callerAddress,
      operatorAddress: addresses.operatorAddress,
      peerAddress: addresses.peerAddress,
      getProcess: () => child,
      launch: () => {
        child = this.#spawn(name, file);
      },
    };
    this.daemons.push(daemon);
    await this.registerInstance({ id: name, kind: 'entry', port: peerPort, dataCentre, region });
    return daemon;
  }

  /**
   * Reads the log of a daemon.
   *
   * @param daemon - The daemon whose log to read.
   * @returns The log of all its processes so far, one entry per line.
   */
  readLog(daemon: DaemonProcess): string {
    return readFileSync(this.#getLogFile(daemon.name), 'utf8');
  }

  /**
   * Waits until every running daemon serves requests and knows all the others and all backend
   * servers.
   *
   * @param backends - The number of backend servers.
   */
  async waitUntilReady(backends: number): Promise<void> {
    const running = this.daemons.filter(isRunning);
    await Promise.all(
      running.map((daemon) =>
        waitFor(`${daemon.name} is ready`, () => isReady(daemon, running.length, backends)),
      ),
    );
  }

  /**
   * Writes the given settings to the team's branch, which must still be empty.
   *
   * @param settings - The settings of the team.
   * @returns The revision that the change made.
   */
  async configure(settings: unknown): Promise<number> {
    const { first } = this;
    await waitFor('the first daemon responds', async () => {
      const status = await tryFetchJson(first.operatorAddress, '/v1/status');
      return status !== undefined;
    });
    const edits = diffSettings(TeamSettings.parse({}), TeamSettings.parse(settings));
    return sendChange(first.operatorAddress, this.team, { baseRevision: 0, author: 'test', edits });
  }

  /** Kills every daemon with SIGKILL and removes their files. */
  async stop(): Promise<void> {
    this.daemons.forEach((daemon) => daemon.getProcess().kill('SIGKILL'));
    await Promise.all(this.daemons.map(waitForExit));
    rmSync(this.#directory, { recursive: true, force: true });
  }

  #getLogFile(name: string): string {
    return path.join(this.#directory, `${name}.log`);
  }

  #spawn(name: string, settingsFile: string): ChildProcess {
    const log = createWriteStream(this.#getLogFile(name), { flags: 'a' });
    const child = spawn(process.execPath, [DAEMON_PROGRAM, '--settings', settingsFile], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    return child;
  }
}
