/**
 * Tells whether a response comes from the backend server that a request was sent to. Another program
 * may have taken over the server's address, and a faulty server may send another request's response.
 */
import type { RequestMetadata, ResponseMetadata } from './protocol-adapter.js';

/** A response that is not shown to be the backend server's own to the request. */
export class ForeignResponseError extends Error {}

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

/**
 * Keeps a refusal from counting as one of the request when it names another request: a faulty server may
 * write an earlier refusal once more, while it runs the request. A server that can't read a request refuses
 * it without an id.
 *
 * @param request - The request's metadata.
 * @param response - What the response's headers state.
 * @returns What the response states of the request.
 */
export function disregardForeignRefusal(
  request: RequestMetadata,
  response: ResponseMetadata,
): ResponseMetadata {
  const isForeign = response.requestId !== undefined && response.requestId !== request.requestId;
  return isForeign ? { ...response, isNotExecuted: false } : response;
}
