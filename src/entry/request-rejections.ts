/** The responses with which an instance rejects a request before it looks for a backend server. */
import type { LocalResponse } from './entry-response.js';

export const NO_CONFIGURATION: LocalResponse = {
  status: 503,
  code: 'no_configuration',
  message: 'The instance has no configuration yet; the request was not run.',
  retryAfterSeconds: 0.3,
};

export const STALE_CONFIGURATION: LocalResponse = {
  status: 503,
  code: 'stale_configuration',
  message: 'The instance may not have the newest configuration; the request was not run.',
  retryAfterSeconds: 0.3,
};

/** Other instances may have the memory. */
export const MEMORY_EXCEEDED: LocalResponse = {
  status: 503,
  code: 'memory_exceeded',
  message: 'The instance has no memory for the body; the request was not run.',
  retryAfterSeconds: 0.3,
};

/** Other instances can take the request at once. */
export const STOPPING: LocalResponse = {
  status: 503,
  code: 'stopping',
  message: 'The instance is stopping; the request was not run.',
  retryAfterSeconds: 0.2,
};

export const NO_ROUTE: LocalResponse = {
  status: 404,
  code: 'no_route',
  message: 'No route has this path.',
};

export const UNKNOWN_KEY: LocalResponse = {
  status: 401,
  code: 'unknown_key',
  message: 'The API key is not known.',
};

export const TOO_LARGE: LocalResponse = {
  status: 413,
  code: 'too_large',
  message: 'The body is too large.',
};

export const BAD_REQUEST: LocalResponse = {
  status: 400,
  code: 'bad_request',
  message: 'The request has no id, no host or no path.',
};

export const RELAY_FULL: LocalResponse = {
  status: 503,
  code: 'relay_full',
  message: 'The instance serves as many requests of its peers as it can; the request was not run.',
  retryAfterSeconds: 0.6,
};

export const BAD_RELAY: LocalResponse = {
  status: 503,
  code: 'bad_relay',
  message: 'The instance cannot read what a peer states about the request; it was not run.',
  retryAfterSeconds: 0.6,
};
