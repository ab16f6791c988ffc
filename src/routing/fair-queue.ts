/**
 * A queue class for p-queue that implements weighted fair queueing. Requests are ordered by virtual
 * finish time, so an account that sends too many requests delays only its own.
 */
import type { Queue } from 'p-queue';

type RunFunction = () => Promise<unknown>;

/** The scheduling parameters of a request. */
export interface FairOptions {
  readonly id?: string;
  /** Required by p-queue; not used, since the order follows from the weights. */
  readonly priority?: number;
  /** The client account that sent the request. */
  readonly account: string;
  /** The account's share relative to other accounts; a larger value gets more. */
  readonly weight: number;
  /** How much of the resource the request uses, in a unit that all requests share. */
  readonly cost: number;
  readonly signal?: AbortSignal;
}

/** A queued request with its virtual start and finish times. */
interface QueuedRequest {
  readonly run: RunFunction;
  readonly options: FairOptions;
  readonly start: number;
  readonly finish: number;
}

const DEFAULT_OPTIONS: FairOptions = { account: '', weight: 1, cost: 1 };

export class FairQueue implements Queue<RunFunction, FairOptions> {
  readonly #queuesByAccount = new Map<string, QueuedRequest[]>();

  readonly #lastFinish = new Map<string, number>();

  #virtualTime = 0;

  #size = 0;

  get size(): number {
    return this.#size;
  }

  enqueue(run: RunFunction, options: Partial<FairOptions> = {}): void {
    const complete: FairOptions = { ...DEFAULT_OPTIONS, ...options };
    const { account, cost, weight } = complete;
    const start = Math.max(this.#virtualTime, this.#lastFinish.get(account) ?? 0);
    const finish = start + cost / weight;
    this.#lastFinish.set(account, finish);
    const queue = this.#queuesByAccount.get(account) ?? [];
    queue.push({ run, options: complete, start, finish });
    this.#queuesByAccount.set(account, queue);
    this.#size += 1;
  }

  dequeue(): RunFunction | undefined {
    let next: QueuedRequest | undefined;
    this.#queuesByAccount.forEach(([head]) => {
      if (head && (!next || head.finish < next.finish)) next = head;
    });
    if (!next) return undefined;
    const { account } = next.options;
    this.#virtualTime = Math.max(this.#virtualTime, next.start);
    this.#removeAt(account, 0);
    this.#removeIdleAccounts();
    return next.run;
  }

  filter(options: Readonly<Partial<FairOptions>>): RunFunction[] {
    const allQueued = [...this.#queuesByAccount.values()].flat();
    return allQueued
      .filter((queued) => !options.account || queued.options.account === options.account)
      .map((queued) => queued.run);
  }

  /**
   * Not supported: the order of the queue follows from the weights of the accounts.
   *
   * @throws Error always.
   */
  setPriority(): void {
    throw new Error(
      `The order follows from account weights and cannot be changed; queued requests: ${this.#size}.`,
    );
  }

  remove(idOrRun: string | RunFunction): void {
    this.#queuesByAccount.forEach((queue, account) => {
      const index = queue.findIndex(
        (queued) => queued.options.id === idOrRun || queued.run === idOrRun,
      );
      if (index >= 0) this.#removeAt(account, index);
    });
  }

  #removeAt(account: string, index: number): void {
    const queue = this.#queuesByAccount.get(account);
    if (!queue) return;
    queue.splice(index, 1);
    this.#size -= 1;
    if (queue.length === 0) this.#queuesByAccount.delete(account);
  }

  #removeIdleAccounts(): void {
    if (this.#lastFinish.size < 2 * this.#queuesByAccount.size + 64) return;
    this.#lastFinish.forEach((finish, account) => {
      if (finish <= this.#virtualTime && !this.#queuesByAccount.has(account))
        this.#lastFinish.delete(account);
    });
  }
}
