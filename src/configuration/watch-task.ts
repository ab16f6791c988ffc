/**
 * Keeps the configuration in force up to date with the branches in the object API, and writes back
 * branches that the platform has lost.
 */
import { sleep } from '../common/clock.js';
import type { PlatformConnection } from '../platform/connection.js';
import { ABSENT_VERSION, type PlatformObject } from '../platform/object.js';
import { listObjects, watchObjects } from '../platform/queries/read-objects.js';
import type { Logger } from '../telemetry/log.js';
import { Branch, BRANCH_PREFIX } from './branch.js';
import { restoreBranch } from './commands/restore-branch.js';
import type { ConfigurationInForce } from './configuration-in-force.js';

/** Options of {@link followConfiguration}. */
export interface FollowOptions {
  readonly connection: PlatformConnection;
  readonly inForce: ConfigurationInForce;
  /** Whether this instance is to watch the object API now; other instances rely on peers. */
  readonly isWatcher: () => boolean;
  readonly log: Logger;
  readonly signal: AbortSignal;
  /** How long the API may hold one watch call. */
  readonly watchMilliseconds?: number;
  /** Mean pause between two attempts to read or watch. */
  readonly retryMilliseconds?: number;
  /** Mean time between two full reads by an instance that does not watch. */
  readonly fullReadMilliseconds?: number;
}

/**
 * Puts branches read from the platform in force where they are newer. Invalid ones are logged and
 * ignored.
 *
 * @param objects - Objects read from the platform; deleted ones have the value null.
 */
function applyStoredBranches(options: FollowOptions, objects: readonly PlatformObject[]): void {
  const { inForce, log } = options;
  objects
    .filter((object) => object.value !== null)
    .forEach((object) => {
      const parsed = Branch.safeParse(object.value);
      if (parsed.success) inForce.applyIfNewer(parsed.data);
      else log.error('Ignored an invalid branch in the object API.', { key: object.key });
    });
}

/**
 * Writes branches in force back to the platform where it has none or an older revision, as after
 * it lost data. A stored branch that can't be parsed is not overwritten.
 */
async function restoreLostBranches(
  options: FollowOptions,
  objects: readonly PlatformObject[],
): Promise<void> {
  const { connection, inForce, log } = options;
  for (const branch of inForce.branches) {
    const stored = objects.find((object) => object.key === BRANCH_PREFIX + branch.team);
    const parsed = Branch.safeParse(stored?.value);
    const storedRevision = parsed.success ? parsed.data.revision : 0;
    const isUnreadable = stored !== undefined && !parsed.success;
    if (storedRevision < branch.revision && !isUnreadable) {
      const restored = await restoreBranch(connection, branch, stored?.version ?? ABSENT_VERSION);
      if (restored) {
        log.warn('Restored a branch in the object API, which had an older revision or none.', {
          team: branch.team,
          revision: branch.revision,
          storedRevision,
        });
      }
    }
  }
}

/**
 * Applies changes from the object API until it can't be reached, its version falls, this instance
 * is no longer to watch, or the signal aborts.
 */
async function watchUntilUnavailable(options: FollowOptions, since: number): Promise<void> {
  const { connection, signal, watchMilliseconds = 20_000 } = options;
  let version = since;
  while (!signal.aborted && options.isWatcher()) {
    const result = await watchObjects(connection, {
      prefix: BRANCH_PREFIX,
      since: version,
      waitMilliseconds: watchMilliseconds,
      signal,
    });
    if (result.kind === 'unavailable') return;
    // A lower version means that the store was restored from older data: read everything again.
    if (result.version < version) return;
    applyStoredBranches(options, result.objects);
    version = result.version;
  }
}

/**
 * Follows the configuration in the object API until the signal aborts. While the platform can't be
 * reached, the configuration in force is kept.
 *
 * @param options - The connection, the configuration to update and the intervals.
 */
export async function followConfiguration(options: FollowOptions): Promise<void> {
  const {
    connection,
    log,
    signal,
    retryMilliseconds = 500,
    fullReadMilliseconds = 60_000,
  } = options;
  let wasReached = true;
  while (!signal.aborted) {
    const listed = await listObjects(connection, BRANCH_PREFIX);
    const isReached = listed.kind === 'listed';
    if (isReached !== wasReached) {
      log.warn(
        isReached
          ? 'The object API is reachable again.'
          : 'The object API is unreachable; keeping the configuration in force.',
      );
      wasReached = isReached;
    }
    if (isReached) {
      applyStoredBranches(options, listed.objects);
      await restoreLostBranches(options, listed.objects);
    }
    // An instance that has a configuration and is not to watch gets changes from peers, also while
    // the platform can't be reached.
    if (!options.isWatcher() && options.inForce.isReady) {
      await waitUntilWatcherOrReadDue(options, fullReadMilliseconds);
    } else if (isReached) await watchUntilUnavailable(options, listed.version);
    await sleep(retryMilliseconds * (0.5 + Math.random()), signal);
  }
}

/**
 * Waits until this instance is to watch or its next full read is due. The time is random, so that
 * instances do not read all at once.
 */
async function waitUntilWatcherOrReadDue(
  options: FollowOptions,
  fullReadMilliseconds: number,
): Promise<void> {
  const WATCHER_CHECK_MILLISECONDS = 1000;
  const end = Date.now() + fullReadMilliseconds * (0.5 + Math.random());
  while (!options.signal.aborted && !options.isWatcher() && Date.now() < end) {
    await sleep(WATCHER_CHECK_MILLISECONDS, options.signal);
  }
}
