/** Decides whether a request is run, by what is known of the servers that ended under its like. */
import type { Admission } from '../evidence/crash-blame.js';
import type { EntryContext } from './entry-context.js';
import type { EntryRequest } from './entry-request.js';

/**
 * Decides about a new request, and logs what is known against it.
 *
 * @param context - What the instance shares between requests.
 * @param request - The request.
 * @returns What becomes of it.
 */
export function admitRequest(
  { crashBlame, logs }: EntryContext,
  { content, metadata }: EntryRequest,
): Admission {
  const evidence = crashBlame.describeEvidence(content);
  const admission = crashBlame.admit(content);
  if (evidence)
    logs('routing').info('Servers have ended under such a request.', {
      requestId: metadata.requestId,
      admission,
      ...evidence,
    });
  return admission;
}
