/** A proxy on loopback that can cut its connections off. */
import { once } from 'node:events';
import net from 'node:net';

export class Proxy {
  readonly #sockets = new Set<net.Socket>();

  #server: net.Server | undefined;

  /** While set, bytes and ends of connections wait on their way, as behind a partition. */
  #isHolding = false;

  readonly #waiting = new Set<() => void>();

  /** Begins or ends a partition; what waited goes on when it ends. */
  hold(isHolding: boolean): void {
    this.#isHolding = isHolding;
    if (isHolding) return;
    this.#waiting.forEach((go) => go());
    this.#waiting.clear();
  }

  /** Passes bytes and the end of one direction on. */
  #pass(from: net.Socket, to: net.Socket): void {
    const queue: (Buffer | undefined)[] = [];
    const send = (): void => {
      queue.splice(0).forEach((part) => (part === undefined ? to.end() : to.write(part)));
    };
    const add = (part: Buffer | undefined): void => {
      queue.push(part);
      if (this.#isHolding) this.#waiting.add(send);
      else send();
    };
    from.on('data', add);
    from.on('end', () => add(undefined));
    from.on('error', () => to.destroy());
  }

  /** Starts a port that leads to another one. */
  async listen(farPort: number): Promise<number> {
    const server = net.createServer({ allowHalfOpen: true }, (near) => {
      const far = net.connect({ host: '127.0.0.1', port: farPort, allowHalfOpen: true });
      [near, far].forEach((socket) => {
        this.#sockets.add(socket);
        socket.setNoDelay(true);
        socket.on('close', () => this.#sockets.delete(socket));
      });
      this.#pass(near, far);
      this.#pass(far, near);
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
