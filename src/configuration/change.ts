/** Changes to a branch, and how a change is merged with others made since its base revision. */
import { isDeepStrictEqual } from 'node:util';
import { Left, Right, type Either } from 'purify-ts';
import { z } from 'zod';
import { toIssues, type Issue } from '../common/issue.js';
import { TeamSettings, type AcceptedChange, type Branch } from './branch.js';

const PathPart = z
  .string()
  .min(1)
  .max(100)
  .refine((part) => !['__proto__', 'constructor', 'prototype'].includes(part), 'Reserved name.')
  .refine((part) => !part.includes('/'), 'A path part holds no slash.');

/** Sets one field, or removes it when the value is null. */
export const Edit = z.strictObject({
  path: z.array(PathPart).min(1).max(8),
  value: z.json(),
});
export type Edit = z.infer<typeof Edit>;

/** A change that an operator requests. */
export const Change = z.strictObject({
  /** Identifies the change, so that it can be found in the branch when an answer was lost. */
  id: z.string().min(8).max(100),
  author: z.string().max(100).default('operator'),
  /** The revision that the change was made from. */
  baseRevision: z.number().int().min(0),
  edits: z.array(Edit).min(1).max(1000),
});
export type Change = z.infer<typeof Change>;

const MAXIMUM_RECENT_CHANGES = 64;
/** Changes can be merged if they are based on one of this many latest revisions. */
const MERGE_WINDOW_REVISIONS = 1000;

interface JsonObject {
  [key: string]: JsonObject | unknown;
}

function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function getAtPath(tree: unknown, path: readonly string[]): unknown {
  return path.reduce<unknown>((node, part) => (isJsonObject(node) ? node[part] : undefined), tree);
}

function setAtPath(tree: unknown, path: readonly string[], value: unknown): unknown {
  const [part, ...rest] = path;
  if (part === undefined) return value;
  const node: JsonObject = isJsonObject(tree) ? { ...tree } : {};
  if (rest.length > 0) node[part] = setAtPath(node[part], rest, value);
  else if (value === null) delete node[part];
  else node[part] = value;
  return node;
}

function arePathsOverlapping(one: string, other: string): boolean {
  return one === other || one.startsWith(`${other}/`) || other.startsWith(`${one}/`);
}

/**
 * Finds the edits of fields that were set after the change's base revision, or whose parent or
 * child fields were. Setting a field to the value that it has is no conflict.
 */
function findConflicts(branch: Branch, change: Change): Issue[] {
  const newer = Object.entries(branch.fieldRevisions).filter(
    ([, revision]) => revision > change.baseRevision,
  );
  return change.edits.flatMap((edit) => {
    const path = edit.path.join('/');
    const conflicting = newer.find(([field]) => arePathsOverlapping(field, path));
    if (!conflicting) return [];
    if (isDeepStrictEqual(getAtPath(branch.settings, edit.path) ?? null, edit.value)) return [];
    const message = `Field ${conflicting[0]} was set by revision ${conflicting[1]}, after revision ${change.baseRevision}.`;
    return [{ code: 'conflict', path: edit.path, message }];
  });
}

/** Creates the next revision of the branch, with the change in its history. */
function createNextBranch(
  branch: Branch,
  change: Change,
  settings: TeamSettings,
  now: number,
): Branch {
  const revision = branch.revision + 1;
  const paths = change.edits.map((edit) => edit.path.join('/'));
  const mergeFloor = Math.max(branch.mergeFloor, revision - MERGE_WINDOW_REVISIONS);
  const kept = Object.entries(branch.fieldRevisions).filter(([, set]) => set > mergeFloor);
  const accepted: AcceptedChange = {
    id: change.id,
    revision,
    author: change.author,
    acceptedAt: now,
    paths,
  };
  return {
    ...branch,
    team: branch.team,
    revision,
    fieldRevisions: {
      ...Object.fromEntries(kept),
      ...Object.fromEntries(paths.map((path) => [path, revision])),
    },
    mergeFloor,
    recentChanges: [...branch.recentChanges, accepted].slice(-MAXIMUM_RECENT_CHANGES),
    settings,
  };
}

/**
 * Merges a change into a branch.
 *
 * @param branch - The branch as last read.
 * @param change - The requested change.
 * @param now - Wall-clock time in milliseconds, for the history.
 * @returns The next revision of the branch, or the conflicts, or else the invalid values.
 */
export function mergeChange(branch: Branch, change: Change, now: number): Either<Issue[], Branch> {
  if (change.baseRevision > branch.revision) {
    const message = `Revision ${change.baseRevision} does not exist yet; the newest is ${branch.revision}.`;
    return Left([{ code: 'unknown_revision', path: [], message }]);
  }
  if (change.baseRevision < branch.mergeFloor) {
    const message = `Revision ${change.baseRevision} is too old to merge; read the branch again.`;
    return Left([{ code: 'conflict', path: [], message }]);
  }
  const conflicts = findConflicts(branch, change);
  if (conflicts.length > 0) return Left(conflicts);
  const edited = change.edits.reduce<unknown>(
    (tree, edit) => setAtPath(tree, edit.path, edit.value),
    branch.settings,
  );
  const checked = TeamSettings.safeParse(edited);
  if (!checked.success) return Left(toIssues(checked.error));
  return Right(createNextBranch(branch, change, checked.data, now));
}
