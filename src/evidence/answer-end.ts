/**
 * Decides whether an answer has arrived whole. A length or chunks state its end; otherwise its connection does,
 * and that ends in order as well when the server's process ends in the middle of the answer. Then only the
 * life of that process after the end shows that the server meant it.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { ServerLife } from '../fleet/end-check.js';

/** The head of an answer, and the method of the request that it is for. */
export interface AnswerHead {
  readonly method: string;
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** What states where an answer ends: the answer itself, or the end of its connection. */
export type AnswerDelimiter = 'answer' | 'connection';

/** What is known of an answer that has ended. */
export interface EndedAnswer {
  /** Whether it ended as its delimiter says: neither reset nor short of its length. */
  readonly isComplete: boolean;
  readonly delimiter: AnswerDelimiter;
  /** What was found of the server's process after the end; undefined while nobody has asked. */
  readonly life?: ServerLife;
}

/** Whether an answer is whole; `askServer` leaves that to the life of its server. */
export type AnswerEnd =
  | { readonly kind: 'whole' }
  | { readonly kind: 'askServer' }
  | { readonly kind: 'unproved'; readonly message: string };

/** Answers with these statuses have no body. */
const BODILESS_STATUSES = new Set([204, 304]);

const UNPROVED_MESSAGES: Readonly<Record<Exclude<ServerLife, 'alive'>, string>> = {
  ended: 'The answer, which has no length, ended with its server.',
  unknown: 'The answer has no length, and its server could not be shown to be alive after its end.',
};

/**
 * Finds out what states the end of an answer. Chunks do only as the last coding: with another one after them the
 * body goes on to the end of the connection.
 *
 * @param head - The answer's head.
 * @returns The delimiter.
 */
export function findDelimiter({ method, status, headers }: AnswerHead): AnswerDelimiter {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) return 'answer';
  const { 'transfer-encoding': codings, 'content-length': length } = headers;
  if (codings === undefined) return length === undefined ? 'connection' : 'answer';
  const last = codings.split(',').at(-1)?.trim().toLowerCase();
  return last === 'chunked' ? 'answer' : 'connection';
}

/**
 * Decides whether an answer is whole.
 *
 * @param answer - What is known of it.
 * @returns `whole` only with a proof.
 */
export function judgeAnswerEnd({ isComplete, delimiter, life }: EndedAnswer): AnswerEnd {
  if (!isComplete) return { kind: 'unproved', message: 'The answer was cut off before its end.' };
  if (delimiter === 'answer' || life === 'alive') return { kind: 'whole' };
  if (life === undefined) return { kind: 'askServer' };
  return { kind: 'unproved', message: UNPROVED_MESSAGES[life] };
}
