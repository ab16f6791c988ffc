/**
 * Runs a platform instance and writes a processor profile of a part of its life, without its start, to
 * the file named by PROFILE_FILE.
 */
import { subscribe } from 'node:diagnostics_channel';
import { writeFileSync } from 'node:fs';
import type http from 'node:http';
import { Session } from 'node:inspector';
import { sleep } from '../../src/common/clock.js';

const { PROFILE_FILE = '', PROFILE_DELAY_MILLISECONDS, PROFILE_MILLISECONDS } = process.env;

const counts = new Map<string, number>();

function count(direction: string, request: http.ClientRequest | http.IncomingMessage): void {
  const target = 'path' in request ? request.path : (request.url ?? '');
  const name = `${direction} ${target.split(/[?]/)[0]}`;
  counts.set(name, (counts.get(name) ?? 0) + 1);
}

subscribe('http.client.request.start', (message) =>
  count('sent', (message as { request: http.ClientRequest }).request),
);
subscribe('http.server.request.start', (message) =>
  count('received', (message as { request: http.IncomingMessage }).request),
);

async function recordProfile(): Promise<void> {
  await sleep(Number(PROFILE_DELAY_MILLISECONDS));
  const session = new Session();
  session.connect();
  session.post('Profiler.enable');
  session.post('Profiler.setSamplingInterval', { interval: 500 });
  session.post('Profiler.start');
  counts.clear();
  await sleep(Number(PROFILE_MILLISECONDS));
  const sorted = [...counts].sort(([, one], [, other]) => other - one).slice(0, 25);
  session.post('Profiler.stop', (_, { profile }) =>
    writeFileSync(PROFILE_FILE, JSON.stringify(profile)),
  );
  writeFileSync(
    `${PROFILE_FILE}.requests.json`,
    JSON.stringify(Object.fromEntries(sorted), undefined, 1),
  );
  session.disconnect();
}

void recordProfile();
await import('../../platform/main.js');
