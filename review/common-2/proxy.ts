/** A proxy on loopback that can cut its connections off. */
import { once } from 'node:events';
import net from 'node:net';

export class Proxy {
  readonly #sockets = new Set<net.Socket>();

  #server: net.Server | undefined;

  /** Starts a port that leads to another one. */
  async listen(farPort: number): Promise<number> {
    const server = net.createServer((near) => {
      const far = net.connect({ host: '127.0.0.1', port: farPort });
      [near, far].forEach((socket) => {
        this.#sockets.add(socket);
        socket.setNoDelay(true);
        socket.on('error', () => undefined);
        socket.on('close', () => {
          this.#sockets.delete(socket);
          near.destroy();
          far.destroy();
        });
      });
      near.pipe(far);
      far.pipe(near);
    });
    this.#server = server;
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    return (server.address() as net.AddressInfo).port;
  }

  /** Cuts off all connections that are open now. */
  cutOff(): number {
    const count = this.#sockets.size / 2;
    this.#sockets.forEach((socket) => socket.destroy());
    return count;
  }

  close(): void {
    this.cutOff();
    this.#server?.close();
  }
}
