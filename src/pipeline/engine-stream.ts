/**
 * Starts a generation on the first stage of a chain and reads its events. Every failure is reported
 * with its kind and the stage at fault, which decide how the request continues.
 */
import http from 'node:http';
import { EngineEvent, type EngineTask } from '../backend/engine-protocol.js';
import { HttpRequestError, fetchResponseStream, readBody } from '../common/http-client.js';
import { readJsonLines } from '../common/json-lines.js';

/** Why a chain produced no further tokens. */
export type StreamFailureKind =
  /** The first stage answered that it did not run the task. */
  | 'not_run'
  /** The first stage answered that it is leaving and did not run the task. */
  | 'leaving'
  /** No connection to the first stage could be opened. */
  | 'unreachable'
  /** The connection to the first stage broke. */
  | 'broken'
  /** No event arrived within the allowed time. */
  | 'silent'
  /** A stage reported that it or the next stage failed, or its tokens were wrong or missing. */
  | 'stage_failed';

/** The failures after which the first stage, and so every stage, certainly did not run the task. */
export const FAILURES_BEFORE_THE_RUN: ReadonlySet<StreamFailureKind> = new Set([
  'not_run',
  'leaving',
  'unreachable',
]);

/** Thrown for a stream that ended before its last token. */
export class EngineStreamError extends Error {
  readonly kind: StreamFailureKind;

  /** The index of the stage at fault; 0 if it is not known. */
  readonly stage: number;

  constructor(kind: StreamFailureKind, stage: number, message: string) {
    super(message);
    this.name = 'EngineStreamError';
    this.kind = kind;
    this.stage = stage;
  }
}

/** Options of {@link streamFromEngine}. */
export interface EngineStreamOptions {
  readonly task: EngineTask;
  /** The longest wait for the response headers of the first stage. */
  readonly headerTimeoutMilliseconds: number;
  /** Returns the longest wait for the next event; called anew for each event. */
  readonly getIdleTimeoutMilliseconds: () => number;
  /**
   * Called when no event has arrived for the time above. Returns whether to keep waiting; without
   * it the stream fails.
   */
  readonly shouldKeepWaiting?: (silentMilliseconds: number) => Promise<boolean>;
  readonly signal: AbortSignal;
}

const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity, maxFreeSockets: 64 });

async function openStream(options: EngineStreamOptions): Promise<http.IncomingMessage> {
  const { task, signal, headerTimeoutMilliseconds } = options;
  const [first] = task.route;
  if (!first) throw new EngineStreamError('unreachable', 0, 'The chain has no stages.');
  try {
    return await fetchResponseStream({
      address: first.address,
      method: 'POST',
      path: '/generate',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(task),
      timeoutMilliseconds: headerTimeoutMilliseconds,
      signal,
      agent,
    });
  } catch (error) {
    const { phase, message } = error as HttpRequestError;
    throw new EngineStreamError(phase === 'connecting' ? 'unreachable' : 'broken', 0, message);
  }
}

async function throwUnlessAccepted(response: http.IncomingMessage): Promise<void> {
  if (response.statusCode === 200) return;
  const body = await readBody(response).catch(() => Buffer.alloc(0));
  const message = `Status ${response.statusCode}: ${body.toString().slice(0, 200)}`;
  const isNotRun = response.headers['x-not-run'] === 'true';
  if (isNotRun) {
    throw new EngineStreamError(response.statusCode === 503 ? 'leaving' : 'not_run', 0, message);
  }
  throw new EngineStreamError('broken', 0, message);
}

/**
 * Runs a task on the first stage of its route and yields its tokens.
 *
 * @param options - The task and the timeouts.
 * @returns The token events in the order of their arrival; returns after the last one.
 * @throws EngineStreamError if the stream does not reach its end event.
 */
export async function* streamFromEngine(
  options: EngineStreamOptions,
): AsyncGenerator<Extract<EngineEvent, { kind: 'token' }>, void, undefined> {
  const response = await openStream(options);
  await throwUnlessAccepted(response);
  try {
    const { getIdleTimeoutMilliseconds, shouldKeepWaiting } = options;
    const lines = readJsonLines(response, {
      idleTimeoutMilliseconds: getIdleTimeoutMilliseconds,
      ...(shouldKeepWaiting ? { shouldKeepWaiting } : {}),
    });
    for await (const line of lines) {
      const event = EngineEvent.parse(line);
      if (event.kind === 'end') return;
      if (event.kind === 'failed') {
        throw new EngineStreamError('stage_failed', event.stage, event.reason);
      }
      yield event;
    }
  } catch (error) {
    if (error instanceof EngineStreamError) throw error;
    // An idle timeout of the stream can only be told from other errors by its message.
    const message = error instanceof Error ? error.message : String(error);
    throw new EngineStreamError(message.includes('stalled') ? 'silent' : 'broken', 0, message);
  }
  throw new EngineStreamError('broken', 0, 'The stream ended without an end event.');
}
