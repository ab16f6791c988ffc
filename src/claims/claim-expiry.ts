/** Deletes claims that are older than any key that may still run. */
import { sleep } from '../common/clock.js';
import { deleteObject } from '../platform/commands/write-objects.js';
import type { PlatformConnection } from '../platform/connection.js';
import { listObjects } from '../platform/queries/read-objects.js';
import type { Logger } from '../telemetry/log.js';
import { CLAIM_RETENTION_MILLISECONDS, buildMinutePrefix } from './idempotency-key.js';

/** Options of {@link runClaimExpiry}. */
export interface ClaimExpiryOptions {
  readonly connection: PlatformConnection;
  /** Whether this instance expires the claims of a minute. */
  readonly isOwner: (prefix: string) => boolean;
  readonly log: Logger;
  readonly signal: AbortSignal;
  readonly wallMilliseconds?: () => number;
  readonly deletionSpacingMilliseconds?: number;
}

const MINUTE_MILLISECONDS = 60_000;
/** Clocks of instances may differ; claims outlive their keys by this. */
const MARGIN_MILLISECONDS = 3_600_000;
const BACKLOG_MINUTES = 60;

async function expireMinute(prefix: string, options: ClaimExpiryOptions): Promise<void> {
  const { connection, signal, deletionSpacingMilliseconds = 100 } = options;
  const listed = await listObjects(connection, prefix);
  if (listed.kind === 'unavailable') {
    options.log.warn('Old claims could not be listed.', { prefix });
    return;
  }
  for (const object of listed.objects) {
    if (signal.aborted) return;
    await deleteObject(connection, object.key, object.version);
    await sleep(deletionSpacingMilliseconds, signal);
  }
}

/**
 * Expires claims minute by minute until the signal aborts.
 *
 * @param options - The object API, the division of work and the clock.
 */
export async function runClaimExpiry(options: ClaimExpiryOptions): Promise<void> {
  const { signal, wallMilliseconds = Date.now } = options;
  const newest = (): number =>
    wallMilliseconds() - CLAIM_RETENTION_MILLISECONDS - MARGIN_MILLISECONDS;
  // A fresh instance does not know its peers yet and would take every minute for its own.
  await sleep(MINUTE_MILLISECONDS * (0.5 + Math.random()), signal);
  let next = newest() - BACKLOG_MINUTES * MINUTE_MILLISECONDS;
  while (!signal.aborted) {
    while (next < newest() && !signal.aborted) {
      const prefix = buildMinutePrefix(next);
      if (options.isOwner(prefix)) await expireMinute(prefix, options);
      next += MINUTE_MILLISECONDS;
    }
    await sleep(MINUTE_MILLISECONDS, signal);
  }
}
