/**
 * Stand-in for a backend server of the platform: an engine that holds layers and streams events, or
 * a plain service that answers calls.
 */
import type http from 'node:http';
import { sleep } from '../../src/common/clock.js';
import { sendJson, startStandIn, type StandInRequest, type StandInServer } from './http-server.js';
import type { PlatformStore } from './platform-store.js';
import { NO_SERVER_FAULTS, type ServerFaults } from './server-faults.js';
import { endUnframed, sendStream, waitWhileSilent } from './server-stream.js';

/** Options of {@link PlatformServer}. */
export interface PlatformServerOptions {
  readonly id: string;
  readonly service: string;
  readonly port: number;
  readonly zone: string;
  readonly store: PlatformStore;
  /** The accelerator kind of an engine; absent for a plain service. */
  readonly kind?: string;
  /** The number of events in a complete stream. */
  readonly events?: number;
  /** The pause after each event of a stream. */
  readonly pauseMilliseconds?: number;
}

/** One request that the server executed, with the headers that matter to tests. */
export interface Run {
  readonly requestId: string;
  readonly tenant: string | undefined;
  readonly apiKey: string | undefined;
  readonly lastEventId: number;
  readonly hops: string | undefined;
  readonly promptPrefix: string | undefined;
  /** On the monotonic clock. */
  readonly arrivedAt: number;
}

const DEFAULT_EVENTS = 8;
const DEFAULT_PAUSE_MILLISECONDS = 20;

/** A stand-in backend server that registers itself in the stand-in store. */
export class PlatformServer {
  readonly faults: ServerFaults = { ...NO_SERVER_FAULTS };

  /** When it crashed on a request, on the monotonic clock. */
  readonly crashes: number[] = [];

  /** When callers' requests arrived, also rejected ones, on the monotonic clock. */
  readonly arrivals: number[] = [];

  /** All requests that arrived, also health checks, reports and orders, on the monotonic clock. */
  readonly contacts: { readonly at: number; readonly path: string }[] = [];

  /** When it asked for a pause, on the monotonic clock. */
  readonly pauses: number[] = [];

  readonly runs: Run[] = [];

  readonly orders: { readonly from: number; readonly to: number }[] = [];

  layers: { from: number; to: number; version: number } | null = null;

  readonly #options: PlatformServerOptions;

  #server: StandInServer | undefined;

  #orderSequence = 0;

  #isClosed = false;

  #mayRestart = true;

  /** Grows with each start under the same id. */
  #born = 1;

  constructor(options: PlatformServerOptions) {
    this.#options = options;
  }

  get id(): string {
    return this.#options.id;
  }

  get kind(): string | undefined {
    return this.#options.kind;
  }

  /** How often it crashed on a request. */
  get crashCount(): number {
    return this.crashes.length;
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  get port(): number {
    return this.#options.port;
  }

  get address(): string {
    return `127.0.0.1:${this.#options.port}`;
  }

  /** Starts listening and registers the server as ready. */
  async start(): Promise<void> {
    this.#server = await startStandIn(this.#options.port, (request) =>
      this.#handleRequest(request),
    );
    this.register('ready');
  }

  /** Writes the server's entry with the given state to the store. */
  register(state: string): void {
    const { id, service, zone, kind, store } = this.#options;
    const engine = kind === undefined ? {} : { kind, layers: this.layers, phase: 'both' };
    store.put('servers', id, {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 20,
      state,
      seq: 1,
      born: this.#born,
      ...engine,
    });
  }

  /**
   * Closes the server and its connections at once, as a crash would; its entry stays in the store.
   */
  async close(): Promise<void> {
    this.#mayRestart = false;
    await this.#endProcess();
  }

  async #endProcess(): Promise<void> {
    if (this.#isClosed) return;
    this.#isClosed = true;
    await this.#server?.close();
  }

