/** Polls the platform's instance list for backend servers and peers. */
import type { BackendDirectory } from '../backend/directory.js';
import type { Address } from '../common/address.js';
import { sleep } from '../common/clock.js';
import { readInstanceList, type ListedInstance } from '../platform/queries/read-instance-list.js';
import type { Logger } from '../telemetry/log.js';

/** Options of {@link pollInstanceList}. */
export interface InstanceListOptions {
  readonly address: Address;
  readonly pollIntervalMilliseconds: number;
  readonly timeoutMilliseconds: number;
  readonly directory: BackendDirectory;
  /** Called with the rows of entry instances; their ports are the peer ports. */
  readonly onEntries: (entries: readonly ListedInstance[]) => void;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

/**
 * Polls the instance list until the signal aborts. While the list cannot be read, the rows read last
 * stay in use. The interval varies by 20 % so that instances do not poll in step.
 *
 * @param options - Where to read the list from and where to deliver its rows.
 */
export async function pollInstanceList(options: InstanceListOptions): Promise<void> {
  const {
    address,
    pollIntervalMilliseconds: readingMilliseconds,
    timeoutMilliseconds,
    directory,
    log,
    signal,
  } = options;
  let wasReadable = true;
  while (!signal.aborted) {
    const rows = await readInstanceList(address, timeoutMilliseconds);
    if (rows) {
      directory.applyInstanceList(rows);
      options.onEntries(rows.filter((row) => row.kind === 'entry'));
    }
    if (wasReadable !== (rows !== undefined)) {
      log.warn(
        rows
          ? 'Instance list readable again.'
          : 'Instance list unreadable; keeping the rows read last.',
      );
    }
    wasReadable = rows !== undefined;
    await sleep(readingMilliseconds * (0.8 + 0.4 * Math.random()), signal);
  }
}
