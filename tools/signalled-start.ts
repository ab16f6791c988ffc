/**
 * Starts an instance that gets signals before it listens for the first time, as one that the platform stops
 * while it starts.
 */
import net from 'node:net';

const SIGNALS: readonly NodeJS.Signals[] = ['SIGHUP', 'SIGTERM'];

/** What of Node.js listens for every server of the process. */
interface Listener {
  listen: (...options: unknown[]) => net.Server;
}

const prototype = net.Server.prototype as unknown as Listener;
const { listen } = prototype;
let isSignalled = false;

prototype.listen = function listenSignalled(this: net.Server, ...options: unknown[]): net.Server {
  if (!isSignalled) SIGNALS.forEach((signal) => process.kill(process.pid, signal));
  isSignalled = true;
  return listen.apply(this, options);
};

await import('../platform/main.js');
