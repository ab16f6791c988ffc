/**
 * Sends a call to a replica of a plain service, retries it where that is safe, and reports whether
 * it may have run.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { BackendServer } from '../backend/backend-server.js';
import type { BackendDirectory } from '../backend/directory.js';
import { fetchResponse, HttpRequestError, type HttpResponse } from '../common/http-client.js';
import type { ServiceCallMessage } from '../peer/messages.js';
import { createRefusal, createUnknownOutcome, type Outcome } from '../routing/outcome.js';
import type { RetryBudget } from '../routing/retry-budget.js';

/** Options of {@link dispatch}. */
export interface DispatchOptions {
  readonly call: ServiceCallMessage;
  /** Whether the call may be run more than once without further effect. */
  readonly isIdempotent: boolean;
  readonly directory: BackendDirectory;
  readonly retryBudget: RetryBudget;
  /** The longest wait for the response headers, and again for the rest of the response. */
  readonly timeoutMilliseconds: number;
  readonly random?: () => number;
}

/** The result of one attempt. */
type AttemptResult =
  | { readonly kind: 'answered'; readonly response: HttpResponse }
  /** The replica certainly did not run the call. */
  | { readonly kind: 'not_run'; readonly message: string }
  /** The request was sent but no complete response arrived, so the replica may have run the call. */
  | { readonly kind: 'maybe_run'; readonly message: string };

const MAXIMUM_ATTEMPTS = 4;
const RETRY_MILLISECONDS = 1000;

function buildHeaders(call: ServiceCallMessage): Record<string, string> {
  return {
    ...call.headers,
    'x-request-id': call.requestId,
    ...(call.key === '' ? {} : { 'idempotency-key': call.key }),
  };
}

function isNotRunResponse(status: number, headers: IncomingHttpHeaders): boolean {
  return (status === 503 || status === 429) && headers['x-not-run'] === 'true';
}

async function sendOnce(server: BackendServer, options: DispatchOptions): Promise<AttemptResult> {
  const { call, timeoutMilliseconds } = options;
  try {
    // Each attempt uses a new connection. After a reset of a reused connection it is not known
    // whether any bytes of the request had been sent.
    const response = await fetchResponse({
      address: server.address,
      method: call.method,
      path: call.path,
      headers: buildHeaders(call),
      body: call.body,
      timeoutMilliseconds,
    });
    if (isNotRunResponse(response.status, response.headers))
      return { kind: 'not_run', message: 'The replica refused the call.' };
    return { kind: 'answered', response };
  } catch (error) {
    const { phase, message } = error as HttpRequestError;
    return { kind: phase === 'connecting' ? 'not_run' : 'maybe_run', message };
  }
}

/** Chooses the less loaded of two random replicas, among those without an attempt of this call. */
function chooseReplica(
  options: DispatchOptions,
  triedServers: ReadonlySet<string>,
): BackendServer | undefined {
  const { directory, call, random = Math.random } = options;
  const candidates = directory
    .findUsableReplicas(call.service)
    .filter((server) => !triedServers.has(server.id));
  const pickCandidate = (): BackendServer | undefined =>
    candidates[Math.floor(random() * candidates.length)];
  const [first, second] = [pickCandidate(), pickCandidate()];
  if (!first || !second) return undefined;
  const estimateLoad = (server: BackendServer): number => Math.max(server.inFlight, server.load[0]);
  return estimateLoad(first) <= estimateLoad(second) ? first : second;
}

function createCompletedOutcome(response: HttpResponse): Outcome {
  return {
    kind: 'completed',
    status: response.status,
    contentType: String(response.headers['content-type'] ?? 'application/octet-stream'),
    body: response.body.toString('utf8'),
    isReplay: false,
  };
}

async function runAttempt(server: BackendServer, options: DispatchOptions): Promise<AttemptResult> {
  server.inFlight += 1;
  const result = await sendOnce(server, options);
  if (result.kind === 'answered') server.limit.recordSuccess(server.inFlight);
  else if (result.kind === 'not_run') server.limit.recordRefusal();
  if (result.kind !== 'answered') options.directory.avoid(server.id);
  server.inFlight -= 1;
  return result;
}

/**
 * Dispatches a call to one replica after another until one answers. A call that is not idempotent
 * is only sent again while it certainly has not run.
 *
 * @param options - The call, the known replicas, the retry budget and the timeout.
 * @returns The response of a replica; a refusal if no replica ran the call; otherwise an unknown
 *   outcome.
 */
export async function dispatch(options: DispatchOptions): Promise<Outcome> {
  const { isIdempotent, retryBudget } = options;
  const triedServers = new Set<string>();
  let mayHaveRun = false;
  retryBudget.recordFirstAttempt();
  while (
    triedServers.size < MAXIMUM_ATTEMPTS &&
    (triedServers.size === 0 || retryBudget.tryTake())
  ) {
    const server = chooseReplica(options, triedServers);
    if (!server) break;
    triedServers.add(server.id);
    const result = await runAttempt(server, options);
    if (result.kind === 'answered') return createCompletedOutcome(result.response);
    if (result.kind === 'maybe_run') {
      mayHaveRun = true;
      if (!isIdempotent)
        return createUnknownOutcome('answer_lost', `The answer was lost: ${result.message}`);
    }
  }
  if (mayHaveRun) {
    return createUnknownOutcome('answer_lost', 'No replica answered.', RETRY_MILLISECONDS);
  }
  const code = triedServers.size > 0 ? 'backend_refused' : 'no_backend';
  return createRefusal(code, 'No replica took the call.', RETRY_MILLISECONDS);
}
