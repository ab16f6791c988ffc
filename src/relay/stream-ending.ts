/** Ends a streaming request: completes, refuses or fails it, and records its outcome. */
import type { AdmissionRefusal } from '../admission/admission-control.js';
import { ABORT_RESPONSES } from '../entry/abort-response.js';
import type { CallerStream } from './caller-stream.js';
import type { EntryContext } from '../entry/entry-context.js';
import { getAbortReason, type EntryRequest } from '../entry/entry-request.js';
import { sendLocalResponse, type LocalResponse } from '../entry/entry-response.js';
import { findExpectedRoom } from '../fleet/expected-room.js';
import { getHeldLayers } from '../fleet/fleet-server.js';
import type { StreamRuns } from './stream-runs.js';

/** Options of {@link StreamEnding}. */
export interface StreamEndingOptions {
  readonly context: EntryContext;
  readonly request: EntryRequest;
  readonly caller: CallerStream;
  readonly runs: StreamRuns;
}

const RETRY_AFTER_BLOCKED_SECONDS = 30;

function roundMilliseconds(milliseconds: number | undefined): number | undefined {
  return milliseconds === undefined ? undefined : Math.round(milliseconds);
}

/** The ways in which one streaming request may end; each returns the outcome for the metrics. */
export class StreamEnding {
  readonly #options: StreamEndingOptions;

  constructor(options: StreamEndingOptions) {
    this.#options = options;
  }

  /**
   * Ends a request whose stream is whole, or whose engine's failure was passed on.
   *
   * @param kind - Which of the two.
   */
  complete(kind: 'completed' | 'answered'): string {
    if (kind === 'completed') this.#options.request.response.end();
    return this.#recordOutcome(kind);
  }

  /** Refuses a request whose like has crashed several servers. */
  refuseBlocked(): string {
    return this.#sendLocalResponse('convicted', {
      status: 503,
      code: 'crashes_servers',
      message: 'Requests like this one have crashed several servers; it was not run.',
      retryAfterSeconds: RETRY_AFTER_BLOCKED_SECONDS,
    });
  }

  /** Refuses a new request that is not admitted; nothing was sent or reserved for it. */
  refuseUnadmitted({ code, retryAfterSeconds }: AdmissionRefusal): string {
    return this.#sendLocalResponse('refused', {
      status: 503,
      code,
      message: 'The engines have no room for requests of this priority; it was not run.',
      retryAfterSeconds,
    });
  }

  /** Ends a request for which there is no chain; tells when there will be room, where that is known. */
  refuseWithoutChain(): string {
    const { fleet, serverLimits } = this.#options.context;
    const servers = fleet
      .listForService(this.#options.request.service.name)
      .filter((server) => getHeldLayers(server)?.from === 0);
    const room = findExpectedRoom({ servers, serverLimits, now: performance.now() });
    return room ? this.sendFailure(room.code, room.seconds) : this.sendFailure('no_chain');
  }

  /**
   * Ends the request with a refusal, or with a failure if it may have run.
   *
   * @param refusalCode - Why it is refused, where it has not run.
   * @param retryAfterSeconds - When there is room, where that is known.
   */
  sendFailure(refusalCode: string, retryAfterSeconds?: number): string {
    const { runs, context, request } = this.#options;
    // The instance that passed the request on knows where else it may have run.
    const elsewhere = request.relayed?.processKeys.length ?? 0;
    if (runs.total > elsewhere) {
      return this.#sendLocalResponse('broken', {
        status: 502,
        code: 'engine_failed',
        message: 'An engine failed while it ran the request.',
      });
    }
    context.refusalPacing.recordRefused();
    return this.#sendLocalResponse('refused', {
      status: 503,
      code: refusalCode,
      message: 'No chain of engines could run the request; it was not run.',
      retryAfterSeconds: retryAfterSeconds ?? context.refusalPacing.chooseRetryAfterSeconds(),
    });
  }

  /**
   * Ends the request with the response of a peer that it was passed on to.
   *
   * @param localResponse - A response that the peer created itself.
   */
  sendPeerResponse(localResponse: LocalResponse): string {
    return this.#sendLocalResponse(
      localResponse.status === 503 ? 'refused' : 'broken',
      localResponse,
    );
  }

  /** Ends a request whose peer was lost while it served it. */
  sendPeerLost(): string {
    return this.#sendLocalResponse('broken', {
      status: 502,
      code: 'peer_lost',
      message: 'The instance that served the request was lost; it may have run.',
    });
  }

  /** Ends a request whose deadline has passed, whose caller has left, or that the instance's stop ends. */
  sendTimeout(): string {
    const reason = getAbortReason(this.#options.request.signal) ?? 'deadline';
    return this.#sendLocalResponse(reason, ABORT_RESPONSES[reason]);
  }

  /** For a stream that has begun and isn't finished: what tells whose delay or decision ended it. */
  #describeEnd(outcome: string): Readonly<Record<string, unknown>> {
    const { context, request, caller, runs } = this.#options;
    if (!caller.hasStarted || outcome === 'completed') return {};
    return {
      isUnfinished: true,
      silenceMilliseconds: roundMilliseconds(caller.silenceMilliseconds),
      eventLoopDelayMilliseconds: context.eventLoopDelay.longestSince(request.receivedAt),
      configurationVersionAtBegin: request.configurationVersion,
      configurationVersion: context.configurationVersion(),
      attempts: runs.total,
      endedServers: runs.endedProcessKeys,
    };
  }

  #sendLocalResponse(outcome: string, localResponse: LocalResponse): string {
    const { response, metadata } = this.#options.request;
    // A stream that has started is destroyed without its last chunk, so it does not look complete.
    sendLocalResponse(response, metadata.requestId, localResponse);
    return this.#recordOutcome(outcome, localResponse.code);
  }

  /** @param code - Why this instance ended the request itself. */
  #recordOutcome(outcome: string, code?: string): string {
    const { context, request, caller, runs } = this.#options;
    const { account, route, metadata, receivedAt } = request;
    const { firstEventMilliseconds, longestPauseMilliseconds } = caller;
    const labels = { account: account?.name ?? '', kind: route.kind, outcome };
    if (outcome === 'refused') context.metrics.countEvent(`refused_${code}`);
    context.metrics.recordRequest(
      labels,
      firstEventMilliseconds === undefined ? undefined : firstEventMilliseconds / 1000,
    );
    context.logs('caller').info('Request finished.', {
      requestId: metadata.requestId,
      ...labels,
      code,
      route: route.name,
      firstEventMilliseconds: roundMilliseconds(firstEventMilliseconds),
      totalMilliseconds: Math.round(performance.now() - receivedAt),
      longestPauseMilliseconds: roundMilliseconds(longestPauseMilliseconds),
      targetMilliseconds: route.targetMilliseconds,
      gapTargetMilliseconds: route.gapTargetMilliseconds,
      lastEventId: caller.lastEventId,
      runs: runs.countedServers,
      ...this.#describeEnd(outcome),
    });
    return outcome;
  }
}
