/**
 * A replica of a plain service that follows the users' pages. A case changes single answers through `answer`.
 */
import http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { CaseStore } from './deployment.js';

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
  readonly store: CaseStore;
  readonly slots: number;
  /** How long a call runs. */
  readonly workMilliseconds: number;
  readonly onRun: (run: Run) => void;
}

const ANSWER_BYTES = 800;
const QUEUED = 4;

/** The whole body with which a request is answered. */
export function createBody(requestId: string): string {
  return `answer to ${requestId} `.padEnd(ANSWER_BYTES, '.');
}

async function readBody(request: http.IncomingMessage): Promise<string> {
  let body = '';
  request.setEncoding('utf8');
  for await (const part of request) body += part as string;
  return body;
}

export class Replica {
  readonly #options: ReplicaOptions;

  readonly #server: http.Server;

  #open = 0;

  #isLeaving = false;

  /** How much longer it is slow after its start, as its entry tells. */
  coldLeftMilliseconds = 0;

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
    const { id, service, port, zone, slots, store } = this.#options;
    store.put('servers', id, {
      service,
      address: `127.0.0.1:${port}`,
      zone,
      version: 'v1',
      slots,
      state: this.#isLeaving ? 'draining' : 'ready',
      'cold-left-ms': this.coldLeftMilliseconds,
      seq: 1,
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
    } else if (typeof requestId !== 'string') refuse(400);
    else if (expected !== undefined && expected !== id) refuse(421);
    else if (this.#open >= this.#options.slots + QUEUED) refuse(503);
    else await this.#run(requestId, body, response);
  }

  async #run(requestId: string, body: string, response: http.ServerResponse): Promise<void> {
    const { id, slots, workMilliseconds, onRun } = this.#options;
    const run = { requestId, replicaId: id, body, at: performance.now() };
    this.#open += 1;
    try {
      onRun(run);
      await sleep(workMilliseconds);
      if (response.destroyed || this.answer?.(run, response)) return;
      response.setHeader('request-id', requestId);
      response.setHeader('response-signature', `s.${id}.${requestId}`);
      response.setHeader('server-load', `${this.#open},0,${slots}`);
      const text = createBody(requestId);
      response.writeHead(200, { 'content-length': text.length }).end(text);
    } finally {
      this.#open -= 1;
    }
  }
}
