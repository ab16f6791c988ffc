/** Runs one stand-in as a separate process: `stand-in-main <kind> <JSON options>`. */
import type { EngineSettings } from './stand-ins/engine-protocol.js';
import { startEngine } from './stand-ins/engine.js';
import { startInstanceList } from './stand-ins/instance-list.js';
import { startObjectApi } from './stand-ins/object-api.js';
import { startPlainService } from './stand-ins/plain-service.js';
import { startWeightStore } from './stand-ins/weight-store.js';

interface StandInOptions {
  readonly port: number;
  readonly lagMilliseconds?: number;
  readonly unitsPerSecond?: number;
  readonly engine?: Partial<EngineSettings>;
}

const STARTERS: Readonly<Record<string, (options: StandInOptions) => Promise<unknown>>> = {
  'object-api': ({ port }) => startObjectApi(port),
  'instance-list': ({ port, lagMilliseconds }) => startInstanceList(lagMilliseconds, port),
  'plain-service': ({ port }) => startPlainService(port),
  'weight-store': ({ port, unitsPerSecond }) => startWeightStore(unitsPerSecond, port),
  engine: ({ port, engine }) => startEngine(engine, port, () => process.exit(1)),
};

const [, , kind = '', json = '{}'] = process.argv;
const start = STARTERS[kind];
if (!start) throw new Error(`unknown kind of stand-in: ${kind}`);
await start(JSON.parse(json) as StandInOptions);
process.on('SIGTERM', () => process.exit(0));
