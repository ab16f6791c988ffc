/** A simulated replica of a plain service, slower at first, as one with empty caches is. */
import type { ServerEntry } from '../src/fleet/server-entry.js';
import type { EventQueue } from './event-queue.js';

/** How a request ended. */
export type ReplicaAnswer = 'answered' | 'refused';

/** Options of {@link SimulatedReplica}. */
export interface SimulatedReplicaOptions {
  readonly entry: ServerEntry;
  readonly queue: EventQueue;
  /** Draws the time of a request. */
  readonly drawMilliseconds: () => number;
  /** Multiplies the time of the first requests. */
  readonly coldFactor: number;
  /** Completed requests after which it is as fast as usual. */
  readonly warmRequests: number;
}

/** Requests that wait, for each slot; further ones are refused. */
const WAITING_PER_SLOT = 4;

export class SimulatedReplica {
  readonly entry: ServerEntry;

  readonly #options: SimulatedReplicaOptions;

  readonly #waiting: (() => void)[] = [];

  #running = 0;

  #completed = 0;

  /** Requests that were not refused. */
  begun = 0;

  constructor(options: SimulatedReplicaOptions) {
    this.#options = options;
    this.entry = options.entry;
  }

  /** Running and waiting requests. */
  get load(): number {
    return this.#running + this.#waiting.length;
  }

  /** Takes a request; calls back at its end. */
  offer(settle: (answer: ReplicaAnswer) => void): void {
    const { slots } = this.entry;
    if (this.#waiting.length >= WAITING_PER_SLOT * slots) {
      settle('refused');
      return;
    }
    this.begun += 1;
    this.#waiting.push(() => this.#start(settle));
    this.#startWaiting();
  }

  #startWaiting(): void {
    while (this.#running < this.entry.slots) {
      const start = this.#waiting.shift();
      if (!start) return;
      start();
    }
  }

  #start(settle: (answer: ReplicaAnswer) => void): void {
    const { queue, drawMilliseconds, coldFactor, warmRequests } = this.#options;
    this.#running += 1;
    const factor = this.#completed < warmRequests ? coldFactor : 1;
    queue.add(queue.now + factor * drawMilliseconds(), () => {
      this.#running -= 1;
      this.#completed += 1;
      settle('answered');
      this.#startWaiting();
    });
  }
}
