/** The bytes that are held of one content: a request's body, an answer, or an event that is not complete. */
import { MemoryExceededError } from './memory-exceeded-error.js';

/** What bytes are held for, for the log. */
export interface MemoryOwner {
  readonly requestId: string;
  readonly content: 'requestBody' | 'answer' | 'event';
}

/** Options of {@link HeldMemory}. */
export interface HeldMemoryOptions {
  readonly owner: MemoryOwner;
  /** Called at most once, when the bytes are given up; it must drop them. */
  readonly giveUp: (error: MemoryExceededError) => void;
  readonly onResized: (differenceBytes: number) => void;
  /** Called when the bytes can no longer be given up. */
  readonly onSettled: () => void;
}

export class HeldMemory {
  readonly #options: HeldMemoryOptions;

  #bytes = 0;

  #isReleased = false;

  constructor(options: HeldMemoryOptions) {
    this.#options = options;
  }

  get owner(): MemoryOwner {
    return this.#options.owner;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** States how many bytes are held now. The largest content may be given up for it, which may be this one. */
  resize(bytes: number): void {
    if (this.#isReleased) return;
    const difference = bytes - this.#bytes;
    this.#bytes = bytes;
    this.#options.onResized(difference);
  }

  /** States that all bytes have arrived: they count on, and are not given up for others. */
  keep(): void {
    this.#options.onSettled();
  }

  /** States that nothing is held any longer. Without effect after the first time. */
  release(): void {
    this.resize(0);
    this.#isReleased = true;
    this.#options.onSettled();
  }

  /** Gives the bytes up. */
  revoke(): void {
    this.release();
    this.#options.giveUp(new MemoryExceededError());
  }
}
