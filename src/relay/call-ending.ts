/** Ends a call to a plain service: passes an answer on, refuses it or fails it, and records its outcome. */
import { ABORT_RESPONSES } from '../entry/abort-response.js';
import { readAnswer } from './backend-request.js';
import type { EntryContext } from '../entry/entry-context.js';
import { getAbortReason, type EntryRequest } from '../entry/entry-request.js';
import {
  appendHeaders,
  getEndToEndHeaders,
  sendLocalResponse,
  type LocalResponse,
} from '../entry/entry-response.js';
import { getErrorMessage } from '../common/http-client.js';
import { assertWholeFromPeer } from '../evidence/whole-answer.js';
import type { PeerAnswer } from './peer-answer.js';

/** A backend server's response, read completely. */
export interface BufferedResponse {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/**
 * Reads the answer that a peer got for a call.
 *
 * @param answer - The answer, whose body has not been read.
 * @param request - The call.
 * @returns The answer, read completely.
 * @throws HttpRequestError when it breaks off or is not shown to be whole.
 */
export async function readPeerAnswer(
  { message, status }: Extract<PeerAnswer, { kind: 'served' }>,
  { incoming, memory }: Pick<EntryRequest, 'incoming' | 'memory'>,
): Promise<BufferedResponse> {
  const body = await readAnswer(message, memory);
  assertWholeFromPeer({ message, method: incoming.method ?? 'GET' });
  return { status, headers: getEndToEndHeaders(message), body };
}

/** Options of {@link CallEnding}. */
export interface CallEndingOptions {
  readonly context: EntryContext;
  readonly request: EntryRequest;
  /** The number of attempts that may have run, for the log. */
  readonly countRuns: () => number;
}

/** The ways in which one call may end; each returns the outcome for the metrics. */
export class CallEnding {
  readonly #options: CallEndingOptions;

  constructor(options: CallEndingOptions) {
    this.#options = options;
  }

  /** Passes a backend server's answer on. */
  complete({ status, headers, body }: BufferedResponse): string {
    const { response } = this.#options.request;
    appendHeaders(response, headers);
    response.statusCode = status;
    response.end(body);
    return this.#recordOutcome(status < 400 ? 'completed' : 'answered');
  }

  /**
   * Passes on the answer that a peer got for the call.
   *
   * @param answer - The answer, whose body has not been read.
   */
  async completeFromPeer(answer: Extract<PeerAnswer, { kind: 'served' }>): Promise<string> {
    const { context, request } = this.#options;
    try {
      return this.complete(await readPeerAnswer(answer, request));
    } catch (error) {
      if (request.signal.aborted) return this.sendTimeout();
      context.logs('routing').info('The answer of the peer broke off.', {
        requestId: request.metadata.requestId,
        peer: answer.peer,
        message: getErrorMessage(error),
      });
      return this.sendUnknownOutcome();
    }
  }

  /**
   * Refuses a call that did not run.
   *
   * @param code - Why it is refused.
   * @param retryAfterSeconds - When the caller may come back.
   */
  refuse(code: string, retryAfterSeconds: number): string {
    return this.#sendLocalResponse('refused', {
      status: 503,
      code,
      message: 'No server could run the request; it was not run.',
      retryAfterSeconds,
    });
  }

  /** Ends the call with a response that a peer created itself. */
  sendPeerResponse(localResponse: LocalResponse): string {
    return this.#sendLocalResponse(
      localResponse.status === 503 ? 'refused' : 'unknown',
      localResponse,
    );
  }

  /** Ends a call that may have run without a whole answer. */
  sendUnknownOutcome(): string {
    return this.#sendLocalResponse('unknown', {
      status: 502,
      code: 'outcome_unknown',
      message: 'The server gave no whole answer; the request may have run.',
    });
  }

  /** Ends a call whose deadline has passed, whose caller has left, or that the instance's stop ends. */
  sendTimeout(): string {
    const reason = getAbortReason(this.#options.request.signal) ?? 'deadline';
    return this.#sendLocalResponse(reason, ABORT_RESPONSES[reason]);
  }

  #sendLocalResponse(outcome: string, localResponse: LocalResponse): string {
    const { response, metadata } = this.#options.request;
    sendLocalResponse(response, metadata.requestId, localResponse);
    return this.#recordOutcome(outcome, outcome === 'refused' ? localResponse.code : undefined);
  }

  /** @param code - Why the request was refused. */
  #recordOutcome(outcome: string, code?: string): string {
    const { context, request, countRuns } = this.#options;
    const { metrics, logs } = context;
    const { account, route, metadata, receivedAt } = request;
    if (code !== undefined) metrics.countEvent(`refused_${code}`);
    const totalMilliseconds = performance.now() - receivedAt;
    const labels = { account: account?.name ?? '', kind: route.kind, outcome };
    metrics.recordRequest(labels, outcome === 'completed' ? totalMilliseconds / 1000 : undefined);
    logs('caller').info('Request finished.', {
      requestId: metadata.requestId,
      ...labels,
      code,
      route: route.name,
      totalMilliseconds: Math.round(totalMilliseconds),
      runs: countRuns(),
    });
    return outcome;
  }
}
