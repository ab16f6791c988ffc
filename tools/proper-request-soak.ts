/**
 * Sends proper requests to a group of instances while faults come in series and overlap, and collects
 * every answer 3xx or 4xx that no backend server has signed.
 */
import { once } from 'node:events';
import { sleep } from '../src/common/clock.js';
import {
  PLATFORM_CONFIGURATION,
  relaunchInstance,
  type PlatformGroup,
  type PlatformInstance,
} from './platform-group.js';
import type { Random } from './random.js';
import { RawConnection, type RawResponse } from './raw-connection.js';
import type { PlatformServer } from './stand-ins/platform-server.js';
import type { StoreCopy } from './stand-ins/platform-store.js';
import type { ServerFaults } from './stand-ins/server-faults.js';

/** Options of {@link runProperRequestSoak}. */
export interface SoakOptions {
  readonly group: PlatformGroup;
  readonly random: Random;
  readonly seconds: number;
  readonly callers: number;
  /** The faults to choose from; all by default. */
  readonly faultNames?: readonly string[];
}

/** A proper request that was answered as if it were wrong. */
export interface DeniedRequest {
  readonly requestId: string;
  readonly instance: string;
  readonly atMilliseconds: number;
  readonly head: string;
}

/** What a soak saw. */
export interface SoakResult {
  /** Requests by status; 0 for those that got no complete answer. */
  readonly answers: Readonly<Record<number, number>>;
  readonly denied: readonly DeniedRequest[];
  /** The faults with their times in milliseconds, for the report of a failure. */
  readonly faults: readonly string[];
}

/** Statuses below 500 that are no rejection: too slow, not run, too many. */
const PROMISES = new Set([408, 421, 429]);
const LONGEST_FAULT_MILLISECONDS = 5000;
const LONGEST_SERVER_FAULT_MILLISECONDS = 1500;
const LONGEST_PAUSE_BETWEEN_FAULTS_MILLISECONDS = 900;
const COPY_INTERVAL_MILLISECONDS = 500;
/** The oldest copy that the store comes back from is 30 s old. */
const KEPT_COPIES = 60;
const LONGEST_STORE_ABSENCE_MILLISECONDS = 1000;
/** What others wrote is written again within this time of the store's return. */
const LONGEST_REWRITE_MILLISECONDS = 1500;
const GRACE_MILLISECONDS = 8500;
const ANSWER_TIMEOUT_MILLISECONDS = 2500;
const STRAY_BYTES = 'these bytes are no request\r\n\r\n';

function isDenial({ status, head }: RawResponse): boolean {
  const isRejection = status >= 300 && status < 500 && !PROMISES.has(status);
  return isRejection && !/^response-signature: /im.test(head);
}

/** One soak, from its first request to its result. */
class ProperRequestSoak {
  readonly #options: SoakOptions;

  readonly #startedAt = performance.now();

  readonly #answers: Record<number, number> = {};

  readonly #denied: DeniedRequest[] = [];

  readonly #faults: string[] = [];

  readonly #restarting = new Set<PlatformInstance>();

  readonly #copies: StoreCopy[] = [];

  #requestCount = 0;

  #configurationVersion = PLATFORM_CONFIGURATION.version;

  /** What the operator wrote last. */
  #configuration: unknown = PLATFORM_CONFIGURATION;

  constructor(options: SoakOptions) {
    this.#options = options;
  }

  async run(): Promise<SoakResult> {
    const { callers, group } = this.#options;
    await Promise.all([
      this.#copyStore(),
      this.#injectFaults(),
      ...Array.from({ length: callers }, () => this.#runCaller()),
    ]);
    group.instances.forEach(({ process: child }) => child.kill('SIGCONT'));
    return { answers: this.#answers, denied: this.#denied, faults: this.#faults };
  }

  get #elapsedMilliseconds(): number {
    return performance.now() - this.#startedAt;
  }

  get #isOver(): boolean {
    return this.#elapsedMilliseconds > this.#options.seconds * 1000;
  }

  /** Keeps connections for many requests, as callers do, and sometimes leaves or sends stray bytes. */
  async #runCaller(): Promise<void> {
    const { group, random } = this.#options;
    let connection: RawConnection | undefined;
    let instance = random.pick(group.instances);
    while (!this.#isOver) {
      if (!connection || connection.isClosed || random.next() < 0.05) {
        connection?.destroy();
        instance = random.pick(group.instances);
        connection = await RawConnection.open(instance.ports.front).catch(() => undefined);
      }
      const isUsable = connection && (await this.#sendRequest(connection, instance));
      if (!isUsable) {
        connection?.destroy();
        connection = undefined;
      }
      await sleep(random.next() * (random.next() < 0.05 ? 4000 : 60));
    }
    connection?.destroy();
  }

