/** Checks that an answer that has been read to its end is whole, and asks its server where that is open. */
import type { IncomingMessage } from 'node:http';
import { sleep } from '../common/clock.js';
import { HttpRequestError } from '../common/http-client.js';
import type { EndCheck, ServerLife } from '../fleet/end-check.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import { findDelimiter, judgeAnswerEnd, type AnswerDelimiter } from './answer-end.js';

/** An answer that is not shown to be whole: its server may have ended in its middle. */
export class UnprovedAnswerError extends HttpRequestError {
  constructor(message: string) {
    super('answering', message);
    this.name = 'UnprovedAnswerError';
  }
}

/** An answer that has been read to its end. */
export interface ReadAnswer {
  readonly message: IncomingMessage;
  /** The method of the request. */
  readonly method: string;
}

/** Options of {@link assertWhole}. */
export interface WholenessOptions {
  readonly endCheck: Pick<EndCheck, 'findLife'>;
  /** The process that answered. */
  readonly entry: ServerEntry;
  /** Aborts when the answer is no longer wanted. */
  readonly signal: AbortSignal;
}

/** An answer whose server gives no sign of life for so long is not passed on. */
const MAXIMUM_QUESTION_MILLISECONDS = 1000;

async function askLife({ endCheck, entry, signal }: WholenessOptions): Promise<ServerLife> {
  const answered = new AbortController();
  const wait = sleep(
    MAXIMUM_QUESTION_MILLISECONDS,
    AbortSignal.any([signal, answered.signal]),
  ).then(() => 'unknown' as const);
  try {
    return await Promise.race([endCheck.findLife(entry), wait]);
  } finally {
    answered.abort();
  }
}

function listFacts({ message, method }: ReadAnswer) {
  const { complete: isComplete, statusCode: status = 0, headers } = message;
  return { isComplete, delimiter: findDelimiter({ method, status, headers }) };
}

/**
 * Checks that a server's answer is whole. One that has neither a length nor chunks costs one connection to its
 * server, which is made after the end.
 *
 * @param answer - The answer.
 * @param options - Whom to ask.
 * @returns What stated its end.
 * @throws UnprovedAnswerError when nothing shows that it is whole.
 */
export async function assertWhole(
  answer: ReadAnswer,
  options: WholenessOptions,
): Promise<AnswerDelimiter> {
  const facts = listFacts(answer);
  let end = judgeAnswerEnd(facts);
  if (end.kind === 'askServer') end = judgeAnswerEnd({ ...facts, life: await askLife(options) });
  if (end.kind === 'unproved') throw new UnprovedAnswerError(end.message);
  return facts.delimiter;
}

/**
 * Checks that an answer that a peer passed on is whole. Instances frame all that they pass on, so that an answer
 * without a length or chunks proves nothing.
 *
 * @param answer - The answer.
 * @throws UnprovedAnswerError when nothing shows that it is whole.
 */
export function assertWholeFromPeer(answer: ReadAnswer): void {
  const end = judgeAnswerEnd({ ...listFacts(answer), life: 'unknown' });
  if (end.kind === 'unproved') throw new UnprovedAnswerError(`From a peer: ${end.message}`);
}
