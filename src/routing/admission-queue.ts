/**
 * Admission to a pool of backend servers: a bounded, fair queue whose width follows the
 * servers' limits, and which refuses at once what can't be served in time.
 */
import PQueue from 'p-queue';
import { FairQueue, type FairOptions } from './fair-queue.js';
import { createRefusal, RefusalError, type Refusal } from './outcome.js';

/** One request that asks for admission. */
export interface AdmissionRequest {
  readonly id: string;
  readonly account: string;
  readonly weight: number;
  readonly cost: number;
  /** Monotonic time by which it must have been started. */
  readonly startBy: number;
  /** Aborts when the caller has gone. */
  readonly signal: AbortSignal;
}

/** Options of {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
  /** How many requests may run at once, asked before each admission. */
  readonly maximumConcurrency: () => number;
  readonly maximumQueued?: number;
  readonly monotonicMilliseconds?: () => number;
}

const DEFAULT_MAXIMUM_QUEUED = 4000;
const DURATION_WEIGHT = 0.1;
const FIRST_DURATION_MILLISECONDS = 200;
const MINIMUM_RETRY_MILLISECONDS = 100;
const MAXIMUM_RETRY_MILLISECONDS = 60_000;
/** One account may take this share of the queue, so that others always find room. */
const ACCOUNT_QUEUE_SHARE = 0.5;

export class AdmissionQueue {
  readonly #options: AdmissionQueueOptions;

  readonly #queue: PQueue<FairQueue, FairOptions>;

  readonly #waiting = new Map<string, number>();

  readonly #now: () => number;

  #durationMilliseconds = FIRST_DURATION_MILLISECONDS;

  constructor(options: AdmissionQueueOptions) {
    this.#options = options;
    this.#now = options.monotonicMilliseconds ?? (() => performance.now());
    this.#queue = new PQueue<FairQueue, FairOptions>({ queueClass: FairQueue, concurrency: 1 });
  }

  /** Requests that wait. */
  get queued(): number {
    return this.#queue.size;
  }

  /** Requests that run. */
  get running(): number {
    return this.#queue.pending;
  }

  /** Adapts the width to the servers' limits now. */
  updateConcurrency(): void {
    const width = Math.max(1, Math.floor(this.#options.maximumConcurrency()));
    if (this.#queue.concurrency !== width) this.#queue.concurrency = width;
  }

  /**
   * Runs a task when its turn comes.
   *
   * @param request - Whose it is, what it weighs and by when it must start.
   * @param task - The task.
   * @returns What the task returns.
   * @throws RefusalError at once when it can't be started in time; the task then never ran.
   */
  async run<Result>(request: AdmissionRequest, task: () => Promise<Result>): Promise<Result> {
    this.updateConcurrency();
    const refusal = this.#refusalFor(request);
    if (refusal) throw new RefusalError(refusal);
    const waiting = new AbortController();
    const late = setTimeout(
      () => waiting.abort(new RefusalError(this.#overloaded('deadline'))),
      Math.max(0, request.startBy - this.#now()),
    );
    const leave = (): void => {
      waiting.abort(new RefusalError(createRefusal('cancelled', 'The caller has gone.', 0)));
    };
    request.signal.addEventListener('abort', leave, { once: true });
    const { id, account, weight, cost } = request;
    this.#countWaiting(account, 1);
    let isWaiting = true;
    const stopWaiting = (): void => {
      if (isWaiting) this.#countWaiting(account, -1);
      isWaiting = false;
      clearTimeout(late);
      request.signal.removeEventListener('abort', leave);
    };
    let outcome: Promise<Result> | undefined;
    try {
      await this.#queue.add(
        async () => {
          stopWaiting();
          outcome = this.#timed(task);
          // The queue only waits for the end; the result goes to the caller of run.
          await outcome.catch(() => undefined);
        },
        { id, account, weight, cost, signal: waiting.signal },
      );
    } finally {
      stopWaiting();
    }
    if (!outcome) throw new RefusalError(this.#overloaded('overloaded'));
    return outcome;
  }

  /**
   * Estimates how long a new request of an account would wait.
   *
   * @param account - The account.
   * @returns Milliseconds.
   */
  estimateWaitMilliseconds(account: string): number {
    const width = this.#queue.concurrency;
    if (this.#queue.size === 0 && this.#queue.pending < width) return 0;
    const startsPerMillisecond = width / this.#durationMilliseconds;
    const own = this.#waiting.get(account) ?? 0;
    const sharers = this.#waiting.size + (own === 0 ? 1 : 0);
    const ahead = Math.min(this.#queue.size + 1, (own + 1) * sharers);
    return ahead / startsPerMillisecond;
  }

  #countWaiting(account: string, change: number): void {
    const count = (this.#waiting.get(account) ?? 0) + change;
    if (count > 0) this.#waiting.set(account, count);
    else this.#waiting.delete(account);
  }

  #refusalFor(request: AdmissionRequest): Refusal | undefined {
    const maximum = this.#options.maximumQueued ?? DEFAULT_MAXIMUM_QUEUED;
    const own = this.#waiting.get(request.account) ?? 0;
    if (this.#queue.size >= maximum || own >= maximum * ACCOUNT_QUEUE_SHARE) {
      return this.#overloaded('overloaded');
    }
    if (this.#now() + this.estimateWaitMilliseconds(request.account) > request.startBy) {
      return this.#overloaded('deadline');
    }
    return undefined;
  }

  #overloaded(code: 'overloaded' | 'deadline'): Refusal {
    const wait = (this.#queue.size + 1) * (this.#durationMilliseconds / this.#queue.concurrency);
    const retry = Math.min(
      MAXIMUM_RETRY_MILLISECONDS,
      Math.max(MINIMUM_RETRY_MILLISECONDS, wait / 2),
    );
    const message =
      code === 'deadline' ? 'It can not be started in time.' : 'Too many requests are waiting.';
    return createRefusal(code, message, Math.round(retry));
  }

  async #timed<Result>(task: () => Promise<Result>): Promise<Result> {
    const start = this.#now();
    try {
      return await task();
    } finally {
      const duration = Math.max(1, this.#now() - start);
      this.#durationMilliseconds += DURATION_WEIGHT * (duration - this.#durationMilliseconds);
    }
  }
}
