/**
 * A replica that follows the users' pages: a plain service that answers calls, or an engine that holds all
 * layers and streams events. A case changes single answers through `answer`.
 */
import http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { PlatformStore } from '../../tools/stand-ins/platform-store.js';

/** A request that a replica began to work on. */
export interface Run {
  readonly requestId: string;
  readonly replicaId: string;
  readonly body: string;
  /** On the monotonic clock. */
  readonly at: number;
}

/** Answers a run in place of the replica's proper answer; returns false to leave it to that. */
export type Answer = (run: Run, response: http.ServerResponse) => boolean;

/** Options of {@link Replica}. */
export interface ReplicaOptions {
  readonly id: string;
  readonly service: string;
  readonly port: number;
  readonly zone: string;
  readonly store: PlatformStore;
  /** The kind of card of an engine; absent for a plain service. */
  readonly kind?: string;
  readonly slots: number;
  /** How long a call runs, or an engine works before it sends its first event. */
  readonly workMilliseconds: number;
  readonly onRun: (run: Run) => void;
}

const ANSWER_BYTES = 800;
const EVENTS = 20;
const EVENT_PAUSE_MILLISECONDS = 20;
const LAYERS = { from: 0, to: 8, version: 1 };
const QUEUED = 4;

/** The whole body with which a request is answered. */
export function createBody(requestId: string): string {
  return `answer to ${requestId} `.padEnd(ANSWER_BYTES, '.');
}

/** The whole stream with which a request is answered. */
export function createEvent(requestId: string, eventId: number): string {
  return `id: ${eventId}\ndata: ${requestId} ${eventId}\n\n`;
}

async function readBody(request: http.IncomingMessage): Promise<string> {
  let body = '';
  request.setEncoding('utf8');
  for await (const part of request) body += part as string;
  return body;
}

function sendJson(response: http.ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

export class Replica {
  readonly #options: ReplicaOptions;

  readonly #server: http.Server;

  #open = 0;

  #orders = 0;

  #isLeaving = false;

  /** Set by a case; undefined for a sound replica. */
  answer: Answer | undefined;

  constructor(options: ReplicaOptions) {
    this.#options = options;
    this.#server = http.createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
  }

  get id(): string {
    return this.#options.id;
  }

  /** Listens, and writes the replica's entry to the store. */
  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#options.port, '127.0.0.1', resolve);
    });
    this.register();
  }

  /** Ends as a process that crashes does; its entry stays in the store. */
  async crash(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  /** Reports to the store that the replica leaves; the store's acceptance is the acknowledgement. */
  drain(): void {
    this.#isLeaving = true;
    this.register();
  }

  /** Writes the replica's entry. */
  register(): void {
    const { id, service, port, zone, kind, slots, store } = this.#options;
    const engine = kind === undefined ? {} : { kind, layers: LAYERS, phase: 'both' };
    store.put('servers', id, {
      service,
      address: `127.0.0.1:${port}`,
      zone,
      version: 'v1',
      slots,
      state: this.#isLeaving ? 'draining' : 'ready',
      'cold-left-ms': 0,
      seq: 1,
      ...engine,
    });
  }

  async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { id } = this.#options;
    const body = await readBody(request);
    const { 'request-id': requestId, 'expect-instance': expected } = request.headers;
    const refuse = (status: number): void => {
      response.writeHead(status, { 'not-executed': '1', 'instance-id': id }).end();
    };
    if (this.#isLeaving) response.setHeader('connection', 'close');
    if (request.url === '/health') {
      response.writeHead(this.#isLeaving ? 503 : 200, { 'instance-id': id }).end();
    } else if (request.url === '/report') sendJson(response, 200, this.#describe());
    else if (request.url === '/order') Replica.#takeOrder(body, response);
    else if (typeof requestId !== 'string') refuse(400);
    else if (expected !== undefined && expected !== id) refuse(421);
    else if (this.#open >= this.#options.slots + QUEUED) refuse(503);
    else await this.#run(requestId, body, request, response);
  }

  #describe(): Record<string, unknown> {
    return {
      phase: 'both',
      models: [{ name: 'model', version: 1, adapters: [] }],
      busy: false,
      seq: this.#orders,
      queued: 0,
      active: this.#open,
      'kv-used': 0,
      'kv-total': 100_000,
      handles: 0,
      pace: 1,
      stalled: [],
      layers: LAYERS,
      kind: this.#options.kind,
    };
  }

  /** Orders that ask for what it holds are done; it has no room for other layers. */
  static #takeOrder(body: string, response: http.ServerResponse): void {
    const { op, from, to } = JSON.parse(body) as { op: string; from: number; to: number };
    if (op === 'repath') sendJson(response, 404, {});
    else sendJson(response, from === LAYERS.from && to === LAYERS.to ? 200 : 409, {});
  }

  async #run(
    requestId: string,
    body: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { id, kind, slots, workMilliseconds, onRun } = this.#options;
    const run = { requestId, replicaId: id, body, at: performance.now() };
    this.#open += 1;
    try {
      onRun(run);
      await sleep(workMilliseconds);
      if (response.destroyed || this.answer?.(run, response)) return;
      response.setHeader('request-id', requestId);
      response.setHeader('response-signature', `s.${id}.${requestId}`);
      response.setHeader('server-load', `${this.#open},0,${slots}`);
      if (kind === undefined) {
        const text = createBody(requestId);
        response.writeHead(200, { 'content-length': text.length }).end(text);
        return;
      }
      const lastEventId = Number(request.headers['last-event-id'] ?? 0);
      await Replica.#stream(requestId, lastEventId, response);
    } finally {
      this.#open -= 1;
    }
  }

  static async #stream(
    requestId: string,
    lastEventId: number,
    response: http.ServerResponse,
  ): Promise<void> {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    for (let eventId = lastEventId + 1; eventId <= EVENTS; eventId += 1) {
      if (response.destroyed) return;
      response.write(createEvent(requestId, eventId));
      await sleep(EVENT_PAUSE_MILLISECONDS);
    }
    response.end();
  }
}
