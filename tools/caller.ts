/** A caller of the system, for tests, the demo and the load tool. */
import http from 'node:http';
import type { Address } from '../src/common/address.js';
import { fetchResponse, fetchResponseStream, readBody } from '../src/common/http-client.js';

/** What a caller was told in the end. */
export interface CallerAnswer {
  readonly status: number;
  /** The outcome's kind, or `broken` when the connection brought no whole answer. */
  readonly outcome: string;
  readonly body: string;
  readonly headers: http.IncomingHttpHeaders;
}

/** What a caller of a stream got. */
export interface StreamAnswer {
  readonly status: number;
  /** `completed`, an outcome's kind, or `broken`. */
  readonly outcome: string;
  readonly tokens: string[];
  readonly lastEventId: string;
  /** When the request was sent and each token came, on the monotonic clock. */
  readonly sentAt: number;
  readonly tokenTimes: number[];
  readonly body: string;
}

/** A generation to ask for. */
export interface GenerationBody {
  readonly model: string;
  readonly prompt: string;
  readonly max_tokens: number;
  readonly seed?: number;
  readonly received?: readonly string[];
}

/** Options of a call. */
export interface CallOptions {
  readonly account?: string;
  readonly headers?: Record<string, string>;
  readonly timeoutMilliseconds?: number;
  readonly signal?: AbortSignal;
  readonly agent?: http.Agent;
  /** Called with each token as it comes. */
  readonly onToken?: (count: number) => void;
}

const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;

/**
 * Calls a path of an instance.
 *
 * @param address - The instance's caller address.
 * @param method - The HTTP method.
 * @param path - The path.
 * @param body - The body to send.
 * @param options - Whose call it is and its headers.
 * @returns What the caller was told.
 */
export async function callPath(
  address: Address,
  method: string,
  path: string,
  body = '',
  options: CallOptions = {},
): Promise<CallerAnswer> {
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

/** Gathers what a stream brings. */
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
 * Asks for a generation as a stream.
 *
 * @param address - The instance's caller address.
 * @param generation - What to generate.
 * @param options - Whose call it is and its headers.
 * @returns The tokens that came and how it ended.
 */
export async function stream(
  address: Address,
  generation: GenerationBody,
  options: CallOptions = {},
): Promise<StreamAnswer> {
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
 * Makes an idempotency key.
 *
 * @param name - What makes it unique.
 * @param madeAt - Its time.
 * @returns The key.
 */
export function makeKey(name: string, madeAt = Date.now()): string {
  return `${madeAt}-${name}`;
}
