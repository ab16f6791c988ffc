/**
 * Reads the status of backend servers and publishes it to peers. Each server is read by one
 * instance, in the server's data centre if there is one.
 */
import { sleep } from '../common/clock.js';
import type { Membership } from '../peer/membership.js';
import type { PrefixCacheIndex } from '../routing/prefix-cache-index.js';
import { rankOwners } from '../routing/rendezvous.js';
import type { Logger } from '../telemetry/log.js';
import type { BackendServer } from './backend-server.js';
import type { BackendDirectory } from './directory.js';
import { readBackendStatus, readCacheEvents } from './queries/read-status.js';
import type { LoadReport } from './report.js';

/** Options of {@link runLoadReader}. */
export interface LoadReaderOptions {
  readonly directory: BackendDirectory;
  readonly membership: Membership;
  readonly prefixCacheIndex: PrefixCacheIndex;
  readonly readIntervalMilliseconds: number;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

const READ_TIMEOUT_MILLISECONDS = 800;
const FAILURES_BEFORE_UNREACHABLE = 2;
const RETRY_MILLISECONDS = 200;
/** A smaller change of the running requests, as a share of the slots, is not published. */
const SIGNIFICANT_LOAD_CHANGE_SHARE = 1 / 8;
/** After this time the load is published even if it has not changed. */
const LOAD_REFRESH_MILLISECONDS = 10_000;

/**
 * Chooses the instance that reads a server: one in the server's data centre, else one in its
 * region, else any. Instances with the same view of the membership choose the same one.
 *
 * @returns The name of the chosen instance, or undefined if no instance is live or joining.
 */
export function chooseReader(server: BackendServer, membership: Membership): string | undefined {
  const { active } = membership;
  const inDataCentre = active.filter((member) => member.dataCentre === server.listed.dataCentre);
  const inRegion = active.filter((member) => member.region === server.listed.region);
  const candidates = [inDataCentre, inRegion, active].find((group) => group.length > 0) ?? [];
  return rankOwners(
    server.id,
    candidates.map((member) => member.instance),
  )[0];
}

/**
 * Tells whether a load differs enough from the published one to be published: requests have begun
 * or ceased to queue, or the running requests differ by an eighth of the slots.
 *
 * @param published - The load published last.
 * @param load - The load just read.
 * @param slots - The server's slots.
 */
export function isLoadChangeSignificant(
  published: LoadReport,
  load: LoadReport,
  slots: number,
): boolean {
  if (published[1] > 0 !== load[1] > 0) return true;
  return Math.abs(load[0] - published[0]) >= Math.max(1, slots * SIGNIFICANT_LOAD_CHANGE_SHARE);
}

/**
 * Reads one server until the signal aborts. Publishes its status and load to peers, and applies an
 * engine's cache events to the prefix cache index of this instance.
 */
async function pollServer(
  server: BackendServer,
  options: LoadReaderOptions,
  signal: AbortSignal,
): Promise<void> {
  const { directory, prefixCacheIndex, readIntervalMilliseconds } = options;
  const { kind } = server.listed;
  if (kind === 'entry') return;
  let published: LoadReport = [0, 0];
  let publishedAt = -Infinity;
  let failures = 0;
  let nextCacheEvent = 0;
  while (!signal.aborted) {
    try {
      const reading = await readBackendStatus(kind, server.address, READ_TIMEOUT_MILLISECONDS);
      if (signal.aborted) return;
      failures = 0;
      directory.publishReport(server.id, reading.incarnation, reading.report);
      const isRefreshDue = performance.now() - publishedAt > LOAD_REFRESH_MILLISECONDS;
      if (isRefreshDue || isLoadChangeSignificant(published, reading.load, reading.report.slots)) {
        directory.publishLoad(server.id, reading.incarnation, reading.load);
        published = reading.load;
        publishedAt = performance.now();
      }
      if (kind === 'engine') {
        const events = await readCacheEvents(
          server.address,
          nextCacheEvent,
          READ_TIMEOUT_MILLISECONDS,
        );
        nextCacheEvent = events.next;
        prefixCacheIndex.applyCacheEvents(server.id, events.events);
      }
    } catch {
      failures += 1;
      if (failures === FAILURES_BEFORE_UNREACHABLE)
        directory.publishState(server.id, 'unreachable');
    }
    await sleep(failures > 0 ? RETRY_MILLISECONDS : readIntervalMilliseconds, signal);
  }
}

/**
 * Reads the servers that are assigned to this instance until the signal aborts. The assignment
 * follows changes of the membership and of the instance list.
 *
 * @param options - The servers, the instances and the interval between readings.
 */
export async function runLoadReader(options: LoadReaderOptions): Promise<void> {
  const { directory, membership, signal, readIntervalMilliseconds } = options;
  const readers = new Map<string, { server: BackendServer; stop: AbortController }>();
  while (!signal.aborted) {
    const assigned = directory.servers.filter(
      (server) => chooseReader(server, membership) === membership.self.instance,
    );
    readers.forEach(({ server, stop }, id) => {
      if (assigned.includes(server)) return;
      stop.abort();
      readers.delete(id);
    });
    assigned
      .filter((server) => !readers.has(server.id))
      .forEach((server) => {
        const stop = new AbortController();
        readers.set(server.id, { server, stop });
        void pollServer(server, options, stop.signal);
      });
    await sleep(Math.min(readIntervalMilliseconds, 500), signal);
  }
  readers.forEach(({ stop }) => stop.abort());
}
