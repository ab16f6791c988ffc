/** Deletes stored claims once their idempotency keys have expired and can no longer be used. */
import { sleep } from '../common/clock.js';
import { deleteObject } from '../platform/commands/write-objects.js';
import type { PlatformConnection } from '../platform/connection.js';
import { listObjects } from '../platform/queries/read-objects.js';
import type { Logger } from '../telemetry/log.js';
import { CLAIM_RETENTION_MILLISECONDS, buildMinutePrefix } from './idempotency-key.js';

/** Options of {@link runClaimExpiry}. */
export interface ClaimExpiryOptions {
  readonly connection: PlatformConnection;
  /** Whether this instance is the one that deletes the claims under a minute's prefix. */
  readonly isOwner: (prefix: string) => boolean;
  readonly log: Logger;
  readonly signal: AbortSignal;
  readonly wallMilliseconds?: () => number;
  /** The pause after each deletion, which limits the load on the object API. */
  readonly deletionIntervalMilliseconds?: number;
}

const MINUTE_MILLISECONDS = 60_000;
/** Claims are kept this much longer than their keys, because the instances' clocks may differ. */
const CLOCK_SKEW_MARGIN_MILLISECONDS = 3_600_000;
/** How far back a started instance looks for expired claims that nobody has deleted. */
const BACKLOG_MINUTES = 60;

/** Deletes the claims of one minute. If they cannot be listed, they stay and a warning is logged. */
async function deleteMinute(prefix: string, options: ClaimExpiryOptions): Promise<void> {
  const { connection, signal, deletionIntervalMilliseconds = 100 } = options;
  const listed = await listObjects(connection, prefix);
  if (listed.kind === 'unavailable') {
    options.log.warn(
      'The claims of an expired minute could not be listed: the object API is unavailable.',
      { prefix },
    );
    return;
  }
  for (const object of listed.objects) {
    if (signal.aborted) return;
    await deleteObject(connection, object.key, object.version);
    await sleep(deletionIntervalMilliseconds, signal);
  }
}

/**
 * Deletes expired claims, one minute of claims after the other, until the signal aborts. Each
 * minute is handled by the instance that owns it.
 */
export async function runClaimExpiry(options: ClaimExpiryOptions): Promise<void> {
  const { signal, wallMilliseconds = Date.now } = options;
  const expiryLimit = (): number =>
    wallMilliseconds() - CLAIM_RETENTION_MILLISECONDS - CLOCK_SKEW_MARGIN_MILLISECONDS;
  // A newly started instance does not know its peers yet and would consider itself the owner of
  // every minute.
  await sleep(MINUTE_MILLISECONDS * (0.5 + Math.random()), signal);
  let next = expiryLimit() - BACKLOG_MINUTES * MINUTE_MILLISECONDS;
  while (!signal.aborted) {
    while (next < expiryLimit() && !signal.aborted) {
      const prefix = buildMinutePrefix(next);
      if (options.isOwner(prefix)) await deleteMinute(prefix, options);
      next += MINUTE_MILLISECONDS;
    }
    await sleep(MINUTE_MILLISECONDS, signal);
  }
}
