/** Writes a generation to the caller, as a stream of server-sent events or as one JSON body. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { GeneratedToken } from '../pipeline/generation-request.js';
import type { Outcome } from '../routing/outcome.js';
import { createOutcomeResponse } from './outcome-response.js';

/** Writes the tokens of one generation to its caller. */
export interface CompletionWriter {
  /**
   * Writes one token with its event id, from which the stream can be resumed. Resolves when the
   * response can take more data.
   */
  readonly writeToken: (token: GeneratedToken, id: string) => Promise<void>;
  /** Ends a complete response; returns it whole, so that it can be recorded and replayed. */
  readonly finish: () => Outcome;
  /** Ends a response that failed part-way with an error event; does nothing if none was started. */
  readonly fail: (outcome: Outcome) => void;
}

/** Options of {@link createStreamWriter} and {@link createBufferedWriter}. */
export interface CompletionWriterOptions {
  readonly response: ServerResponse;
  readonly requestId: string;
  /** The model's name, as the caller gave it. */
  readonly model: string;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

const STREAM_HEADERS = {
  'content-type': 'text/event-stream',
  'cache-control': 'no-store',
  'x-outcome': 'stream',
};

function formatCompletion(
  options: CompletionWriterOptions,
  text: string,
  tokenCount: number,
): string {
  const { requestId, model } = options;
  const choices = [{ index: 0, text, finish_reason: 'length' }];
  return JSON.stringify({
    id: requestId,
    object: 'text_completion',
    model,
    choices,
    usage: { completion_tokens: tokenCount },
  });
}

function createCompletedOutcome(body: string): Outcome {
  return { kind: 'completed', status: 200, contentType: 'application/json', body, isReplay: false };
}

/** Creates a writer that sends each token at once, as a server-sent event. */
export function createStreamWriter(options: CompletionWriterOptions): CompletionWriter {
  const { response, requestId, model, signal } = options;
  let text = '';
  let tokenCount = 0;
  return {
    writeToken: async ({ token, position }, id) => {
      if (!response.headersSent) response.writeHead(200, STREAM_HEADERS);
      text += token;
      tokenCount += 1;
      const data = JSON.stringify({
        id: requestId,
        model,
        choices: [{ index: 0, text: token }],
        position,
      });
      const hasRoom = response.write(`id: ${id}\ndata: ${data}\n\n`);
      if (!hasRoom && !signal.aborted)
        await once(response, 'drain', { signal }).catch(() => undefined);
    },
    finish: () => {
      if (!response.headersSent) response.writeHead(200, STREAM_HEADERS);
      response.end('data: [DONE]\n\n');
      return createCompletedOutcome(formatCompletion(options, text, tokenCount));
    },
    fail: (outcome) => {
      if (!response.headersSent) return;
      response.end(`event: error\ndata: ${createOutcomeResponse(outcome).body}\n\n`);
    },
  };
}

/** Creates a writer that collects the tokens; `finish` returns the outcome that is to be sent. */
export function createBufferedWriter(options: CompletionWriterOptions): CompletionWriter {
  const tokens: string[] = [];
  return {
    writeToken: async ({ token }) => {
      tokens.push(token);
    },
    finish: () => createCompletedOutcome(formatCompletion(options, tokens.join(''), tokens.length)),
    fail: () => undefined,
  };
}
