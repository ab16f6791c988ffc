/**
 * Stand-in for an engine, in a process of its own: `engine-main <JSON>`. Holds the layers that it is ordered to hold,
 * and streams numbered events. Tells its parent what it runs and which layers it holds.
 */
import http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

/** How the engine behaves. */
export interface EngineOptions {
  readonly id: string;
  readonly port: number;
  readonly events: number;
  readonly pauseMilliseconds: number;
  /** Whether its streams have neither a length nor chunks, so that the connection ends them. */
  readonly isUnframed: boolean;
}

/** What the engine tells its parent. */
export type EngineMessage =
  | { readonly kind: 'listening' }
  | { readonly kind: 'layers'; readonly from: number; readonly to: number }
  | { readonly kind: 'run'; readonly requestId: string; readonly lastEventId: number }
  | { readonly kind: 'event'; readonly requestId: string; readonly event: number };

const options = JSON.parse(process.argv[2] ?? '{}') as EngineOptions;
let layers: { from: number; to: number; version: number } | null = null;
let sequence = 0;

function tell(message: EngineMessage): void {
  process.send?.(message);
}

function sendJson(response: http.ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

async function readText(request: http.IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts).toString();
}

function obey(text: string, response: http.ServerResponse): void {
  const { op, from, to, expected } = JSON.parse(text) as Record<string, unknown>;
  if (op !== 'place') sendJson(response, 400, {});
  else if (expected !== undefined && expected !== sequence) sendJson(response, 409, {});
  else {
    sequence += 1;
    layers = { from: Number(from), to: Number(to), version: 1 };
    tell({ kind: 'layers', from: layers.from, to: layers.to });
    sendJson(response, 202, {});
  }
}

async function run(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
  const requestId = String(request.headers['request-id']);
  const lastEventId = Number(request.headers['last-event-id'] ?? 0);
  tell({ kind: 'run', requestId, lastEventId });
  if (options.isUnframed) response.removeHeader('transfer-encoding');
  response.writeHead(200, {
    'request-id': requestId,
    'response-signature': `signed-${requestId}`,
    'content-type': 'text/event-stream',
    connection: 'close',
  });
  for (let id = lastEventId + 1; id <= options.events && !response.destroyed; id += 1) {
    response.write(`id: ${id}\ndata: piece ${id}\n\n`);
    tell({ kind: 'event', requestId, event: id });
    await sleep(options.pauseMilliseconds);
  }
  response.end();
}

async function handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
  const text = await readText(request);
  if (request.url === '/health') response.writeHead(200, { 'instance-id': options.id }).end();
  else if (request.url === '/report')
    sendJson(response, 200, {
      phase: 'both',
      models: [{ name: 'model', version: 1, adapters: [] }],
      busy: false,
      seq: sequence,
      queued: 0,
      active: 0,
      'kv-used': 0,
      'kv-total': 100_000,
      handles: 0,
      layers,
      kind: 'card',
      pace: 1,
      stalled: [],
    });
  else if (request.url === '/order') obey(text, response);
  else if (request.headers['expect-instance'] !== options.id)
    response.writeHead(421, { 'instance-id': options.id }).end();
  else await run(request, response);
}

const server = http.createServer((request, response) => {
  response.on('error', () => undefined);
  handle(request, response).catch(() => response.destroy());
});
server.listen(options.port, '127.0.0.1', () => tell({ kind: 'listening' }));
// Ends with its parent.
process.on('disconnect', () => process.kill(process.pid, 'SIGKILL'));
