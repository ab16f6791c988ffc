/**
 * Measures what requests, tokens and open streams cost a daemon process, and how many calls idle
 * daemons make to the platform.
 */
import http from 'node:http';
import { sleep } from '../../src/common/clock.js';
import { sendRequest, requestStream } from '../caller.js';
import { tryFetchJson } from '../daemon-group.js';
import { startFleet, type Fleet } from '../fleet.js';
import { fitLine, type LineFit } from './line-fit.js';

/** The fields read from a daemon's `/v1/status`. */
interface Status {
  readonly processorMicroseconds: number;
  readonly memoryBytes: { readonly resident: number; readonly heap: number };
}

const REQUESTS_PER_POINT = 120;
const CONCURRENT_REQUESTS = 12;
const MEASURED_CALL_SECONDS = 5;
const CONCURRENT_CALLS = 64;

async function fetchStatus(fleet: Fleet): Promise<Status> {
  const status = await tryFetchJson<Status>(fleet.first.operatorAddress, '/v1/status');
  if (!status) throw new Error('The daemon did not answer the status request.');
  return status;
}

function startSingleDaemonFleet(slots: number, stepMilliseconds = 5): Promise<Fleet> {
  return startFleet({
    instances: [{ dataCentre: 'dc-a' }],
    engines: [{ slots, queueLimit: slots, stepMilliseconds }],
    services: [{ service: 'bookings' }, { service: 'bookings' }],
    configuration: {
      accounts: { planner: { requestsPerSecond: 1_000_000 } },
      models: { drafting: { model: 'drafting', version: '1' } },
      services: { bookings: {} },
    },
  });
}

/** Measures a daemon's processor time for a request against its tokens, after a warm-up. */
export async function measureTokenCost(): Promise<LineFit[]> {
  const fleet = await startSingleDaemonFleet(64);
  const points = [];
  try {
    for (const tokenCount of [1, 20, 60, 120]) {
      const agent = new http.Agent({ keepAlive: true });
      const sendRequests = async (count: number): Promise<void> => {
        for (let sentCount = 0; sentCount < count; sentCount += 1) {
          const body = {
            model: 'drafting',
            prompt: `${tokenCount}/${count}/${sentCount}`,
            max_tokens: tokenCount,
          };
          await requestStream(fleet.first.callerAddress, body, { agent });
        }
      };
      await Promise.all(Array.from({ length: CONCURRENT_REQUESTS }, () => sendRequests(1)));
      const statusBefore = await fetchStatus(fleet);
      await Promise.all(
        Array.from({ length: CONCURRENT_REQUESTS }, () =>
          sendRequests(REQUESTS_PER_POINT / CONCURRENT_REQUESTS),
        ),
      );
      const statusAfter = await fetchStatus(fleet);
      agent.destroy();
      points.push({
        x: tokenCount,
        y:
          (statusAfter.processorMicroseconds - statusBefore.processorMicroseconds) /
          REQUESTS_PER_POINT,
      });
    }
    return [
      fitLine('generation, processor time of the daemon', 'tokens of a request', 'µs', points),
    ];
  } finally {
    await fleet.stop();
  }
}

/** Measures the resident memory of a daemon against its number of open streams. */
export async function measureStreamMemory(): Promise<LineFit[]> {
  const fleet = await startSingleDaemonFleet(2000, 1000);
  const points = [];
  const stopStreams = new AbortController();
  try {
    let openCount = 0;
    for (const streamCount of [100, 200, 400, 800]) {
      while (openCount < streamCount) {
        openCount += 1;
        const body = { model: 'drafting', prompt: `stream ${openCount}`, max_tokens: 30_000 };
        void requestStream(fleet.first.callerAddress, body, { signal: stopStreams.signal });
        await sleep(2);
      }
      await sleep(3000);
      const { memoryBytes } = await fetchStatus(fleet);
      points.push({ x: streamCount, y: memoryBytes.resident });
    }
    return [
      fitLine('open streams, resident memory of the daemon', 'open streams', 'bytes', points),
    ];
  } finally {
    stopStreams.abort();
    await fleet.stop();
  }
}

