/** Command: write a change to a team's branch in the object API. */
import { sleep } from '../../common/clock.js';
import type { Issue } from '../../common/issue.js';
import { writeObject } from '../../platform/commands/write-objects.js';
import type { PlatformConnection } from '../../platform/connection.js';
import { ABSENT_VERSION } from '../../platform/object.js';
import { readObject } from '../../platform/queries/read-objects.js';
import { Branch, BRANCH_PREFIX, emptyBranch } from '../branch.js';
import { mergeChange, type Change } from '../change.js';

/** What became of a change. */
export type ChangeResult =
  | { readonly kind: 'accepted'; readonly branch: Branch }
  | { readonly kind: 'refused'; readonly issues: Issue[] }
  /** Certainly not accepted: the platform could not be reached. */
  | { readonly kind: 'unavailable'; readonly message: string }
  /** It may have been accepted; asking again with the same change id settles it. */
  | { readonly kind: 'unknown'; readonly message: string };

/** Options of {@link applyChange}. */
export interface ApplyChangeOptions {
  readonly connection: PlatformConnection;
  readonly team: string;
  readonly change: Change;
  /** How long to try, in milliseconds. */
  readonly timeoutMilliseconds?: number;
  /** The branch in force here; a read older than this is a lagging one and is not used. */
  readonly inForce?: Branch | undefined;
}

const RETRY_MILLISECONDS = 50;

interface StoredBranch {
  readonly branch: Branch;
  readonly version: number;
}

async function readBranch(
  connection: PlatformConnection,
  team: string,
): Promise<StoredBranch | string> {
  const result = await readObject(connection, BRANCH_PREFIX + team);
  if (result.kind === 'unavailable') return result.message;
  if (result.kind === 'absent') return { branch: emptyBranch(team), version: ABSENT_VERSION };
  return { branch: Branch.parse(result.object.value), version: result.object.version };
}

/**
 * Applies a change by conditional update. A write whose answer was lost is settled by reading
 * the branch again and looking for the change's own id.
 *
 * @param options - The change, and where and how long to try.
 * @returns Whether the change was accepted, was refused, or may have been accepted.
 */
export async function applyChange(options: ApplyChangeOptions): Promise<ChangeResult> {
  const { connection, team, change, timeoutMilliseconds = 5000, inForce } = options;
  const deadline = Date.now() + timeoutMilliseconds;
  let isWriteUncertain = false;
  let message = 'The platform did not answer in time.';
  while (Date.now() < deadline) {
    const stored = await readBranch(connection, team);
    if (typeof stored === 'string') {
      message = stored;
    } else if (stored.branch.recentChanges.some((recent) => recent.id === change.id)) {
      return { kind: 'accepted', branch: stored.branch };
    } else if (stored.branch.revision < (inForce?.revision ?? 0)) {
      message = 'The platform answers with an older copy.';
    } else {
      const merged = mergeChange(stored.branch, change, Date.now());
      if (merged.isLeft()) {
        // A write in doubt could still land while the version it expects is unchanged.
        if (!isWriteUncertain) return { kind: 'refused', issues: merged.extract() };
      } else {
        const branch = merged.unsafeCoerce();
        const result = await writeObject(connection, BRANCH_PREFIX + team, branch, stored.version);
        if (result.kind === 'written') return { kind: 'accepted', branch };
        if (result.kind === 'unknown') isWriteUncertain = true;
        if (result.kind === 'conflict') message = 'Other changes kept coming first.';
        else message = result.message;
      }
    }
    await sleep(RETRY_MILLISECONDS * (0.5 + Math.random()));
  }
  return { kind: isWriteUncertain ? 'unknown' : 'unavailable', message };
}
