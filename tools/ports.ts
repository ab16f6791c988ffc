/** Finds free ports on loopback, below the range that the system uses for outgoing connections. */
import net from 'node:net';

const FIRST_PORT = 10_000;
const BLOCK_COUNT = 200;
const PORTS_PER_BLOCK = 100;
/** Gives processes with consecutive ids blocks that are far apart. */
const BLOCK_STRIDE = 37;

let nextOffset = 0;

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });
}

/**
 * Finds ports on which nothing listens. Each process starts in a block of ports of its own, so that
 * tests that run concurrently do not choose the same ports.
 *
 * @param count - The number of ports.
 * @returns Ports that have not been returned in this process before.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const block = (process.pid * BLOCK_STRIDE) % BLOCK_COUNT;
  const ports: number[] = [];
  while (ports.length < count) {
    const offset = (block * PORTS_PER_BLOCK + nextOffset) % (BLOCK_COUNT * PORTS_PER_BLOCK);
    nextOffset += 1;
    const port = FIRST_PORT + offset;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}