/** Measures how many calls to a plain service one daemon forwards, and their processor time. */
export async function measureServiceCalls(): Promise<{
  callsPerSecond: number;
  microsecondsPerCall: number;
}> {
  const fleet = await startSingleDaemonFleet(64);
  try {
    const agent = new http.Agent({ keepAlive: true });
    let completedCount = 0;
    const callUntil = async (endAt: number): Promise<void> => {
      while (performance.now() < endAt) {
        const answer = await sendRequest(
          fleet.first.callerAddress,
          'GET',
          '/v1/services/bookings/slots',
          '',
          { agent },
        );
        if (answer.outcome === 'completed') completedCount += 1;
      }
    };
    const runCallers = (seconds: number): Promise<void[]> => {
      const endAt = performance.now() + seconds * 1000;
      return Promise.all(Array.from({ length: CONCURRENT_CALLS }, () => callUntil(endAt)));
    };
    await runCallers(2);
    completedCount = 0;
    const statusBefore = await fetchStatus(fleet);
    await runCallers(MEASURED_CALL_SECONDS);
    const statusAfter = await fetchStatus(fleet);
    agent.destroy();
    const usedMicroseconds = statusAfter.processorMicroseconds - statusBefore.processorMicroseconds;
    return {
      callsPerSecond: completedCount / MEASURED_CALL_SECONDS,
      microsecondsPerCall: usedMicroseconds / completedCount,
    };
  } finally {
    await fleet.stop();
  }
}

/** The platform calls of all idle daemons together, and the cost of the first of them. */
interface IdleMeasurement {
  readonly daemonCount: number;
  readonly callsPerSecond: number;
  readonly processorMicrosecondsPerSecond: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
}

/** Measures idle daemons and their calls to the platform against the number of daemons. */
export async function measureIdleDaemons(): Promise<LineFit[]> {
  const measurements: IdleMeasurement[] = [];
  for (const daemonCount of [3, 6, 9, 12]) {
    const fleet = await startFleet({
      instances: Array.from({ length: daemonCount }, (_, index) => ({
        dataCentre: `dc-${index % 3}`,
      })),
      engines: [{}],
    });
    try {
      await sleep(5000);
      const callsBefore = { ...fleet.objectApi.calls };
      const statusBefore = await fetchStatus(fleet);
      await sleep(10_000);
      const callsAfter = fleet.objectApi.calls;
      const statusAfter = await fetchStatus(fleet);
      const platformCalls =
        callsAfter.read -
        callsBefore.read +
        callsAfter.write -
        callsBefore.write +
        callsAfter.watch -
        callsBefore.watch;
      measurements.push({
        daemonCount,
        callsPerSecond: platformCalls / 10,
        processorMicrosecondsPerSecond:
          (statusAfter.processorMicroseconds - statusBefore.processorMicroseconds) / 10,
        residentBytes: statusAfter.memoryBytes.resident,
        heapBytes: statusAfter.memoryBytes.heap,
      });
    } finally {
      await fleet.stop();
    }
  }
  const fitField = (
    name: string,
    unit: string,
    field: 'callsPerSecond' | 'processorMicrosecondsPerSecond' | 'residentBytes' | 'heapBytes',
  ): LineFit =>
    fitLine(
      name,
      'daemons',
      unit,
      measurements.map((measurement) => ({ x: measurement.daemonCount, y: measurement[field] })),
    );
  return [
    fitField('platform calls of all daemons, idle', 'calls/s', 'callsPerSecond'),
    fitField('processor time of an idle daemon', 'µs/s', 'processorMicrosecondsPerSecond'),
    fitField('resident memory of an idle daemon', 'bytes', 'residentBytes'),
    fitField('heap of an idle daemon', 'bytes', 'heapBytes'),
  ];
}