  async #handleRequest(request: StandInRequest): Promise<void> {
    const { path, response, headers } = request;
    const { namedLimit, saysThatItLeaves, refusesAll, refusesProbes } = this.faults;
    this.contacts.push({ at: performance.now(), path });
    const isProbe = headers['request-id'] === undefined;
    if (!isProbe) {
      this.arrivals.push(performance.now());
      if (namedLimit !== undefined) response.setHeader('server-limit', namedLimit);
      if (saysThatItLeaves) response.setHeader('server-leaving', '1');
    }
    if (refusesAll && (refusesProbes || !isProbe)) this.#askForPause(response);
    if (this.faults.neverAnswers) {
      await new Promise<void>((resolve) => {
        response.on('close', resolve);
      });
      return;
    }
    await waitWhileSilent(this.faults);
    if (isProbe && refusesAll && refusesProbes) {
      response.writeHead(503, { 'not-executed': '1', 'instance-id': this.#options.id }).end();
    } else if (path === '/health')
      response.writeHead(200, { 'instance-id': this.#options.id }).end();
    else if (path === '/report') sendJson(response, 200, this.#buildReport());
    else if (path === '/order') this.#handleOrder(request);
    else if (headers['expect-instance'] !== this.#options.id) {
      response.writeHead(421, { 'instance-id': this.#options.id }).end();
    } else if (refusesAll) {
      response.writeHead(503, { 'not-executed': '1', 'at-server': this.address }).end();
    } else if (this.faults.unsignedStatus > 0) {
      const { unsignedStatus: status } = this.faults;
      response.writeHead(status, { 'request-id': headers['request-id'] }).end('not the server');
    } else await this.#handleRun(request);
  }

  #askForPause(response: http.ServerResponse): void {
    const { namedPause } = this.faults;
    if (namedPause === undefined) return;
    response.setHeader('retry-after', namedPause);
    this.pauses.push(performance.now());
  }

  #buildReport(): Record<string, unknown> {
    return {
      busy: false,
      seq: this.#orderSequence,
      layers: this.layers,
      pace: 1,
      stalled: [],
      born: this.#born,
    };
  }

  #handleOrder({ body, response }: StandInRequest): void {
    const { op, from, to, expected } = JSON.parse(body) as Record<string, number | string>;
    if (op !== 'place') {
      response.writeHead(404).end();
      return;
    }
    if (expected !== undefined && expected !== this.#orderSequence) {
      response.writeHead(409).end();
      return;
    }
    this.#orderSequence += 1;
    this.layers = { from: Number(from), to: Number(to), version: 1 };
    this.orders.push({ from: Number(from), to: Number(to) });
    this.register('ready');
    response.writeHead(202).end();
  }

  async #handleRun({ headers, body, response }: StandInRequest): Promise<void> {
    const requestId = String(headers['request-id']);
    this.runs.push({
      requestId,
      tenant: headers.tenant as string | undefined,
      apiKey: headers['api-key'] as string | undefined,
      lastEventId: Number(headers['last-event-id'] ?? 0),
      hops: headers['hop-count'] as string | undefined,
      promptPrefix: headers['prompt-prefix'] as string | undefined,
      arrivedAt: performance.now(),
    });
    if (this.faults.failedStatus > 0) {
      response.writeHead(this.faults.failedStatus, {
        'request-id': requestId,
        'response-signature': this.#options.id,
      });
      response.end('failed');
      return;
    }
    const { crashingBody, endsWithinCall } = this.faults;
    const isCrashing = body !== '' && body === crashingBody;
    if (isCrashing && this.faults.eventsBeforeCrash === 0 && !endsWithinCall) {
      await this.crash(response);
      return;
    }
    const answerId = this.faults.sendsWrongRequestId ? 'another' : requestId;
    const responseHeaders = { 'request-id': answerId, 'response-signature': this.#options.id };
    if (this.#options.kind === undefined) {
      await sleep(this.faults.callMilliseconds);
      if (endsWithinCall && (isCrashing || crashingBody === undefined))
        await this.#endWithinCall(response, responseHeaders, requestId);
      else this.#sendResponse(response, responseHeaders, requestId);
    } else {
      if (this.faults.unregistersWhileRunning)
        this.#options.store.remove('servers', this.#options.id);
      const { events = DEFAULT_EVENTS, pauseMilliseconds = DEFAULT_PAUSE_MILLISECONDS } =
        this.#options;
      await sendStream(this, response, {
        headers: responseHeaders,
        events,
        pauseMilliseconds,
        lastEventId: Number(headers['last-event-id'] ?? 0),
        eventsBeforeCrash: isCrashing ? this.faults.eventsBeforeCrash : Number.POSITIVE_INFINITY,
        promptPrefix: headers['prompt-prefix'] as string | undefined,
      });
    }
  }

  /** Ends the process and resets the connection, as a crash on a request does. */
  async crash(response: http.ServerResponse): Promise<void> {
    const { restartMilliseconds } = this.faults;
    if (this.#isClosed) return;
    this.crashes.push(performance.now());
    response.socket?.resetAndDestroy();
    await this.#endProcess();
    if (restartMilliseconds === undefined) return;
    await sleep(restartMilliseconds);
    await this.#startAgain();
  }

  /** Ends the process and starts another one under the same id. */
  async restart(): Promise<void> {
    await this.#endProcess();
    await this.#startAgain();
  }

  async #startAgain(): Promise<void> {
    if (!this.#mayRestart) return;
    this.#isClosed = false;
    this.#born += 1;
    this.#orderSequence = 0;
    this.layers = null;
    await this.start();
  }

  /** Ends the process: nothing listens any more, and the answer ends with its connection. */
  async closeInOrder(response: http.ServerResponse): Promise<void> {
    response.socket?.end();
    await this.#endProcess();
  }

  /** Begins an answer that its connection delimits, and ends the process. */
  async #endWithinCall(
    response: http.ServerResponse,
    responseHeaders: Record<string, string>,
    requestId: string,
  ): Promise<void> {
    response.removeHeader('transfer-encoding');
    response.writeHead(200, { ...responseHeaders, connection: 'close' });
    response.write(`ran ${requestId}`.slice(0, -1));
    await sleep(1);
    this.crashes.push(performance.now());
    await this.closeInOrder(response);
  }

  #sendResponse(
    response: http.ServerResponse,
    responseHeaders: Record<string, string>,
    requestId: string,
  ): void {
    if (this.faults.closesWithoutAnswer) {
      response.socket?.destroy();
      return;
    }
    const body = `ran ${requestId}`;
    if (this.faults.unframedEnd !== undefined) {
      response.removeHeader('transfer-encoding');
      response.writeHead(200, { ...responseHeaders, connection: 'close' });
      response.write(body.slice(0, -1));
      setImmediate(() => endUnframed(response, this.faults, body.slice(-1)));
      return;
    }
    response.writeHead(200, { ...responseHeaders, 'content-length': body.length });
    response.end(body);
    if (this.faults.sendsExtraResponse) {
      const { socket } = response;
      response.on('finish', () => {
        socket?.write('HTTP/1.1 200 OK\r\nRequest-Id: extra\r\nContent-Length: 5\r\n\r\nextra');
      });
    }
  }
}
