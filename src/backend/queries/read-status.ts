/** Queries that read the status and the cache events of backend servers. */
import { fetchResponse } from '../../common/http-client.js';
import type { Address } from '../../common/address.js';
import { CacheEvents, EngineStatus } from '../engine-protocol.js';
import { ServiceStatus, type BackendReport, type LoadReport } from '../report.js';

/** The status of a server, split into the parts that are published as separate records. */
export interface BackendReading {
  /** When the server's process started. */
  readonly incarnation: number;
  readonly report: BackendReport;
  readonly load: LoadReport;
}

async function readJson(
  address: Address,
  path: string,
  timeoutMilliseconds: number,
): Promise<unknown> {
  const answer = await fetchResponse({ address, method: 'GET', path, timeoutMilliseconds });
  if (answer.status !== 200) throw new Error(`Unexpected HTTP status ${answer.status}.`);
  return JSON.parse(answer.body.toString()) as unknown;
}

async function readEngineStatus(
  address: Address,
  timeoutMilliseconds: number,
): Promise<BackendReading> {
  const status = EngineStatus.parse(await readJson(address, '/status', timeoutMilliseconds));
  const { running, queued, fencingNumber, ...engine } = status;
  const state = status.leaving ? 'leaving' : 'serving';
  return {
    incarnation: status.incarnation,
    report: { state, slots: status.slots, engine },
    load: [running, queued],
  };
}

async function readServiceStatus(
  address: Address,
  timeoutMilliseconds: number,
): Promise<BackendReading> {
  const status = ServiceStatus.parse(await readJson(address, '/status', timeoutMilliseconds));
  return {
    incarnation: status.incarnation,
    report: { state: status.leaving ? 'leaving' : 'serving', slots: status.slots },
    load: [status.running, status.queued],
  };
}

const READERS = { engine: readEngineStatus, service: readServiceStatus } as const;

/**
 * Reads a server's status.
 *
 * @param kind - Whether the server is a model engine or a plain service.
 * @throws Error when the server does not answer in time or its answer is invalid.
 */
export function readBackendStatus(
  kind: keyof typeof READERS,
  address: Address,
  timeoutMilliseconds: number,
): Promise<BackendReading> {
  return READERS[kind](address, timeoutMilliseconds);
}

/**
 * Reads an engine's cache events. They arrive late, and some may be missing.
 *
 * @param since - The `next` number of the previous answer, 0 at first.
 * @throws Error when the engine does not answer in time or its answer is invalid.
 */
export async function readCacheEvents(
  address: Address,
  since: number,
  timeoutMilliseconds: number,
): Promise<CacheEvents> {
  const path = `/cache-events?since=${since}`;
  return CacheEvents.parse(await readJson(address, path, timeoutMilliseconds));
}
