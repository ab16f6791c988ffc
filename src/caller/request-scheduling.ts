/** Reads how a request is scheduled: its queue class, its deadline and its weight in the queue. */
import type { IncomingHttpHeaders } from 'node:http';
import type { AccountInForce } from '../configuration/configuration-in-force.js';

/** The class of a request, which sets its default deadline and its weight. */
export type QueueClass = 'interactive' | 'batch';

interface QueueClassDefaults {
  /** How long a request may wait until it is started, unless it states a deadline. */
  readonly deadlineMilliseconds: number;
  readonly weight: number;
}

const QUEUE_CLASS_DEFAULTS: Readonly<Record<QueueClass, QueueClassDefaults>> = {
  interactive: { deadlineMilliseconds: 10_000, weight: 4 },
  batch: { deadlineMilliseconds: 600_000, weight: 1 },
};

const MAXIMUM_DEADLINE_MILLISECONDS = 3_600_000;
/** The default priority of a team, which leaves the weight as it is. */
const DEFAULT_PRIORITY = 5;

/** Reads the queue class from the `X-Class` header; the default is the client account's class. */
export function readQueueClass(headers: IncomingHttpHeaders, account: AccountInForce): QueueClass {
  const named = headers['x-class'];
  return named === 'interactive' || named === 'batch' ? named : account.account.class;
}

/**
 * Reads how long a request may wait until it is started.
 *
 * @param headers - The request's headers; `X-Deadline-Milliseconds` may state it.
 * @param queueClass - The class, which gives the default.
 * @returns Milliseconds from now; at most one hour.
 */
export function readDeadlineMilliseconds(
  headers: IncomingHttpHeaders,
  queueClass: QueueClass,
): number {
  const stated = Number(headers['x-deadline-milliseconds'] ?? Number.NaN);
  if (Number.isFinite(stated) && stated > 0) return Math.min(stated, MAXIMUM_DEADLINE_MILLISECONDS);
  return QUEUE_CLASS_DEFAULTS[queueClass].deadlineMilliseconds;
}

/**
 * Computes the weight of a request in the fair queue: the client account's weight, multiplied by
 * the weight of the queue class, and doubled for each step of its team's priority above the default
 * or halved for each step below it.
 */
export function computeWeight(account: AccountInForce, queueClass: QueueClass): number {
  const priorityFactor = 2 ** (account.priority - DEFAULT_PRIORITY);
  return account.account.weight * QUEUE_CLASS_DEFAULTS[queueClass].weight * priorityFactor;
}
