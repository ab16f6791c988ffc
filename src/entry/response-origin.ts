/** Records where a backend server's failure came from. */
import { formatAddress } from '../common/address.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import type { EntryContext } from './entry-context.js';
import type { RequestMetadata, ResponseMetadata } from './protocol-adapter.js';

/**
 * Logs a response with status 300 or above, and what it says about its origin.
 *
 * @param context - What the instance shares between requests.
 * @param request - The request's metadata.
 * @param server - The backend server that the request was sent to.
 * @param status - The response's status.
 * @param response - What the response's headers state.
 */
export function logFailureResponse(
  context: EntryContext,
  request: RequestMetadata,
  server: ServerEntry,
  status: number,
  response: ResponseMetadata,
): void {
  context.logs('routing').info('Backend server responded with a failure.', {
    requestId: request.requestId,
    server: server.id,
    address: formatAddress(server.address),
    status,
    isNotExecuted: response.isNotExecuted,
    isSigned: response.isSigned,
    isForRequest: response.requestId === request.requestId,
  });
}
