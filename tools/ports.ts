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

/** Listens on a port for as long as the process lives, without keeping the process alive. */
function tryHold(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.unref();
      resolve(true);
    });
  });
}

/**
 * Claims a block of ports by holding its first port. Process ids alone do not separate blocks: two
 * processes whose ids differ by a multiple of the number of blocks would share one.
 */
async function claimBlock(): Promise<number> {
  const preferred = (process.pid * BLOCK_STRIDE) % BLOCK_COUNT;
  for (let attempt = 0; attempt < BLOCK_COUNT; attempt += 1) {
    const block = (preferred + attempt) % BLOCK_COUNT;
    if (await tryHold(FIRST_PORT + block * PORTS_PER_BLOCK)) return block;
  }
  throw new Error('Every block of test ports is in use.');
}

let claimedBlock: Promise<number> | undefined;

/**
 * Finds ports on which nothing listens. Each process claims a block of ports of its own, so that tests
 * that run concurrently do not choose the same ports.
 *
 * @param count - The number of ports.
 * @returns Ports that have not been returned in this process before.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    if (nextOffset + 1 >= PORTS_PER_BLOCK) {
      claimedBlock = undefined;
      nextOffset = 0;
    }
    claimedBlock ??= claimBlock();
    const block = await claimedBlock;
    nextOffset += 1;
    const port = FIRST_PORT + block * PORTS_PER_BLOCK + nextOffset;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/** Finds one port on which nothing listens. */
export async function findFreePort(): Promise<number> {
  const [port = 0] = await findFreePorts(1);
  return port;
}
