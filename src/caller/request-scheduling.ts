/** The terms on which a request is served: its class, deadline and share. */
import type { IncomingHttpHeaders } from 'node:http';
import type { AccountInForce } from '../configuration/configuration-in-force.js';

export type QueueClass = 'interactive' | 'batch';

interface ClassTerms {
  /** By when a request must have been started unless it says otherwise. */
  readonly deadlineMilliseconds: number;
  readonly weight: number;
}

const TERMS: Readonly<Record<QueueClass, ClassTerms>> = {
  interactive: { deadlineMilliseconds: 10_000, weight: 4 },
  batch: { deadlineMilliseconds: 600_000, weight: 1 },
};

const MAXIMUM_DEADLINE_MILLISECONDS = 3_600_000;
const MIDDLE_PRIORITY = 5;

/**
 * Reads a request's class.
 *
 * @param headers - The request's headers; `X-Class` may name the class.
 * @param account - The account, whose class is the default.
 * @returns The class.
 */
export function readQueueClass(headers: IncomingHttpHeaders, account: AccountInForce): QueueClass {
  const named = headers['x-class'];
  return named === 'interactive' || named === 'batch' ? named : account.account.class;
}

/**
 * Reads how long a request may wait.
 *
 * @param headers - The request's headers; `X-Deadline-Milliseconds` may state it.
 * @param queueClass - The class, which gives the default.
 * @returns Milliseconds from now.
 */
export function readDeadlineMilliseconds(
  headers: IncomingHttpHeaders,
  queueClass: QueueClass,
): number {
  const stated = Number(headers['x-deadline-milliseconds'] ?? Number.NaN);
  if (Number.isFinite(stated) && stated > 0) return Math.min(stated, MAXIMUM_DEADLINE_MILLISECONDS);
  return TERMS[queueClass].deadlineMilliseconds;
}

/**
 * Gives a request's share beside others: the account's weight, raised by its class and doubled
 * with each step of its team's priority.
 *
 * @param account - The account.
 * @param queueClass - The class.
 * @returns The weight.
 */
export function computeWeight(account: AccountInForce, queueClass: QueueClass): number {
  const priorityFactor = 2 ** (account.priority - MIDDLE_PRIORITY);
  return account.account.weight * TERMS[queueClass].weight * priorityFactor;
}
