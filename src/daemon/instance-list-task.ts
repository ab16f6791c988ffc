/** The task that reads the platform's instance list. */
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
  /** Gets the rows of entry instances, whose ports are those for peers. */
  readonly onEntries: (entries: readonly ListedInstance[]) => void;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

/**
 * Reads the list again and again until the signal aborts. What was read last stays while the
 * list can't be read.
 *
 * @param options - Where the list is and who wants to know.
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
  let wasRead = true;
  while (!signal.aborted) {
    const rows = await readInstanceList(address, timeoutMilliseconds);
    if (rows) {
      directory.takeList(rows);
      options.onEntries(rows.filter((row) => row.kind === 'entry'));
    }
    if (wasRead !== (rows !== undefined)) {
      log.warn(rows ? 'The instance list answers again.' : 'The instance list does not answer.');
    }
    wasRead = rows !== undefined;
    await sleep(readingMilliseconds * (0.8 + 0.4 * Math.random()), signal);
  }
}
