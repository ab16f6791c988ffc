/**
 * The outcomes of a request, as they are answered to callers and peers. The set is closed, and each
 * kind states whether the request can have run.
 */
import { z } from 'zod';
import { Address } from '../common/address.js';
import { Issue } from '../common/issue.js';

/** The request ran: the complete response of a backend server. */
export const Completed = z.object({
  kind: z.literal('completed'),
  status: z.number().int(),
  contentType: z.string(),
  body: z.string(),
  /** Whether this is the response of an earlier run with the same idempotency key. */
  isReplay: z.boolean().default(false),
});

/** The request did not run: no backend server received it, or the one that did declined it. */
export const Refused = z.object({
  kind: z.literal('refused'),
  code: z.enum([
    'overloaded',
    'deadline',
    'account_limit',
    'no_backend',
    'leaving',
    'backend_refused',
    'ticket_expired',
    'too_many_open',
    'cancelled',
  ]),
  message: z.string(),
  /** How long the caller should wait before it tries again. */
  retryMilliseconds: z.number(),
  /** The addresses of other instances that can be asked instead. */
  addresses: z.array(Address).default([]),
});

/** The request itself is invalid; sending it again does not help. */
export const Rejected = z.object({
  kind: z.literal('rejected'),
  code: z.string(),
  status: z.number().int(),
  message: z.string(),
  issues: z.array(Issue).default([]),
});

/**
 * The request may have run, or an earlier submission with its key may have. This instance does not
 * send it again.
 */
export const Unknown = z.object({
  kind: z.literal('unknown'),
  code: z.enum([
    'answer_lost',
    'claim_unavailable',
    'issuer_unreachable',
    'issuer_gone',
    'key_expired',
    'stream_broken',
  ]),
  message: z.string(),
  /** After how long the same key can be sent again for a definite outcome; absent if that cannot help. */
  retryMilliseconds: z.number().optional(),
});

/** Another submission with the same key ran or is running, and its outcome is not known here. */
export const AlreadyClaimed = z.object({
  kind: z.literal('alreadyClaimed'),
  message: z.string(),
  retryMilliseconds: z.number().optional(),
});

/** Every outcome that a request can have. */
export const Outcome = z.discriminatedUnion('kind', [
  Completed,
  Refused,
  Rejected,
  Unknown,
  AlreadyClaimed,
]);
export type Outcome = z.infer<typeof Outcome>;
export type OutcomeKind = Outcome['kind'];
export type RefusalCode = z.infer<typeof Refused>['code'];
export type UnknownCode = z.infer<typeof Unknown>['code'];
export type Refusal = z.infer<typeof Refused>;

/**
 * Creates the outcome of a request that did not run.
 *
 * @param code - The reason, for programs.
 * @param message - The reason as a sentence for the caller.
 * @param retryMilliseconds - How long the caller should wait before it tries again; 0 if waiting
 *   does not help.
 * @returns The outcome, without other addresses.
 */
export function createRefusal(
  code: RefusalCode,
  message: string,
  retryMilliseconds: number,
): Refusal {
  return { kind: 'refused', code, message, retryMilliseconds, addresses: [] };
}

/**
 * Creates the outcome of an invalid request.
 *
 * @param code - The reason, for programs; does not change between versions.
 * @param status - The HTTP status to answer with.
 * @param message - The reason as a sentence for the caller.
 * @param issues - The individual problems found in the request.
 * @returns The outcome.
 */
export function createRejection(
  code: string,
  status: number,
  message: string,
  issues: Issue[] = [],
): Outcome {
  return { kind: 'rejected', code, status, message, issues };
}

/**
 * Creates the outcome of a request that may have run.
 *
 * @param code - The reason, for programs.
 * @param message - The reason as a sentence for the caller.
 * @param retryMilliseconds - After how long the same key can be sent again for a definite outcome;
 *   left out if that cannot help.
 * @returns The outcome.
 */
export function createUnknownOutcome(
  code: UnknownCode,
  message: string,
  retryMilliseconds?: number,
): Outcome {
  return { kind: 'unknown', code, message, retryMilliseconds };
}

/** Thrown by an admission queue for a request that it does not run. */
export class RefusalError extends Error {
  readonly refusal: Refusal;

  constructor(refusal: Refusal) {
    super(refusal.message);
    this.name = 'RefusalError';
    this.refusal = refusal;
  }
}
