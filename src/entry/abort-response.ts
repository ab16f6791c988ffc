/** The responses with which an instance ends requests that were aborted and may have run. */
import type { AbortReason } from './entry-request.js';
import type { LocalResponse } from './entry-response.js';

const TIMEOUT: LocalResponse = {
  status: 504,
  code: 'timeout',
  message: 'The request was not finished in its time; it may have run.',
};

const STOPPED: LocalResponse = {
  status: 502,
  code: 'stopped',
  message: 'The instance stopped before the request was finished; it may have run.',
};

/** A caller that has left gets none of them; what is recorded is what it would have got. */
export const ABORT_RESPONSES: Readonly<Record<AbortReason, LocalResponse>> = {
  callerGone: TIMEOUT,
  deadline: TIMEOUT,
  stopping: STOPPED,
};
