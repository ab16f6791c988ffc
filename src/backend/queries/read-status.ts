/** Queries of backend servers: status and cache events. */
import { fetchResponse } from '../../common/http-client.js';
import type { Address } from '../../common/address.js';
import { CacheEvents, EngineStatus } from '../engine-protocol.js';
import { ServiceStatus, type BackendReport, type LoadReport } from '../report.js';

/** What one reading of a server brought. */
export interface BackendReading {
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
  if (answer.status !== 200) throw new Error(`Status ${answer.status}.`);
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
 * @param kind - Whether it is a model engine or a plain service.
 * @param address - Where it is.
 * @param timeoutMilliseconds - The time allowed.
 * @returns What it reports.
 * @throws Error when it does not answer or answers nonsense.
 */
export function readBackend(
  kind: keyof typeof READERS,
  address: Address,
  timeoutMilliseconds: number,
): Promise<BackendReading> {
  return READERS[kind](address, timeoutMilliseconds);
}

/**
 * Reads an engine's cache events, which come late and with gaps.
 *
 * @param address - Where the engine is.
 * @param since - The number of the last event seen.
 * @param timeoutMilliseconds - The time allowed.
 * @returns The events after that one.
 * @throws Error when it does not answer or answers nonsense.
 */
export async function readCacheEvents(
  address: Address,
  since: number,
  timeoutMilliseconds: number,
): Promise<CacheEvents> {
  const path = `/cache-events?since=${since}`;
  return CacheEvents.parse(await readJson(address, path, timeoutMilliseconds));
}
