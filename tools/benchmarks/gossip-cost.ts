/**
 * Measures the processor time that an instance spends on gossip, over the size of the fleet. All
 * instances' gossip runs in this process, round after round without pauses.
 *
 * Usage: node dist/tools/benchmarks/gossip-cost.js [instances] [rounds] [--urgent]
 * With --urgent, peers have to act on each new record at once, as during changes of the configuration.
 */
import { Gossip } from '../../src/gossip/gossip.js';
import type { PeerRecord } from '../../src/gossip/peer-record.js';
import { PeerTable } from '../../src/gossip/peer-table.js';
import { getHeartbeatInterval } from '../../src/gossip/record-interval.js';
import { createSilentLogger } from '../../src/telemetry/log.js';
import { createPeerRecord } from '../peer-record.js';
import { findFreePorts } from '../ports.js';

const [instanceCount = 77, roundCount = 30] = process.argv.slice(2).map(Number);
const isUrgent = process.argv.includes('--urgent');
const DATA_CENTRES = 3;
const LOADED_SERVERS = 12;
const EJECTED_SERVERS = 3;
const WARM_UP_ROUNDS = 10;

interface Node {
  readonly gossip: Gossip;
  readonly refresh: () => void;
}

function createRecord(index: number, port: number): PeerRecord {
  const servers = Array.from({ length: LOADED_SERVERS }, (_, offset) => `server-${index + offset}`);
  const suspects = servers.slice(0, EJECTED_SERVERS);
  return {
    ...createPeerRecord(`entry-${index}`),
    dataCentre: `dc-${index % DATA_CENTRES}`,
    peers: { host: '127.0.0.1', port },
    suspects,
    ejections: Object.fromEntries(suspects.map((id) => [id, [1000, 'unreachable']])),
    loads: Object.fromEntries(servers.map((id) => [id, [2, 4000]])),
    holdings: Object.fromEntries(suspects.map((id) => [id, [0, 8]])),
    limits: Object.fromEntries(servers.map((id) => [id, [20, 100]])),
    retries: { drafter: [100, 3], casebook: [50, 1] },
    leaving: [],
    changeCounter: 1,
    clock: 1000,
  };
}

async function startNode(index: number, signal: AbortSignal): Promise<Node> {
  const [port = 0] = await findFreePorts(1);
  let own = createRecord(index, port);
  const log = createSilentLogger();
  const gossip = new Gossip({
    address: own.peers,
    dataCentre: own.dataCentre,
    seeds: [firstAddress ?? own.peers],
    table: new PeerTable({ instance: own.instance, dataCentre: own.dataCentre, log }),
    ownRecord: () => own,
    dataCentreLoads: () => own.loads,
    onRecord: () => undefined,
    onRecords: () => undefined,
    documents: {},
    relay: { header: 'relayed', serve: () => undefined },
    log,
    signal,
  });
  await gossip.listen();
  firstAddress ??= own.peers;
  return {
    gossip,
    refresh: () => {
      const counter = own.counter + 1;
      own = { ...own, counter, changeCounter: isUrgent ? counter : 1 };
    },
  };
}

async function runRounds(nodes: readonly Node[], count: number): Promise<void> {
  for (let round = 0; round < count; round += 1)
    for (const { gossip, refresh } of nodes) {
      refresh();
      await gossip.runRound();
    }
}

let firstAddress: PeerRecord['peers'] | undefined;
const controller = new AbortController();
const nodes: Node[] = [];
for (let index = 0; index < instanceCount; index += 1)
  nodes.push(await startNode(index, controller.signal));
await runRounds(nodes, WARM_UP_ROUNDS);
const before = process.cpuUsage();
await runRounds(nodes, roundCount);
const { user, system } = process.cpuUsage(before);
const millisecondsPerRound = (user + system) / 1000 / roundCount / instanceCount;
const heartbeat = getHeartbeatInterval(instanceCount - 1);
process.stdout.write(
  `${JSON.stringify({
    instanceCount,
    isUrgent,
    millisecondsPerRound,
    coresPerInstance: millisecondsPerRound / heartbeat,
  })}\n`,
);
process.exit(0);
