/** Issues: validation errors of an input, as data. */
import { z } from 'zod';

/** One validation error: a stable code, the path of the invalid field, and a message for people. */
export const Issue = z.object({
  code: z.string(),
  path: z.array(z.union([z.string(), z.number()])),
  message: z.string(),
});
export type Issue = z.infer<typeof Issue>;

/**
 * Formats an issue as one line for people.
 *
 * @returns The path, `(root)` when it is empty, then the message and the code.
 */
export function formatIssue(issue: Issue): string {
  const path = issue.path.length > 0 ? issue.path.join('.') : '(root)';
  return `${path}: ${issue.message} [${issue.code}]`;
}

/** Thrown by the parse functions that do not return issues; carries every issue found. */
export class IssueError extends Error {
  readonly issues: readonly Issue[];

  constructor(issues: readonly Issue[]) {
    super(issues.map(formatIssue).join('\n'));
    this.name = 'IssueError';
    this.issues = issues;
  }
}

/**
 * Converts a Zod error to issues.
 *
 * @returns The issues in the order found, with one issue for each unknown key.
 */
export function toIssues(error: z.ZodError): Issue[] {
  return error.issues.flatMap((zodIssue) => {
    const path = zodIssue.path.map((part) => (typeof part === 'symbol' ? String(part) : part));
    if (zodIssue.code === 'unrecognized_keys') {
      return zodIssue.keys.map((key) => ({
        code: 'unknown_key',
        path: [...path, key],
        message: 'This key is not known.',
      }));
    }
    return [{ code: zodIssue.code ?? 'invalid', path, message: zodIssue.message }];
  });
}
