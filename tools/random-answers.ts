/** Odd answers of a server: what it may write in place of a response, and what becomes of the connection then. */
import { once } from 'node:events';
import net, { type AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import type { Address } from '../src/common/address.js';
import { sleep } from '../src/common/clock.js';
import type { Random } from './random.js';

/** What a server writes for one request, in two parts, and what becomes of the connection then. */
export interface Answer {
  readonly first: string;
  readonly second: string;
  readonly end: 'close' | 'reset' | 'keep';
}

const UPGRADE_ANSWER =
  'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n';
const OTHER_ANSWER = 'HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx';
const STATUS_LINES = [
  ...['200 OK', '200 OK', '200 OK', '200', '204 No Content', '304 Not Modified', '429 Too Many'],
  ...[
    '503 Busy',
    '000 Zero',
    '099 Low',
    '100 Continue',
    '101 Switching',
    '102 Processing',
    '103 Hints',
  ],
  ...['199 Any', '600 Any', '999 High', '1000 Higher', '20x Any', '-1 Any', ''],
].map((rest) => `HTTP/1.1 ${rest}\r\n`);
const OTHER_STATUS_LINES = [
  'HTTP/1.0 200 OK\r\n',
  'HTTP/2.0 200 OK\r\n',
  'garbage\r\n',
  '\r\n',
  '',
];
const HEADER_LINES = [
  ...[
    'Request-Id: a',
    'Response-Signature: s',
    'Not-Executed: 1',
    'Content-Type: text/event-stream',
  ],
  ...['Connection: close', 'Connection: keep-alive', 'Connection: Upgrade', 'Upgrade: h2c'],
  ...['Upgrade: websocket', 'Content-Length: 5', 'Content-Length: 5', 'Content-Length: 500'],
  ...['Content-Length: -1', 'Content-Length: 9999999999', 'Transfer-Encoding: chunked'],
  ...[
    'Transfer-Encoding: gzip, chunked',
    'Trailer: Expires',
    'Keep-Alive: timeout=0',
    'Expires: 0',
  ],
  ...[
    'Name with space: a',
    'Name : a',
    ': a',
    'No colon',
    ' folded',
    'Control: a\x01b',
    'Delete: a\x7fb',
  ],
  ...[
    'Latin: \xe9',
    'N\xe9: a',
    'Null: a\x00b',
    'Return: a\rb',
    'Set-Cookie: a=b',
    'Date: x',
    '__proto__: a',
  ],
  `Long: ${'a'.repeat(20_000)}`,
].map((line) => `${line}\r\n`);
const BODIES = [
  ...['', 'hello', 'hello', '5\r\nhello\r\n0\r\n\r\n', '5\r\nhello\r\n0\r\nExpires: 1\r\n\r\n'],
  ...[
    '5\r\nhel',
    'z\r\nhello\r\n',
    '5;a=b\r\nhello\r\n',
    'id: 1\ndata: 1\n\n',
    'x'.repeat(100_000),
  ],
];
const EXTRAS = [
  '',
  '',
  '',
  '\r\n',
  'extra bytes',
  OTHER_ANSWER,
  UPGRADE_ANSWER,
  '\x00\x16\x03\x01',
];
const INTERIM = ['HTTP/1.1 100 Continue\r\n\r\n', 'HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n'];

function pickMany(random: Random, items: readonly string[], maximum: number): string {
  const count = Math.floor(random.next() * (maximum + 1));
  return Array.from({ length: count }, () => random.pick(items)).join('');
}

/**
 * Creates an answer, mostly one that is odd somewhere.
 *
 * @param random - The source of all choices.
 * @returns The answer.
 */
export function createAnswer(random: Random): Answer {
  const statusLine = random.pick(random.next() < 0.9 ? STATUS_LINES : OTHER_STATUS_LINES);
  const interim = random.next() < 0.2 ? pickMany(random, INTERIM, 40) : '';
  const headers = pickMany(random, HEADER_LINES, 5);
  const rest = random.pick(BODIES) + random.pick(EXTRAS);
  const whole =
    random.next() < 0.1 ? UPGRADE_ANSWER + rest : `${interim}${statusLine}${headers}\r\n${rest}`;
  const cutAt = random.next() < 0.3 ? Math.floor(random.next() * whole.length) : whole.length;
  const splitAt = random.next() < 0.5 ? Math.floor(random.next() * cutAt) : cutAt;
  return {
    first: whole.slice(0, splitAt),
    second: whole.slice(splitAt, cutAt),
    end: random.pick(['close', 'reset', 'keep'] as const),
  };
}

const ENDS: Readonly<Record<Answer['end'], (socket: net.Socket) => unknown>> = {
  close: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
  keep: () => undefined,
};

async function writeAnswer(socket: net.Socket, { first, second, end }: Answer): Promise<void> {
  socket.write(first, 'latin1');
  if (second !== '') {
    await sleep(5);
    socket.write(second, 'latin1');
  }
  ENDS[end](socket);
}

/**
 * Starts a server that gives the answers whose index the requests' paths name.
 *
 * @param context - The test, at whose end the server is closed.
 * @param answers - The answers.
 * @returns The server's address, and the connections that are open.
 */
export async function startAnsweringServer(
  context: TestContext,
  answers: readonly Answer[],
): Promise<{ readonly address: Address; readonly sockets: ReadonlySet<net.Socket> }> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (data) => {
      const index = Number(/^POST \/(\d+) /.exec(data.toString('latin1'))?.[1]);
      const answer = answers[index];
      if (answer) void writeAnswer(socket, answer);
    });
  });
  context.after(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return { address: { host: '127.0.0.1', port }, sockets };
}
