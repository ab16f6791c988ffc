/** A client that follows the users' protocol: one request on a new connection, and no retry. */
import http from 'node:http';
import { API_KEY, HOST, type Instance } from './deployment.js';

/** A request of a client. */
export interface ClientRequest {
  readonly id: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  readonly deadlineMilliseconds: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** How long the client waits for the whole answer; the deadline by default. */
  readonly patienceMilliseconds?: number;
}

/** What became of a request. */
export interface ClientResult {
  /** 0 if no answer began. */
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer ended as HTTP says that it is whole. */
  readonly isComplete: boolean;
  /** Whether the client gave up without a whole answer. */
  readonly hasGivenUp: boolean;
  /** On the monotonic clock. */
  readonly sentAt: number;
  readonly endedAt: number;
}

/** Sends a request to an instance; never rejects. */
export function send(instance: Instance, request: ClientRequest): Promise<ClientResult> {
  const { id, method, path, body = '', deadlineMilliseconds, headers = {} } = request;
  const patience = request.patienceMilliseconds ?? deadlineMilliseconds;
  const sentAt = performance.now();
  return new Promise((resolve) => {
    let status = 0;
    let answerHeaders: http.IncomingHttpHeaders = {};
    let text = '';
    let hasGivenUp = false;
    const finish = (isComplete: boolean): void => {
      clearTimeout(timer);
      const endedAt = performance.now();
      resolve({
        status,
        headers: answerHeaders,
        body: text,
        isComplete,
        hasGivenUp,
        sentAt,
        endedAt,
      });
    };
    const sent = http.request({
      host: '127.0.0.1',
      port: instance.ports.front,
      method,
      path,
      agent: false,
      headers: {
        host: HOST,
        'request-id': id,
        'deadline-ms': String(deadlineMilliseconds),
        'api-key': API_KEY,
        'content-length': Buffer.byteLength(body),
        ...headers,
      },
    });
    const timer = setTimeout(() => {
      hasGivenUp = true;
      sent.destroy();
      finish(false);
    }, patience);
    sent.on('response', (response) => {
      status = response.statusCode ?? 0;
      answerHeaders = response.headers;
      response.setEncoding('utf8');
      response.on('data', (part: string) => {
        text += part;
      });
      response.on('end', () => finish(response.complete));
      response.on('error', () => finish(false));
    });
    sent.on('error', () => finish(false));
    sent.end(body);
  });
}

/** Whether a result is a success as the users count it: signed and whole. */
export function isSuccess({ status, headers, isComplete }: ClientResult): boolean {
  const isSigned = headers['response-signature'] !== undefined;
  return status >= 200 && status < 300 && isComplete && isSigned;
}
