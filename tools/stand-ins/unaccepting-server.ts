/** Stand-in for a server to which no connection can be made, and which doesn't refuse one either. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import net from 'node:net';
import type { TestContext } from 'node:test';
import { sleep } from '../../src/common/clock.js';

const PROGRAM = `require('node:net').createServer().listen(0, '127.0.0.1', 1, function () {
  process.stdout.write(String(this.address().port));
});`;
/** More connections than wait at a listener that allows one. */
const FILLING_CONNECTIONS = 4;
const FILLING_MILLISECONDS = 200;

/**
 * Starts a process that listens, stops it, and fills its queue of new connections. Ends with the test.
 *
 * @returns The port.
 */
export async function startUnacceptingServer(context: TestContext): Promise<number> {
  const child = spawn(process.execPath, ['-e', PROGRAM], { stdio: ['ignore', 'pipe', 'ignore'] });
  context.after(() => child.kill('SIGKILL'));
  const [output] = (await once(child.stdout, 'data')) as [Buffer];
  child.kill('SIGSTOP');
  const port = Number(output.toString());
  const connections = Array.from({ length: FILLING_CONNECTIONS }, () =>
    net.connect(port, '127.0.0.1').on('error', () => undefined),
  );
  context.after(() => connections.forEach((connection) => connection.destroy()));
  await sleep(FILLING_MILLISECONDS);
  return port;
}
