/** The bytes that are held for one caller's request; they count until its response is closed. */
import type { ServerResponse } from 'node:http';
import type { HeldMemory, MemoryOwner } from './held-memory.js';
import type { MemoryBudget } from './memory-budget.js';
import type { MemoryExceededError } from './memory-exceeded-error.js';

/** Options of {@link RequestMemory}. */
export interface RequestMemoryOptions {
  readonly budget: Pick<MemoryBudget, 'hold'>;
  readonly requestId: string;
  readonly response: Pick<ServerResponse, 'closed' | 'once'>;
}

export class RequestMemory {
  readonly #options: RequestMemoryOptions;

  readonly #held = new Set<HeldMemory>();

  constructor(options: RequestMemoryOptions) {
    this.#options = options;
    options.response.once('close', () => this.#releaseAll());
  }

  /**
   * Begins to hold bytes.
   *
   * @param content - What they are.
   * @param giveUp - Called at most once, when they are given up; it must drop them.
   * @returns What states how many they are; released at the latest when the response closes.
   */
  hold(content: MemoryOwner['content'], giveUp: (error: MemoryExceededError) => void): HeldMemory {
    const { budget, requestId, response } = this.#options;
    const held = budget.hold({ requestId, content }, giveUp);
    if (response.closed) held.release();
    else this.#held.add(held);
    return held;
  }

  #releaseAll(): void {
    this.#held.forEach((held) => held.release());
    this.#held.clear();
  }
}
