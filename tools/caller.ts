/** HTTP client that acts as a caller of the system, for tests, the demo and the experiments. */
import http from 'node:http';
import type { Address } from '../src/common/address.js';
import { fetchResponse, fetchResponseStream, readBody } from '../src/common/http-client.js';

/** The response to a call, or the failure to get one. */
export interface CallerResponse {
  /** The HTTP status code, or 0 if no complete response arrived. */
  readonly status: number;
  /**
   * The outcome that the response states, `none` if it states none, or `broken` without a complete
   * response.
   */
  readonly outcome: string;
  readonly body: string;
  readonly headers: http.IncomingHttpHeaders;
}

/** What a caller received of a streamed generation. */
export interface StreamResult {
  /** The HTTP status code, or 0 if no response began. */
  readonly status: number;
  /**
   * `completed`, the outcome that the response or its error event states, or `broken` if it ended
   * early.
   */
  readonly outcome: string;
  readonly tokens: string[];
  readonly lastEventId: string;
  /** When the request was sent, in milliseconds on the monotonic clock. */
  readonly sentAt: number;
  /** When each token arrived, on the same clock. */
  readonly tokenTimes: number[];
  /** The body of a response other than 200, or the error that broke the stream off. */
  readonly body: string;
}

/** The body of a generation request. */
export interface GenerationBody {
  readonly model: string;
  readonly prompt: string;
  readonly max_tokens: number;
  readonly seed?: number;
  readonly received?: readonly string[];
}

/** Options of a request. */
export interface RequestOptions {
  /** The client account; `planner` by default. */
  readonly account?: string;
  readonly headers?: Record<string, string>;
  /** The longest wait for the head of the response; 30 s by default. */
  readonly timeoutMilliseconds?: number;
  readonly signal?: AbortSignal;
  readonly agent?: http.Agent;
  /** Called for each token that arrives, with the number of tokens so far. */
  readonly onToken?: (count: number) => void;
}

const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;

/**
 * Sends a request to an instance and waits for the complete response.
 *
 * @param address - The instance's caller address.
 * @param method - The HTTP method.
 * @param path - The URL path.
 * @param body - The request body.
 * @param options - The client account, further headers and limits.
 * @returns The response; status 0 and outcome `broken` on failure. It never rejects.
 */
export async function sendRequest(
  address: Address,
  method: string,
  path: string,
  body = '',
  options: RequestOptions = {},
): Promise<CallerResponse> {
  const {
    account = 'planner',
    headers = {},
    timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS,
  } = options;
  try {
    const response = await fetchResponse({
      address,
      method,
      path,
      body,
      timeoutMilliseconds,
      headers: { 'x-client-account': account, ...headers },
      ...(options.signal ? { signal: options.signal } : {}),
      ...(options.agent ? { agent: options.agent } : {}),
    });
    const outcome = response.headers['x-outcome']?.toString() ?? 'none';
    return {
      status: response.status,
      outcome,
      body: response.body.toString(),
      headers: response.headers,
    };
  } catch (error) {
    return { status: 0, outcome: 'broken', body: String(error), headers: {} };
  }
}

interface ServerSentEvent {
  readonly id: string;
  readonly event: string;
  readonly data: string;
}

function parseEvent(text: string): ServerSentEvent {
  const fields = Object.fromEntries(
    text.split('\n').map((line) => {
      const separator = line.indexOf(': ');
      return [line.slice(0, separator), line.slice(separator + 2)];
    }),
  ) as Record<string, string>;
  return { id: fields.id ?? '', event: fields.event ?? '', data: fields.data ?? '' };
}

/** Collects the tokens and the outcome of an event stream. */
class StreamCollector {
  readonly tokens: string[] = [];

  readonly tokenTimes: number[] = [];

  outcome = 'broken';

  lastEventId = '';

  incompleteEvent = '';

  readonly #onToken: ((count: number) => void) | undefined;

  constructor(onToken?: (count: number) => void) {
    this.#onToken = onToken;
  }

  /** Handles all events that the text completes and keeps the rest for the next call. */
  push(text: string): void {
    const events = (this.incompleteEvent + text).split('\n\n');
    this.incompleteEvent = events.pop() ?? '';
    events.map(parseEvent).forEach((event) => this.#handleEvent(event));
  }

  #handleEvent({ id, event, data }: ServerSentEvent): void {
    if (event === 'error') this.outcome = (JSON.parse(data) as { outcome: string }).outcome;
    else if (data === '[DONE]') this.outcome = 'completed';
    else {
      const { choices } = JSON.parse(data) as { choices: { text: string }[] };
      this.tokens.push(choices[0]?.text ?? '');
      this.tokenTimes.push(performance.now());
      this.lastEventId = id;
      this.#onToken?.(this.tokens.length);
    }
  }
}

/**
 * Requests a generation as an event stream and waits for its end.
 *
 * @param address - The instance's caller address.
 * @param generation - The body of the request.
 * @param options - The client account, further headers and limits.
 * @returns The tokens received and the outcome; it never rejects because of a failed request.
 */
export async function requestStream(
  address: Address,
  generation: GenerationBody,
  options: RequestOptions = {},
): Promise<StreamResult> {
  const { account = 'planner', headers = {}, onToken, signal, agent } = options;
  const collector = new StreamCollector(onToken);
  const sentAt = performance.now();
  let status = 0;
  let body = '';
  try {
    const response = await fetchResponseStream({
      address,
      method: 'POST',
      path: '/v1/completions',
      body: JSON.stringify({ ...generation, stream: true }),
      headers: { 'x-client-account': account, 'content-type': 'application/json', ...headers },
      timeoutMilliseconds: options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS,
      ...(signal ? { signal } : {}),
      ...(agent ? { agent } : {}),
    });
    status = response.statusCode ?? 0;
    if (status !== 200) {
      collector.outcome = response.headers['x-outcome']?.toString() ?? 'none';
      body = (await readBody(response)).toString();
    } else {
      response.setEncoding('utf8');
      for await (const part of response) collector.push(part as string);
    }
  } catch (error) {
    body = String(error);
  }
  const { outcome, tokens, tokenTimes, lastEventId } = collector;
  return { status, outcome, tokens, lastEventId, sentAt, tokenTimes, body };
}

/**
 * Creates an idempotency key.
 *
 * @param name - The part of the key that makes it unique.
 * @param madeAt - The creation time that the key states, in milliseconds since 1970.
 * @returns The key.
 */
export function createIdempotencyKey(name: string, madeAt = Date.now()): string {
  return `${madeAt}-${name}`;
}
