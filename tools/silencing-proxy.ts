/**
 * Passes connections on to a server of a test until they go silent, as when a firewall is replaced: bytes
 * vanish without a reset, while new connections work.
 */
import net from 'node:net';
import { findFreePorts } from './ports.js';

/** Which bytes vanish: those to the server, those from it, or both. */
export type SilentDirection = 'toServer' | 'fromServer' | 'both';

interface ProxiedConnection {
  readonly near: net.Socket;
  readonly far: net.Socket;
  /** The first line of the last request. */
  lastRequest: string;
  silence: SilentDirection | undefined;
}

const REQUEST_LINE = /^[A-Z]+ \S+ HTTP\/1\.1$/m;

export class SilencingProxy {
  readonly #connections = new Set<ProxiedConnection>();

  #server: net.Server | undefined;

  /** Which bytes vanish on connections that are made from now on; none by default. */
  silencesNew: SilentDirection | undefined;

  /** Number of connections that were made. */
  connectionCount = 0;

  /**
   * Starts a port that leads to the server.
   *
   * @param serverPort - The port of the server on 127.0.0.1.
   * @returns The port of the proxy.
   */
  async listen(serverPort: number): Promise<number> {
    const [port = 0] = await findFreePorts(1);
    const server = net.createServer((near) => this.#pass(near, serverPort));
    this.#server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', resolve);
    });
    return port;
  }

  /**
   * Silences connections that are open now.
   *
   * @param direction - Which bytes vanish.
   * @param isAffected - Whether a connection is affected, by the first line of its last request; all by default.
   * @returns The number of connections that are silent now.
   */
  silence(direction: SilentDirection, isAffected: (line: string) => boolean = () => true): number {
    const affected = [...this.#connections].filter(({ lastRequest }) => isAffected(lastRequest));
    affected.forEach((connection) => {
      connection.silence = direction;
    });
    return affected.length;
  }

  /** Closes the port and all connections. */
  close(): void {
    this.#connections.forEach(({ near, far }) => {
      near.destroy();
      far.destroy();
    });
    this.#server?.close();
  }

  #pass(near: net.Socket, serverPort: number): void {
    const far = net.connect({ host: '127.0.0.1', port: serverPort });
    const silence = this.silencesNew;
    const connection: ProxiedConnection = { near, far, lastRequest: '', silence };
    this.#connections.add(connection);
    this.connectionCount += 1;
    near.on('data', (part) => {
      connection.lastRequest = REQUEST_LINE.exec(part.toString())?.[0] ?? connection.lastRequest;
      if (connection.silence === undefined || connection.silence === 'fromServer') far.write(part);
    });
    far.on('data', (part) => {
      if (connection.silence === undefined || connection.silence === 'toServer') near.write(part);
    });
    [near, far].forEach((socket) => {
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        this.#connections.delete(connection);
        if (connection.silence !== undefined) return;
        near.destroy();
        far.destroy();
      });
    });
  }
}
