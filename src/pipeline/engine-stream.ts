/** Opens a generation at a pipeline's first stage and reads its events. */
import http from 'node:http';
import { EngineEvent, type EngineTask } from '../backend/engine-protocol.js';
import { HttpRequestError, fetchResponseStream, readBody } from '../common/http-client.js';
import { readJsonLines } from '../common/json-lines.js';

/** Why a pipeline brought no more tokens. */
export type StreamFailureKind =
  /** The first stage said that it did not run the task. */
  | 'not_run'
  /** The first stage said that it is leaving. */
  | 'leaving'
  /** No connection to the first stage. */
  | 'unreachable'
  /** The connection to the first stage broke. */
  | 'broken'
  /** Nothing came for too long. */
  | 'silent'
  /** A stage reported that it, or the next one, failed. */
  | 'stage_failed';

/** The end of a stream that did not finish. */
export class EngineStreamError extends Error {
  readonly kind: StreamFailureKind;

  /** The index of the stage at fault, as far as it is known. */
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
  readonly headerTimeoutMilliseconds: number;
  readonly getIdleTimeoutMilliseconds: () => number;
  /** Tells whether to go on waiting after that many milliseconds of silence. */
  readonly canKeepWaiting?: (silentMilliseconds: number) => Promise<boolean>;
  readonly signal: AbortSignal;
}

const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity, maxFreeSockets: 64 });

async function open(options: EngineStreamOptions): Promise<http.IncomingMessage> {
  const { task, signal, headerTimeoutMilliseconds: headTimeoutMilliseconds } = options;
  const [first] = task.route;
  if (!first) throw new EngineStreamError('unreachable', 0, 'The route is empty.');
  try {
    return await fetchResponseStream({
      address: first.address,
      method: 'POST',
      path: '/generate',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(task),
      timeoutMilliseconds: headTimeoutMilliseconds,
      signal,
      agent,
    });
  } catch (error) {
    const { phase, message } = error as HttpRequestError;
    throw new EngineStreamError(phase === 'connecting' ? 'unreachable' : 'broken', 0, message);
  }
}

async function refuseUnlessOk(response: http.IncomingMessage): Promise<void> {
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
 * Runs a task at its first stage.
 *
 * @param options - The task and how long to wait for its events.
 * @returns The token events in the order in which they arrive; it returns at the task's end.
 * @throws EngineStreamError when the stream does not finish.
 */
export async function* streamFromEngine(
  options: EngineStreamOptions,
): AsyncGenerator<Extract<EngineEvent, { kind: 'token' }>, void, undefined> {
  const response = await open(options);
  await refuseUnlessOk(response);
  try {
    const { getIdleTimeoutMilliseconds: idleMilliseconds, canKeepWaiting: mayGoOn } = options;
    const lines = readJsonLines(response, {
      idleTimeoutMilliseconds: idleMilliseconds,
      ...(mayGoOn ? { shouldKeepWaiting: mayGoOn } : {}),
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
    const message = error instanceof Error ? error.message : String(error);
    throw new EngineStreamError(message.includes('stalled') ? 'silent' : 'broken', 0, message);
  }
  throw new EngineStreamError('broken', 0, 'The stream ended early.');
}
