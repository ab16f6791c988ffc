/** What a caller is told in the end: a closed set of outcomes. */
import { z } from 'zod';
import { Address } from '../common/address.js';
import { Issue } from '../common/issue.js';

/** The whole answer of a backend server. */
export const Completed = z.object({
  kind: z.literal('completed'),
  status: z.number().int(),
  contentType: z.string(),
  body: z.string(),
  /** Whether this is the recorded answer of an earlier run of the same key. */
  isReplay: z.boolean().default(false),
});

/** Nothing that could act on the request has reached a backend server. */
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
  /** When to come back. */
  retryMilliseconds: z.number(),
  /** Other instances to ask. */
  addresses: z.array(Address).default([]),
});

/** The request itself is wrong; asking again does not help. */
export const Rejected = z.object({
  kind: z.literal('rejected'),
  code: z.string(),
  status: z.number().int(),
  message: z.string(),
  issues: z.array(Issue).default([]),
});

/** The request may have run, or an earlier submission of its key may have. It is not tried again. */
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
  /** When the same key may be asked again for a definite answer, if that can help. */
  retryMilliseconds: z.number().optional(),
});

/** Another submission of the same key ran or runs, and its outcome is not known here. */
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
 * Makes a refusal.
 *
 * @param code - Why.
 * @param message - A sentence for people.
 * @param retryMilliseconds - When to come back.
 * @returns The outcome.
 */
export function createRefusal(
  code: RefusalCode,
  message: string,
  retryMilliseconds: number,
): Refusal {
  return { kind: 'refused', code, message, retryMilliseconds, addresses: [] };
}

/**
 * Makes a rejection.
 *
 * @param code - Why, as a stable word.
 * @param status - The HTTP status that fits.
 * @param message - A sentence for people.
 * @param issues - Every finding, where there are several.
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
 * Makes an unknown outcome.
 *
 * @param code - Why.
 * @param message - A sentence for people.
 * @param retryMilliseconds - When asking again can give a definite answer, if it can.
 * @returns The outcome.
 */
export function createUnknownOutcome(
  code: UnknownCode,
  message: string,
  retryMilliseconds?: number,
): Outcome {
  return { kind: 'unknown', code, message, retryMilliseconds };
}

/** Carries a refusal out of a queue. */
export class RefusalError extends Error {
  readonly refusal: Refusal;

  constructor(refusal: Refusal) {
    super(refusal.message);
    this.name = 'RefusalError';
    this.refusal = refusal;
  }
}