  /** Sends one request and records its answer; returns whether the connection can be kept. */
  async #sendRequest(connection: RawConnection, instance: PlatformInstance): Promise<boolean> {
    const { random } = this.#options;
    this.#requestCount += 1;
    const requestId = `soak-${this.#requestCount}`;
    await this.#writeInSegments(connection, this.#formatRequest(requestId));
    const sendsStrayBytes = random.next() < 0.03;
    if (sendsStrayBytes) {
      await sleep(random.next() * 20);
      connection.write(STRAY_BYTES);
    }
    const patience = random.next() < 0.1 ? 50 + random.next() * 400 : ANSWER_TIMEOUT_MILLISECONDS;
    const response = await connection.readResponse(patience);
    const status = response?.isComplete ? response.status : 0;
    this.#answers[status] = (this.#answers[status] ?? 0) + 1;
    if (response && isDenial(response)) {
      const atMilliseconds = Math.round(this.#elapsedMilliseconds);
      this.#denied.push({
        requestId,
        instance: instance.name,
        atMilliseconds,
        head: response.head,
      });
    }
    const isClosing = /^connection: close$/im.test(response?.head ?? '');
    return status !== 0 && !isClosing && !sendsStrayBytes;
  }

  #formatRequest(requestId: string): string {
    const { random } = this.#options;
    const [method, path] = random.pick([
      ['GET', '/lookups/'],
      ['GET', '/lookups/'],
      ['POST', '/bookings/'],
      ['POST', '/drafts/'],
    ] as const);
    const body = method === 'GET' ? '' : 'x'.repeat(1 + Math.floor(random.next() * 3000));
    const length = body === '' ? '' : `Content-Length: ${body.length}\r\n`;
    return (
      `${method} ${path}${requestId} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: ${requestId}\r\n` +
      `Deadline-Ms: 2500\r\nApi-Key: ${random.pick(['key-1', 'key-3'])}\r\n${length}\r\n${body}`
    );
  }

  async #writeInSegments(connection: RawConnection, text: string): Promise<void> {
    const { random } = this.#options;
    const bytes = random.next() < 0.3 ? 1 + Math.floor(random.next() * 200) : text.length;
    for (let start = 0; start < text.length; start += bytes) {
      connection.write(text.slice(start, start + bytes));
      if (bytes < text.length) await sleep(random.next() * 3);
    }
  }

  async #injectFaults(): Promise<void> {
    const handlers = this.#faultHandlers;
    const { random, faultNames: names = Object.keys(handlers) } = this.#options;
    const running: Promise<void>[] = [];
    while (!this.#isOver) {
      const name = random.pick(names);
      this.#faults.push(`${Math.round(this.#elapsedMilliseconds)} ${name}`);
      running.push(handlers[name]?.() ?? Promise.resolve());
      await sleep(random.next() * LONGEST_PAUSE_BETWEEN_FAULTS_MILLISECONDS);
    }
    await Promise.all(running);
  }

  get #faultHandlers(): Readonly<Record<string, () => Promise<void>>> {
    return {
      'an instance freezes': () => this.#freeze(),
      'an instance is killed': () => this.#restart('SIGKILL'),
      'an instance is stopped': () => this.#restart('SIGTERM'),
      'the store is down': () => this.#disturbStore('status', 503, 0),
      'the store falls silent': () => this.#disturbStore('neverAnswers', true, false),
      'the store loses its history': () => Promise.resolve(this.#options.group.store.dropHistory()),
      'the store comes back from an older copy': () => this.#comeBackFromCopy(),
      'the configuration changes': () => Promise.resolve(this.#changeConfiguration()),
      'a server refuses': () => this.#disturbServer('refusesAll', true, false),
      'a server falls silent': () => this.#disturbServer('neverAnswers', true, false),
      'a server closes': () => this.#disturbServer('closesWithoutAnswer', true, false),
      'a server confuses ids': () => this.#disturbServer('sendsWrongRequestId', true, false),
      'a server sends more': () => this.#disturbServer('sendsExtraResponse', true, false),
      'something else answers 404': () => this.#disturbServer('unsignedStatus', 404, 0),
      'something else answers 302': () => this.#disturbServer('unsignedStatus', 302, 0),
      'a server leaves': () => this.#letServerLeave(),
    };
  }

  async #freeze(): Promise<void> {
    const { group, random } = this.#options;
    const { process: child } = random.pick(group.instances);
    child.kill('SIGSTOP');
    await sleep(random.next() * LONGEST_FAULT_MILLISECONDS);
    child.kill('SIGCONT');
  }

  async #restart(signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const { group, random } = this.#options;
    const instance = random.pick(group.instances);
    if (this.#restarting.has(instance)) return;
    this.#restarting.add(instance);
    const { process: child } = instance;
    const ended = once(child, 'exit');
    child.kill('SIGCONT');
    child.kill(signal);
    await Promise.race([ended, sleep(GRACE_MILLISECONDS)]);
    if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL');
    await ended;
    relaunchInstance(instance);
    this.#restarting.delete(instance);
  }

  async #disturbStore<Name extends 'status' | 'neverAnswers'>(
    name: Name,
    faulty: PlatformGroup['store']['faults'][Name],
    normal: PlatformGroup['store']['faults'][Name],
    longestMilliseconds = LONGEST_FAULT_MILLISECONDS,
  ): Promise<void> {
    const { group, random } = this.#options;
    group.store.faults[name] = faulty;
    await sleep(random.next() * longestMilliseconds);
    group.store.faults[name] = normal;
  }

  async #copyStore(): Promise<void> {
    while (!this.#isOver) {
      this.#copies.push(this.#options.group.store.copy());
      if (this.#copies.length > KEPT_COPIES) this.#copies.shift();
      await sleep(COPY_INTERVAL_MILLISECONDS);
    }
  }

  /** The store is away, comes back from a copy, and operators and servers write again what the copy lacks. */
  async #comeBackFromCopy(): Promise<void> {
    const { group, random } = this.#options;
    const { store } = group;
    const copy = random.pick(this.#copies);
    await this.#disturbStore('status', 503, 0, LONGEST_STORE_ABSENCE_MILLISECONDS);
    const written = new Map(group.servers.map(({ id }) => [id, store.read('servers', id)]));
    store.comeBackFrom(copy);
    const found = new Map(group.servers.map(({ id }) => [id, store.read('servers', id)]));
    await sleep(random.next() * LONGEST_REWRITE_MILLISECONDS);
    written.forEach((spec, id) => {
      const isWrittenSince = store.read('servers', id) !== found.get(id);
      if (!isWrittenSince && spec !== undefined) store.put('servers', id, spec);
    });
    store.put('config', 'main', this.#configuration);
  }

  #pickPlainServer(): PlatformServer {
    const { group, random } = this.#options;
    return random.pick(group.servers.filter(({ kind }) => kind === undefined));
  }

  async #disturbServer<Name extends keyof ServerFaults>(
    name: Name,
    faulty: ServerFaults[Name],
    normal: ServerFaults[Name],
  ): Promise<void> {
    const { faults } = this.#pickPlainServer();
    faults[name] = faulty;
    await sleep(this.#options.random.next() * LONGEST_SERVER_FAULT_MILLISECONDS);
    faults[name] = normal;
  }

  async #letServerLeave(): Promise<void> {
    const server = this.#pickPlainServer();
    server.register('draining');
    await sleep(LONGEST_SERVER_FAULT_MILLISECONDS);
    server.register('ready');
  }

  /** Adds and removes routes and keys; those of the callers' requests stay in every version. */
  #changeConfiguration(): void {
    const { group, random } = this.#options;
    this.#configurationVersion += 1 + Math.floor(random.next() * 3);
    const version = this.#configurationVersion;
    const [planner, dealer] = PLATFORM_CONFIGURATION.tenants;
    const [, , lookups] = PLATFORM_CONFIGURATION.routes;
    const addedCount = Math.floor(random.next() * (random.next() < 0.2 ? 400 : 5));
    const addedRoutes = Array.from({ length: addedCount }, (_, index) => ({
      ...lookups,
      name: `added-${version}-${index}`,
      'path-prefix': `/added-${version}-${index}/`,
    }));
    this.#configuration = {
      ...PLATFORM_CONFIGURATION,
      version,
      routes: [...PLATFORM_CONFIGURATION.routes, ...addedRoutes],
      tenants: [
        { ...planner, 'api-keys': random.next() < 0.5 ? ['key-1'] : ['key-1', 'key-2'] },
        { ...dealer, 'api-keys': ['key-3', `key-of-${version}`] },
      ],
    };
    group.store.put('config', 'main', this.#configuration);
  }
}

/**
 * Runs a soak.
 *
 * @param options - The group, the source of chance, and how long and hard to press.
 * @returns What the callers saw.
 */
export function runProperRequestSoak(options: SoakOptions): Promise<SoakResult> {
  return new ProperRequestSoak(options).run();
}
