/** Tells of responses that may not be the backend server's own to the request that was sent to it. */

/** A response that is not shown to be the backend server's own to the request. */
export class ForeignResponseError extends Error {}
