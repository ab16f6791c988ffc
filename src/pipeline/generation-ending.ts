/** How generations end that did not produce all their tokens. */
import { createRefusal, createRejection, createUnknownOutcome } from '../routing/outcome.js';
import type { GenerationEnd } from './generation-request.js';

/** What became of a generation until it ended. */
export interface UnfinishedProgress {
  /** Whether the caller was sent tokens. */
  readonly hasSentTokens: boolean;
  /** Whether a first stage accepted it or may have. */
  readonly mayHaveRun: boolean;
}

const BROKEN_STREAM_RETRY_MILLISECONDS = 20;
const NO_BACKEND_RETRY_MILLISECONDS = 1000;

/**
 * Creates the end of a generation that can't go on.
 *
 * @param message - Why it can't.
 * @param progress - What has run and been sent so far.
 * @returns A refusal if it certainly did not run, otherwise an unknown outcome.
 */
export function createUnfinishedEnd(
  message: string,
  { hasSentTokens, mayHaveRun }: UnfinishedProgress,
): GenerationEnd {
  if (hasSentTokens) {
    const retryMilliseconds = BROKEN_STREAM_RETRY_MILLISECONDS;
    const outcome = createUnknownOutcome('stream_broken', message, retryMilliseconds);
    return { kind: 'failed', outcome };
  }
  if (mayHaveRun) {
    const outcome = createUnknownOutcome('answer_lost', message, NO_BACKEND_RETRY_MILLISECONDS);
    return { kind: 'failed', outcome };
  }
  const refusal = createRefusal('no_backend', message, NO_BACKEND_RETRY_MILLISECONDS);
  return { kind: 'refused', refusal };
}

/**
 * Creates the end of a generation whose content crashes backend servers.
 *
 * @returns The rejection.
 */
export function createContentRejection(): GenerationEnd {
  const message = 'Backend servers died each time that this content ran.';
  return { kind: 'failed', outcome: createRejection('request_crashes_servers', 422, message) };
}
