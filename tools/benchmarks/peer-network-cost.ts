/**
 * Measures what membership and the propagation of records cost an instance. The instances share
 * this process and exchange records over real loopback connections.
 */
import { readFileSync } from 'node:fs';
import { sleep } from '../../src/common/clock.js';
import { answerExchange, type LinkContext } from '../../src/peer/link-task.js';
import { Membership } from '../../src/peer/membership.js';
import { runPeerNetwork } from '../../src/peer/peer-network.js';
import { startPeerServer } from '../../src/peer/peer-server.js';
import type { ProcedureHandlers } from '../../src/peer/protocol.js';
import { RecordTable } from '../../src/peer/record-table.js';
import { createSilentLogger } from '../../src/telemetry/log.js';
import { createLoopbackAddress, waitFor } from '../daemon-group.js';
import { findFreePorts } from '../ports.js';
import { fitLine, type LineFit } from './line-fit.js';

/** The peer network of one instance, without the rest of a daemon. */
interface BenchmarkInstance {
  readonly table: RecordTable;
  readonly membership: Membership;
  readonly stop: () => Promise<void>;
}

interface InstanceCost {
  /** Processor time of an instance, in microseconds per second. */
  readonly processorMicrosecondsPerSecond: number;
  /** Bytes that an instance sends per second, including protocol headers. */
  readonly sentBytesPerSecond: number;
}

const MEASURED_SECONDS = 5;
const SETTLE_MILLISECONDS = 3000;
const INSTANCES_PER_DATA_CENTRE = 35;

/** Starts an instance that learns of the others through the one on the seed port. */
async function startInstance(
  index: number,
  port: number,
  seedPort: number,
): Promise<BenchmarkInstance> {
  const instance = `entry-${index}`;
  const table = new RecordTable();
  const tableName = Date.now() + index;
  const address = createLoopbackAddress(port);
  const membership = new Membership({
    self: {
      instance,
      dataCentre: `dc-${Math.floor(index / INSTANCES_PER_DATA_CENTRE)}`,
      region: 'region-1',
      callerAddress: address,
      operatorAddress: address,
      peerAddress: address,
    },
    incarnation: tableName,
    table,
    log: createSilentLogger(),
  });
  membership.markLive();
  const context: LinkContext = {
    instance,
    region: 'region-1',
    tableId: tableName,
    table,
    exchangeIntervalMilliseconds: 1000,
  };
  const rejectCall = (): never => {
    throw new Error('The benchmark serves only the exchange of records.');
  };
  const handlers: ProcedureHandlers = {
    exchange: (message) => answerExchange(context, message),
    claim: rejectCall,
    spendTicket: rejectCall,
    readOutcome: rejectCall,
    borrow: rejectCall,
  };
  const server = await startPeerServer(address, handlers);
  const stopController = new AbortController();
  const running = runPeerNetwork({
    context,
    membership,
    listSeedAddresses: () => [createLoopbackAddress(seedPort)],
    log: createSilentLogger(),
    signal: stopController.signal,
  });
  return {
    table,
    membership,
    stop: async () => {
      stopController.abort();
      await running;
      server.close();
    },
  };
}

/** Reads how many bytes the loopback interface has sent since the machine started. */
function readLoopbackSentBytes(): number {
  const interfaceLine = readFileSync('/proc/net/dev', 'utf8')
    .split('\n')
    .find((line) => line.includes('lo:'));
  return Number(interfaceLine?.split(':')[1]?.trim().split(/\s+/)[8] ?? 0);
}

/** Measures the average cost of an instance while all of them publish load records in turn. */
async function measureInstanceCost(
  instanceCount: number,
  recordsPerSecond: number,
): Promise<InstanceCost> {
  const ports = await findFreePorts(instanceCount);
  const instances = await Promise.all(
    ports.map((port, index) => startInstance(index, port, ports[0] ?? 0)),
  );
  await waitFor(
    'all instances list each other as live',
    () => instances.every((instance) => instance.membership.live.length === instanceCount),
    60_000,
  );
  await sleep(SETTLE_MILLISECONDS);
  const bytesBefore = readLoopbackSentBytes();
  const processorBefore = process.cpuUsage();
  const stepCount = MEASURED_SECONDS * 10;
  for (let step = 0; step < stepCount; step += 1) {
    const recordsDue =
      Math.floor(((step + 1) * recordsPerSecond) / 10) - Math.floor((step * recordsPerSecond) / 10);
    for (let count = 0; count < recordsDue; count += 1) {
      const recordNumber = step * 1000 + count;
      const instance = instances[recordNumber % instanceCount];
      const value = [recordNumber % 16, 0];
      instance?.table.put({
        kind: 'load',
        key: `engine-${recordNumber % 300}`,
        epoch: 1,
        counter: Date.now() * 1000 + count,
        value,
      });
    }
    await sleep(100);
  }
  const { user, system } = process.cpuUsage(processorBefore);
  const sentBytes = readLoopbackSentBytes() - bytesBefore;
  await Promise.all(instances.map((instance) => instance.stop()));
  return {
    processorMicrosecondsPerSecond: (user + system) / instanceCount / MEASURED_SECONDS,
    sentBytesPerSecond: sentBytes / instanceCount / MEASURED_SECONDS,
  };
}

/** Measures the cost of an instance against the number of instances and the rate of records. */
export async function measurePeerNetwork(): Promise<LineFit[]> {
  const costsByInstances: { x: number; cost: InstanceCost }[] = [];
  for (const instances of [8, 16, 32, 64])
    costsByInstances.push({ x: instances, cost: await measureInstanceCost(instances, 0) });
  const costsByRecordRate: { x: number; cost: InstanceCost }[] = [];
  for (const recordsPerSecond of [0, 20, 80, 160])
    costsByRecordRate.push({
      x: recordsPerSecond,
      cost: await measureInstanceCost(32, recordsPerSecond),
    });
  const fitField = (
    name: string,
    variedQuantity: string,
    unit: string,
    rows: typeof costsByInstances,
    field: keyof InstanceCost,
  ): LineFit =>
    fitLine(
      name,
      variedQuantity,
      unit,
      rows.map(({ x, cost }) => ({ x, y: cost[field] })),
    );
  return [
    fitField(
      'membership, processor time of an instance',
      'instances',
      'µs/s',
      costsByInstances,
      'processorMicrosecondsPerSecond',
    ),
    fitField(
      'membership, bytes sent by an instance',
      'instances',
      'bytes/s',
      costsByInstances,
      'sentBytesPerSecond',
    ),
    fitField(
      'load records, processor time of an instance',
      'records a second',
      'µs/s',
      costsByRecordRate,
      'processorMicrosecondsPerSecond',
    ),
    fitField(
      'load records, bytes sent by an instance',
      'records a second',
      'bytes/s',
      costsByRecordRate,
      'sentBytesPerSecond',
    ),
  ];
}
