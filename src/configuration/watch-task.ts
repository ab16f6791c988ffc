/** The task that follows the configuration in the object API. */
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
  /** Whether this instance is one of the watchers now; the others hear from peers. */
  readonly isWatcher: () => boolean;
  readonly log: Logger;
  readonly signal: AbortSignal;
  readonly watchMilliseconds?: number;
  readonly retryMilliseconds?: number;
  /** Between two full reads by an instance that is no watcher. */
  readonly fullReadMilliseconds?: number;
}

/**
 * Takes over what the platform holds; what it cannot parse is logged and left alone.
 *
 * @param options - Where the configuration is held and logged.
 * @param objects - Objects read from the platform.
 */
function applyStoredBranches(options: FollowOptions, objects: readonly PlatformObject[]): void {
  const { inForce, log } = options;
  objects
    .filter((object) => object.value !== null)
    .forEach((object) => {
      const parsed = Branch.safeParse(object.value);
      if (parsed.success) inForce.offer(parsed.data);
      else log.error('A stored branch is invalid and was left out.', { key: object.key });
    });
}

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
        log.warn('The platform had an older branch; the newer one was put back.', {
          team: branch.team,
          revision: branch.revision,
          storedRevision,
        });
      }
    }
  }
}

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
    // A store that counts from a lower version was restored: read everything again.
    if (result.version < version) return;
    applyStoredBranches(options, result.objects);
    version = result.version;
  }
}

/**
 * Follows the configuration until the signal aborts. It keeps what is in force whenever the
 * platform can't be reached.
 *
 * @param options - What to follow and how often.
 */
export async function followConfiguration(options: FollowOptions): Promise<void> {
  const {
    connection,
    log,
    signal,
    retryMilliseconds = 500,
    fullReadMilliseconds: safetyReadMilliseconds = 60_000,
  } = options;
  let wasReached = true;
  while (!signal.aborted) {
    const listed = await listObjects(connection, BRANCH_PREFIX);
    const isReached = listed.kind === 'listed';
    if (isReached !== wasReached) {
      log.warn(isReached ? 'The platform answers again.' : 'The platform does not answer.');
      wasReached = isReached;
    }
    if (isReached) {
      applyStoredBranches(options, listed.objects);
      await restoreLostBranches(options, listed.objects);
    }
    // Who has a configuration and does not watch hears from peers, also while the platform is away.
    if (!options.isWatcher() && options.inForce.isReady) {
      await waitUntilWatcherOrReadDue(options, safetyReadMilliseconds);
    } else if (isReached) await watchUntilUnavailable(options, listed.version);
    await sleep(retryMilliseconds * (0.5 + Math.random()), signal);
  }
}

async function waitUntilWatcherOrReadDue(
  options: FollowOptions,
  safetyReadMilliseconds: number,
): Promise<void> {
  const WATCHER_CHECK_MILLISECONDS = 1000;
  const end = Date.now() + safetyReadMilliseconds * (0.5 + Math.random());
  while (!options.signal.aborted && !options.isWatcher() && Date.now() < end) {
    await sleep(WATCHER_CHECK_MILLISECONDS, options.signal);
  }
}
