/** Command: write a branch back that the platform has lost. */
import { writeObject } from '../../platform/commands/write-objects.js';
import type { PlatformConnection } from '../../platform/connection.js';
import { BRANCH_PREFIX, type Branch } from '../branch.js';

/**
 * Replaces an older copy of a branch. If the older copy came from a stale read, its version is no
 * longer the stored one: the conditional write fails and changes nothing.
 *
 * @param connection - The connection to the object API.
 * @param branch - The branch in force on this instance.
 * @param staleVersion - The object version under which the older copy was read.
 * @returns Whether the branch was written.
 */
export async function restoreBranch(
  connection: PlatformConnection,
  branch: Branch,
  staleVersion: number,
): Promise<boolean> {
  const result = await writeObject(connection, BRANCH_PREFIX + branch.team, branch, staleVersion);
  return result.kind === 'written';
}
