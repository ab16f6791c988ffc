/** Stand-in for a faulty server: health checks and reports are answered properly, requests with given bytes. */
import net from 'node:net';
import type { TestContext } from 'node:test';

/** A caller's request, as far as a script needs it. */
export interface ScriptedRequest {
  readonly requestId: string;
  /** The event after which a stream resumes; 0 at its start. */
  readonly lastEventId: number;
  /** The number of callers' requests that came before it to all servers with the same script. */
  readonly index: number;
}

/** What is written for a request, and what becomes of the connection then. */
export interface ScriptedAnswer {
  readonly text: string;
  readonly end: 'close' | 'keep';
}

/** Chooses the answer to a request. */
export type AnswerScript = (request: ScriptedRequest) => ScriptedAnswer;

/** Servers with one script. */
export interface ScriptedServers {
  readonly servers: readonly { readonly id: string; readonly port: number }[];
  script: AnswerScript;
  /** Ids of the callers' requests that arrived, in order. */
  readonly requestIds: string[];
  /** The number of connections that are open at any of them. */
  readonly countConnections: () => number;
}

const REPORT = JSON.stringify({
  busy: false,
  seq: 1,
  layers: { from: 0, to: 8, version: 1 },
  pace: 1,
  stalled: [],
});

function formatProperAnswer(id: string, status: number, body: string): string {
  return (
    `HTTP/1.1 ${status} Any\r\nInstance-Id: ${id}\r\nContent-Type: application/json\r\n` +
    `Content-Length: ${body.length}\r\nConnection: close\r\n\r\n${body}`
  );
}

/** Answers by path; all other paths are those of callers. */
const PROPER_ANSWERS: Readonly<Record<string, (id: string) => string>> = {
  '/health': (id) => formatProperAnswer(id, 200, ''),
  '/report': (id) => formatProperAnswer(id, 200, REPORT),
  '/order': (id) => formatProperAnswer(id, 409, '{}'),
};

function answerRequest(socket: net.Socket, id: string, head: string, all: ScriptedServers): void {
  const path = /^[A-Z]+ ([^ ?]+)/.exec(head)?.[1] ?? '';
  const proper = PROPER_ANSWERS[path]?.(id);
  if (proper !== undefined) {
    socket.end(proper);
    return;
  }
  const requestId = /^request-id: (\S+)/im.exec(head)?.[1] ?? '';
  const lastEventId = Number(/^last-event-id: (\d+)/im.exec(head)?.[1] ?? 0);
  const index = all.requestIds.push(requestId) - 1;
  const { text, end } = all.script({ requestId, lastEventId, index });
  socket.write(text, 'latin1');
  if (end === 'close') socket.end();
}

async function listen(
  context: TestContext,
  sockets: Set<net.Socket>,
  onConnection: (socket: net.Socket) => void,
): Promise<number> {
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    onConnection(socket);
  });
  context.after(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as net.AddressInfo).port;
}

/**
 * Starts servers on free ports; they are closed when the test ends.
 *
 * @param context - The test.
 * @param count - The number of servers.
 * @returns The servers, whose script the test sets.
 */
export async function startScriptedServers(
  context: TestContext,
  count: number,
): Promise<ScriptedServers> {
  const servers: { id: string; port: number }[] = [];
  const sockets = new Set<net.Socket>();
  const all: ScriptedServers = {
    servers,
    countConnections: () => sockets.size,
    script: () => ({ text: '', end: 'close' }),
    requestIds: [],
  };
  for (let index = 0; index < count; index += 1) {
    const id = `scripted-${index}`;
    const port = await listen(context, sockets, (socket) => {
      socket.once('data', (data) => answerRequest(socket, id, data.toString('latin1'), all));
    });
    servers.push({ id, port });
  }
  return all;
}
