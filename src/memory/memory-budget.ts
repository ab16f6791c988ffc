/**
 * Bounds the bytes that a process holds for all requests together until they are whole or passed on. Handles
 * many senders at once that send slowly, much, or without end: each of them may be within its own bound while all of
 * them fill the memory, and what ends then is the process and with it everyone's requests.
 */
import type { Logger } from '../telemetry/log.js';
import { HeldMemory, type MemoryOwner } from './held-memory.js';
import type { MemoryExceededError } from './memory-exceeded-error.js';

/** Options of {@link MemoryBudget}. */
export interface MemoryBudgetOptions {
  /** The most bytes that may be held at a time. */
  readonly limitBytes: number;
  readonly log: Logger;
  /** Called for each owner whose bytes are given up. */
  readonly onRevoked?: (owner: MemoryOwner) => void;
}

/** The share of a process's memory for what requests hold; the rest is the program's and what waits to be freed. */
const REQUEST_SHARE = 1 / 16;
/** One answer of the longest kind always fits. */
const MINIMUM_LIMIT_BYTES = 8 * 1024 * 1024;
const MEBIBYTE = 1_048_576;

/**
 * Returns the limit for a process.
 *
 * @param memoryMebibytes - The memory that it may use.
 * @returns How many bytes may be held for requests.
 */
export function getMemoryLimit(memoryMebibytes: number): number {
  return Math.max(MINIMUM_LIMIT_BYTES, REQUEST_SHARE * memoryMebibytes * MEBIBYTE);
}

/** The owners of held bytes, and their sum. */
export class MemoryBudget {
  readonly #options: MemoryBudgetOptions;

  /** Owners whose bytes may be given up. */
  readonly #growing = new Set<HeldMemory>();

  #heldBytes = 0;

  constructor(options: MemoryBudgetOptions) {
    this.#options = options;
  }

  /** What all requests hold now. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * Registers an owner, which holds nothing yet.
   *
   * @param owner - What it holds bytes for.
   * @param giveUp - Called at most once, when its bytes are given up; it must drop them.
   * @returns What it states its bytes with.
   */
  hold(owner: MemoryOwner, giveUp: (error: MemoryExceededError) => void): HeldMemory {
    const held = new HeldMemory({
      owner,
      giveUp,
      onResized: (difference) => {
        this.#heldBytes += difference;
        if (difference > 0) this.#enforceLimit();
      },
      onSettled: () => {
        this.#growing.delete(held);
      },
    });
    this.#growing.add(held);
    return held;
  }

  /** Gives up the largest owners that still grow, until the rest is within the limit. */
  #enforceLimit(): void {
    while (this.#heldBytes > this.#options.limitBytes) {
      const largest = this.#findLargest();
      if (!largest) return;
      this.#revoke(largest);
    }
  }

  #findLargest(): HeldMemory | undefined {
    let largest: HeldMemory | undefined;
    this.#growing.forEach((held) => {
      if (held.bytes > (largest?.bytes ?? 0)) largest = held;
    });
    return largest;
  }

  #revoke(held: HeldMemory): void {
    const { log, limitBytes, onRevoked } = this.#options;
    const { owner, bytes } = held;
    log.warn('Memory for requests is exhausted; the largest unfinished content is given up.', {
      ...owner,
      bytes,
      heldBytes: this.#heldBytes,
      limitBytes,
      owners: this.#growing.size,
    });
    held.revoke();
    onRevoked?.(owner);
  }
}
