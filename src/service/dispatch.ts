/** Sends a call to a replica of a plain service, and tells truly whether it may have run. */
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
  /** Whether the call may run more than once. */
  readonly isIdempotent: boolean;
  readonly directory: BackendDirectory;
  readonly retryBudget: RetryBudget;
  readonly timeoutMilliseconds: number;
  readonly random?: () => number;
}

/** What one try came to. */
type Try =
  | { readonly kind: 'answered'; readonly answer: HttpResponse }
  /** The replica certainly did not run it. */
  | { readonly kind: 'not_run'; readonly message: string }
  | { readonly kind: 'maybe_run'; readonly message: string };

const MAXIMUM_TRIES = 4;
const RETRY_MILLISECONDS = 1000;

function headersFor(call: ServiceCallMessage): Record<string, string> {
  return {
    ...call.headers,
    'x-request-id': call.requestId,
    ...(call.key === '' ? {} : { 'idempotency-key': call.key }),
  };
}

function saysNotRun(status: number, headers: IncomingHttpHeaders): boolean {
  return (status === 503 || status === 429) && headers['x-not-run'] === 'true';
}

async function tryOnce(server: BackendServer, options: DispatchOptions): Promise<Try> {
  const { call, timeoutMilliseconds } = options;
  try {
    // A connection of its own: on a reused one a reset would not show whether bytes had left.
    const answer = await fetchResponse({
      address: server.address,
      method: call.method,
      path: call.path,
      headers: headersFor(call),
      body: call.body,
      timeoutMilliseconds,
    });
    if (saysNotRun(answer.status, answer.headers))
      return { kind: 'not_run', message: 'It refused.' };
    return { kind: 'answered', answer };
  } catch (error) {
    const { phase, message } = error as HttpRequestError;
    return { kind: phase === 'connecting' ? 'not_run' : 'maybe_run', message };
  }
}

/** Chooses the less loaded of two random replicas that have not been tried. */
function chooseReplica(
  options: DispatchOptions,
  tried: ReadonlySet<string>,
): BackendServer | undefined {
  const { directory, call, random = Math.random } = options;
  const usable = directory.usableReplicas(call.service).filter((server) => !tried.has(server.id));
  const pick = (): BackendServer | undefined => usable[Math.floor(random() * usable.length)];
  const [one, other] = [pick(), pick()];
  if (!one || !other) return undefined;
  const loadOf = (server: BackendServer): number => Math.max(server.inFlight, server.load[0]);
  return loadOf(one) <= loadOf(other) ? one : other;
}

function completed(answer: HttpResponse): Outcome {
  return {
    kind: 'completed',
    status: answer.status,
    contentType: String(answer.headers['content-type'] ?? 'application/octet-stream'),
    body: answer.body.toString('utf8'),
    isReplay: false,
  };
}

async function tryAt(server: BackendServer, options: DispatchOptions): Promise<Try> {
  server.inFlight += 1;
  const result = await tryOnce(server, options);
  if (result.kind === 'answered') server.limit.recordSuccess(server.inFlight);
  else if (result.kind === 'not_run') server.limit.recordRefusal();
  if (result.kind !== 'answered') options.directory.avoid(server.id);
  server.inFlight -= 1;
  return result;
}

/**
 * Dispatches a call. One that is not idempotent is tried again only while it certainly has not
 * run.
 *
 * @param options - The call, the replicas and how often it may be tried.
 * @returns The outcome.
 */
export async function dispatch(options: DispatchOptions): Promise<Outcome> {
  const { isIdempotent, retryBudget } = options;
  const tried = new Set<string>();
  let mayHaveRun = false;
  retryBudget.recordFirstAttempt();
  while (tried.size < MAXIMUM_TRIES && (tried.size === 0 || retryBudget.tryTake())) {
    const server = chooseReplica(options, tried);
    if (!server) break;
    tried.add(server.id);
    const result = await tryAt(server, options);
    if (result.kind === 'answered') return completed(result.answer);
    if (result.kind === 'maybe_run') {
      mayHaveRun = true;
      if (!isIdempotent)
        return createUnknownOutcome('answer_lost', `The answer was lost: ${result.message}`);
    }
  }
  if (mayHaveRun) {
    return createUnknownOutcome('answer_lost', 'No replica answered.', RETRY_MILLISECONDS);
  }
  const code = tried.size > 0 ? 'backend_refused' : 'no_backend';
  return createRefusal(code, 'No replica took the call.', RETRY_MILLISECONDS);
}
