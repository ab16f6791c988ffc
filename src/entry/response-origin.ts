/**
 * Tells whether a response comes from the backend server that a request was sent to. Another program
 * may have taken over the server's address, and a faulty server may send another request's response.
 */
import { formatAddress } from '../common/address.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import type { EntryContext } from './entry-context.js';
import type { RequestMetadata, ResponseMetadata } from './protocol-adapter.js';

/** A response that is not shown to be the backend server's own to the request. */
export class ForeignResponseError extends Error {}

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

/**
 * Checks that a response is the backend server's own to the request, whatever its status. A response
 * that is not is never passed on: it doesn't tell whether the request ran.
 *
 * @param request - The request's metadata.
 * @param response - What the response's headers state.
 * @throws ForeignResponseError when the response is for another request, is not signed or was altered on the way.
 */
export function assertOwnResponse(request: RequestMetadata, response: ResponseMetadata): void {
  if (response.requestId !== request.requestId)
    throw new ForeignResponseError('The response carries the id of another request.');
  if (!response.isSigned)
    throw new ForeignResponseError('The response is not signed by the backend server.');
  if (response.isEncoded) throw new ForeignResponseError('The response has a content encoding.');
}
