/**
 * Measures whether following the object store costs memory over time: watches follow each other as fast as the store
 * answers, so that minutes stand for days. `node --expose-gc dist/tools/benchmarks/watch-memory.js [minutes]` prints the
 * heap each minute, after a collection. The store runs in the same process, so that its heap is included.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { createStoreClient } from '../../platform/store-client.js';
import { Confirmation } from '../../src/store/confirmation.js';
import { followObjects } from '../../src/store/follow-objects.js';
import { createSilentLogger } from '../../src/telemetry/log.js';
import { findFreePort } from '../ports.js';
import { PlatformStore } from '../stand-ins/platform-store.js';

const MILLISECONDS_PER_MINUTE = 60_000;
const BYTES_PER_KILOBYTE = 1024;
const DEFAULT_MINUTES = 20;
const BOUNDS = {
  waitMilliseconds: 5,
  allowanceMilliseconds: 2000,
  slowAllowanceMilliseconds: 2000,
  newConnectionTimeoutMilliseconds: 2000,
};

function measureHeap(): number {
  globalThis.gc?.();
  return Math.round(process.memoryUsage().heapUsed / BYTES_PER_KILOBYTE);
}

const minutes = Number(process.argv[2] ?? DEFAULT_MINUTES);
const port = await findFreePort();
const store = new PlatformStore();
await store.listen(port);
const end = new AbortController();
let watches = 0;
const following = followObjects({
  store: createStoreClient({ address: { host: '127.0.0.1', port } }),
  objectKind: 'servers',
  confirmation: new Confirmation(BOUNDS),
  onList: () => undefined,
  onChanges: () => undefined,
  onStoreAnswer: () => {
    watches += 1;
  },
  log: createSilentLogger(),
  signal: end.signal,
});
process.stdout.write('| minute | watches | heap, KB |\n| --- | --- | --- |\n');
for (let minute = 1; minute <= minutes; minute += 1) {
  await sleep(MILLISECONDS_PER_MINUTE);
  process.stdout.write(`| ${minute} | ${watches} | ${measureHeap()} |\n`);
}
end.abort();
await following;
await store.close();
