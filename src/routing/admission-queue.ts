/**
 * Admits requests to a pool of backend servers through a bounded queue that is fair between client
 * accounts. The number of requests that run concurrently follows the limits of the servers.
 * Requests that cannot be started before their deadline are refused immediately.
 */
import PQueue from 'p-queue';
import { FairQueue, type FairOptions } from './fair-queue.js';
import { createRefusal, RefusalError, type Refusal } from './outcome.js';

/** A request that is to be admitted. */
export interface AdmissionRequest {
  readonly id: string;
  readonly account: string;
  /** The account's share relative to other accounts; a larger value gets more. */
  readonly weight: number;
  /** How much of the servers the request uses, in a unit that all requests of the queue share. */
  readonly cost: number;
  /** The monotonic time in milliseconds by which the request must have been started. */
  readonly startBy: number;
  /** Aborted when the caller has disconnected. */
  readonly signal: AbortSignal;
}

/** Options of {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
  /** Returns how many requests may run concurrently; called for each request. */
  readonly maximumConcurrency: () => number;
  readonly maximumQueued?: number;
  readonly monotonicMilliseconds?: () => number;
}

const DEFAULT_MAXIMUM_QUEUED = 4000;
/** The weight of the latest duration in the moving average. */
const DURATION_SMOOTHING_WEIGHT = 0.1;
const INITIAL_DURATION_MILLISECONDS = 200;
const MINIMUM_RETRY_MILLISECONDS = 100;
const MAXIMUM_RETRY_MILLISECONDS = 60_000;
/** One account may use at most this share of the queue, so that others always find room. */
const ACCOUNT_QUEUE_SHARE = 0.5;

export class AdmissionQueue {
  readonly #options: AdmissionQueueOptions;

  readonly #queue: PQueue<FairQueue, FairOptions>;

  readonly #waitingByAccount = new Map<string, number>();

  readonly #now: () => number;

  #averageDurationMilliseconds = INITIAL_DURATION_MILLISECONDS;

  constructor(options: AdmissionQueueOptions) {
    this.#options = options;
    this.#now = options.monotonicMilliseconds ?? (() => performance.now());
    this.#queue = new PQueue<FairQueue, FairOptions>({ queueClass: FairQueue, concurrency: 1 });
  }

  /** The number of requests that wait in the queue. */
  get queued(): number {
    return this.#queue.size;
  }

  /** The number of admitted requests that are running. */
  get running(): number {
    return this.#queue.pending;
  }

  /** Sets the number of concurrent requests to what the servers' limits allow now. */
  updateConcurrency(): void {
    const concurrency = Math.max(1, Math.floor(this.#options.maximumConcurrency()));
    if (this.#queue.concurrency !== concurrency) this.#queue.concurrency = concurrency;
  }

  /**
   * Queues a task and runs it when it is admitted.
   *
   * @param request - The account, weight, cost and deadline of the task.
   * @param task - The task; called at most once.
   * @returns The result of the task.
   * @throws RefusalError immediately if the queue is full or the estimated wait exceeds the
   *   deadline, later if the deadline passes or the caller disconnects while the task is queued.
   *   In each case the task has not run and will not run.
   */
  async run<Result>(request: AdmissionRequest, task: () => Promise<Result>): Promise<Result> {
    this.updateConcurrency();
    const refusal = this.#findRefusal(request);
    if (refusal) throw new RefusalError(refusal);
    const waitAbort = new AbortController();
    const deadlineTimer = setTimeout(
      () => waitAbort.abort(new RefusalError(this.#createOverloadRefusal('deadline'))),
      Math.max(0, request.startBy - this.#now()),
    );
    const cancel = (): void => {
      waitAbort.abort(new RefusalError(createRefusal('cancelled', 'The caller has gone.', 0)));
    };
    request.signal.addEventListener('abort', cancel, { once: true });
    const { id, account, weight, cost } = request;
    this.#changeWaitingCount(account, 1);
    let isWaiting = true;
    const stopWaiting = (): void => {
      if (isWaiting) this.#changeWaitingCount(account, -1);
      isWaiting = false;
      clearTimeout(deadlineTimer);
      request.signal.removeEventListener('abort', cancel);
    };
    let outcome: Promise<Result> | undefined;
    try {
      await this.#queue.add(
        async () => {
          stopWaiting();
          outcome = this.#runTimed(task);
          // The queue only needs to know when the task ends; run() returns its result or error.
          await outcome.catch(() => undefined);
        },
        { id, account, weight, cost, signal: waitAbort.signal },
      );
    } finally {
      stopWaiting();
    }
    if (!outcome) throw new RefusalError(this.#createOverloadRefusal('overloaded'));
    return outcome;
  }

  /**
   * Estimates how long a new request of an account would wait in the queue. Other accounts are
   * assumed to get the same share, so a long queue of one account hardly delays the others.
   *
   * @param account - The id of the client account.
   * @returns The wait in milliseconds; 0 if the request could start immediately.
   */
  estimateWaitMilliseconds(account: string): number {
    const maximumRunning = this.#queue.concurrency;
    if (this.#queue.size === 0 && this.#queue.pending < maximumRunning) return 0;
    const startsPerMillisecond = maximumRunning / this.#averageDurationMilliseconds;
    const ownWaiting = this.#waitingByAccount.get(account) ?? 0;
    const waitingAccounts = this.#waitingByAccount.size + (ownWaiting === 0 ? 1 : 0);
    const requestsAhead = Math.min(this.#queue.size + 1, (ownWaiting + 1) * waitingAccounts);
    return requestsAhead / startsPerMillisecond;
  }

  #changeWaitingCount(account: string, change: number): void {
    const count = (this.#waitingByAccount.get(account) ?? 0) + change;
    if (count > 0) this.#waitingByAccount.set(account, count);
    else this.#waitingByAccount.delete(account);
  }

  #findRefusal(request: AdmissionRequest): Refusal | undefined {
    const maximumQueued = this.#options.maximumQueued ?? DEFAULT_MAXIMUM_QUEUED;
    const ownWaiting = this.#waitingByAccount.get(request.account) ?? 0;
    if (this.#queue.size >= maximumQueued || ownWaiting >= maximumQueued * ACCOUNT_QUEUE_SHARE) {
      return this.#createOverloadRefusal('overloaded');
    }
    if (this.#now() + this.estimateWaitMilliseconds(request.account) > request.startBy) {
      return this.#createOverloadRefusal('deadline');
    }
    return undefined;
  }

  #createOverloadRefusal(code: 'overloaded' | 'deadline'): Refusal {
    const drainMilliseconds =
      (this.#queue.size + 1) * (this.#averageDurationMilliseconds / this.#queue.concurrency);
    const retryMilliseconds = Math.min(
      MAXIMUM_RETRY_MILLISECONDS,
      Math.max(MINIMUM_RETRY_MILLISECONDS, drainMilliseconds / 2),
    );
    const message =
      code === 'deadline' ? 'It can not be started in time.' : 'Too many requests are waiting.';
    return createRefusal(code, message, Math.round(retryMilliseconds));
  }

  async #runTimed<Result>(task: () => Promise<Result>): Promise<Result> {
    const start = this.#now();
    try {
      return await task();
    } finally {
      const duration = Math.max(1, this.#now() - start);
      this.#averageDurationMilliseconds +=
        DURATION_SMOOTHING_WEIGHT * (duration - this.#averageDurationMilliseconds);
    }
  }
}
