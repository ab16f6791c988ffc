/** Command: write a change to a team's branch in the object API. */
import { sleep } from '../../common/clock.js';
import type { Issue } from '../../common/issue.js';
import { writeObject } from '../../platform/commands/write-objects.js';
import type { PlatformConnection } from '../../platform/connection.js';
import { ABSENT_VERSION } from '../../platform/object.js';
import { readObject } from '../../platform/queries/read-objects.js';
import { Branch, BRANCH_PREFIX, createEmptyBranch } from '../branch.js';
import { mergeChange, type Change } from '../change.js';

/** The result of a change. */
export type ChangeResult =
  | { readonly kind: 'accepted'; readonly branch: Branch }
  | { readonly kind: 'refused'; readonly issues: Issue[] }
  /** Certainly not accepted: the platform could not be reached, or other changes kept winning. */
  | { readonly kind: 'unavailable'; readonly message: string }
  /** It may have been accepted. Sending it again with the same change id tells. */
  | { readonly kind: 'unknown'; readonly message: string };

/** Options of {@link applyChange}. */
export interface ApplyChangeOptions {
  readonly connection: PlatformConnection;
  readonly team: string;
  readonly change: Change;
  /** How long to try, in milliseconds. */
  readonly timeoutMilliseconds?: number;
  /** The branch in force on this instance. A read of an older revision is stale and not used. */
  readonly inForce?: Branch | undefined;
}

const RETRY_MILLISECONDS = 50;

interface StoredBranch {
  readonly branch: Branch;
  /** The version of the object, expected by the next conditional write. */
  readonly version: number;
}

/**
 * Reads a team's branch; a missing one is empty.
 *
 * @returns The branch, or the reason why the object API can't be read.
 */
async function readBranch(
  connection: PlatformConnection,
  team: string,
): Promise<StoredBranch | string> {
  const result = await readObject(connection, BRANCH_PREFIX + team);
  if (result.kind === 'unavailable') return result.message;
  if (result.kind === 'absent') return { branch: createEmptyBranch(team), version: ABSENT_VERSION };
  return { branch: Branch.parse(result.object.value), version: result.object.version };
}

/**
 * Applies a change with a conditional write, and tries again after conflicts and failures. After a
 * write whose answer was lost, the branch is read again: it contains the change's id if the write
 * was applied.
 *
 * @param options - The change, the connection and how long to try.
 * @returns Whether the change was accepted, was refused, or may have been accepted.
 * @throws Error when the stored branch is invalid.
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
        // An uncertain write may still be applied while the object has the version it expects.
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
