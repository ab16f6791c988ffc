/**
 * Stand-in for a replica of a plain service, in a process of its own: `plain-main <JSON>`. A request whose body is
 * `deadly` ends the process some time after it has begun to run it, also if its caller has left by then.
 */
import http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

/** How the replica behaves. */
export interface PlainOptions {
  readonly id: string;
  readonly port: number;
  /** How long it runs before it ends. */
  readonly deadlyMilliseconds: number;
}

const options = JSON.parse(process.argv[2] ?? '{}') as PlainOptions;

async function run(
  request: http.IncomingMessage,
  body: string,
  response: http.ServerResponse,
): Promise<void> {
  const requestId = String(request.headers['request-id']);
  process.send?.({ kind: 'run', requestId, body });
  if (body === 'deadly') {
    await sleep(options.deadlyMilliseconds);
    process.kill(process.pid, 'SIGKILL');
    return;
  }
  await sleep(30);
  response.writeHead(200, {
    'request-id': requestId,
    'response-signature': `signed-${requestId}`,
    'server-load': '1,0,6',
    'content-length': 4,
  });
  response.end('done');
}

const server = http.createServer((request, response) => {
  const parts: Buffer[] = [];
  request.on('data', (part: Buffer) => parts.push(part));
  request.on('end', () => {
    if (request.url === '/health') response.writeHead(200, { 'instance-id': options.id }).end();
    else if (request.headers['expect-instance'] !== options.id)
      response.writeHead(421, { 'instance-id': options.id }).end();
    else void run(request, Buffer.concat(parts).toString(), response);
  });
});
server.listen(options.port, '127.0.0.1', () => process.send?.({ kind: 'listening' }));
// Ends with its parent.
process.on('disconnect', () => process.kill(process.pid, 'SIGKILL'));
