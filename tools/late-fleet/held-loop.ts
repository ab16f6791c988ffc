/**
 * The event loop of a simulated process: it runs what has arrived in turns, each of which takes the work it does and
 * a time for which something else holds the loop.
 */
import type { EventQueue } from '../event-queue.js';

/** Options of {@link HeldLoop}. */
export interface HeldLoopOptions {
  readonly queue: EventQueue;
  /** The share of a core that the process gets. */
  readonly share: number;
  /** How long something else holds the loop after a turn, in milliseconds. */
  readonly drawHold: () => number;
}

export class HeldLoop {
  readonly #options: HeldLoopOptions;

  #due: (() => void)[] = [];

  #freeAt = 0;

  #isTurnPlanned = false;

  /** Milliseconds that the running turn has taken so far. */
  #spent = 0;

  /** Milliseconds of a core that all turns have taken. */
  workMilliseconds = 0;

  #hasStopped = false;

  constructor(options: HeldLoopOptions) {
    this.#options = options;
  }

  /** The time in milliseconds, with what the running turn has taken. */
  get now(): number {
    return this.#options.queue.now + this.#spent;
  }

  /**
   * Takes something in that the process runs in its next turn after a time.
   *
   * @param at - When it arrives or is due, in milliseconds.
   * @param run - What is run.
   */
  add(at: number, run: () => void): void {
    this.#options.queue.add(at, () => {
      if (this.#hasStopped) return;
      this.#due.push(run);
      this.#planTurn();
    });
  }

  /**
   * Counts work that the running turn does.
   *
   * @param milliseconds - Milliseconds of a whole core.
   */
  work(milliseconds: number): void {
    this.workMilliseconds += milliseconds;
    this.#spent += milliseconds / this.#options.share;
  }

  /** Ends the process. */
  stop(): void {
    this.#hasStopped = true;
  }

  #planTurn(): void {
    if (this.#isTurnPlanned) return;
    this.#isTurnPlanned = true;
    this.#options.queue.add(this.#freeAt, () => this.#runTurn());
  }

  #runTurn(): void {
    this.#isTurnPlanned = false;
    if (this.#hasStopped) return;
    const due = this.#due;
    this.#due = [];
    this.#spent = 0;
    due.forEach((run) => run());
    this.#freeAt = this.now + this.#options.drawHold();
    this.#spent = 0;
  }
}
