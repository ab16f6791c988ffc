/** Issues: what is wrong with an input, as data. */
import { z } from 'zod';

/** One thing that is wrong: a stable code, where it is, and a sentence for people. */
export const Issue = z.object({
  code: z.string(),
  path: z.array(z.union([z.string(), z.number()])),
  message: z.string(),
});
export type Issue = z.infer<typeof Issue>;

/**
 * Writes one issue as a line for people.
 *
 * @param issue - The issue to write.
 * @returns The path, the message and the code.
 */
export function formatIssue(issue: Issue): string {
  const where = issue.path.length > 0 ? issue.path.join('.') : '(root)';
  return `${where}: ${issue.message} [${issue.code}]`;
}

/** Thrown by the throwing variant of an entry point; carries every issue found. */
export class IssueError extends Error {
  readonly issues: readonly Issue[];

  constructor(issues: readonly Issue[]) {
    super(issues.map(formatIssue).join('\n'));
    this.name = 'IssueError';
    this.issues = issues;
  }
}

/**
 * Turns the schema library's error into issues.
 *
 * @param error - The schema library's error.
 * @returns One issue for each finding, in the order found.
 */
export function toIssues(error: z.ZodError): Issue[] {
  return error.issues.flatMap((finding) => {
    const path = finding.path.map((part) => (typeof part === 'symbol' ? String(part) : part));
    if (finding.code === 'unrecognized_keys') {
      return finding.keys.map((key) => ({
        code: 'unknown_key',
        path: [...path, key],
        message: 'This key is not known.',
      }));
    }
    return [{ code: finding.code ?? 'invalid', path, message: finding.message }];
  });
}
