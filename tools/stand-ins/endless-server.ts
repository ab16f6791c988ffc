/** Stand-in for a server in trouble whose answers have no end: it writes until the caller closes. */
import net from 'node:net';
import type { TestContext } from 'node:test';

/** What comes without end. */
export type EndlessPart = 'garbage' | 'headers' | 'interim' | 'body' | 'event';

/** A running server, and what it did. */
export interface EndlessServer {
  readonly port: number;
  part: EndlessPart;
  /** Bytes written to each connection so far, the newest last. */
  readonly written: number[];
  /** Connections that the caller has not closed. */
  readonly openConnections: () => number;
}

const FILLER = 'x'.repeat(65_536);
const HEADER_LINE = `X-Filler: ${'x'.repeat(1000)}\r\n`;
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nX-Filler: x\r\n\r\n';

function formatHead(requestId: string, contentType: string): string {
  return (
    `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: s\r\n` +
    `Content-Type: ${contentType}\r\nConnection: close\r\n\r\n`
  );
}

/** Returns what is written first and what is then repeated. */
const PARTS: Readonly<Record<EndlessPart, (requestId: string) => [string, string]>> = {
  garbage: () => [FILLER, FILLER],
  headers: () => ['HTTP/1.1 200 OK\r\n', HEADER_LINE.repeat(50)],
  interim: () => [INTERIM, INTERIM.repeat(1000)],
  body: (requestId) => [formatHead(requestId, 'text/plain'), FILLER],
  event: (requestId) => [`${formatHead(requestId, 'text/event-stream')}id: 1\ndata: `, FILLER],
};

/** Starts the server on a free port; it is closed when the test ends. */
export async function startEndlessServer(context: TestContext): Promise<EndlessServer> {
  const sockets = new Set<net.Socket>();
  const written: number[] = [];
  const endless = {
    port: 0,
    part: 'body' as EndlessPart,
    written,
    openConnections: () => sockets.size,
  };
  const server = net.createServer((socket) => {
    const index = written.push(0) - 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.once('data', (data) => {
      const requestId = /request-id: (\S+)/i.exec(data.toString())?.[1] ?? 'none';
      const [first, next] = PARTS[endless.part](requestId);
      const write = (text: string): void => {
        if (socket.destroyed) return;
        written[index] = (written[index] ?? 0) + text.length;
        socket.write(text, (error) => {
          if (!error) setImmediate(write, next);
        });
      };
      write(first);
    });
  });
  context.after(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  endless.port = (server.address() as net.AddressInfo).port;
  return endless;
}
