/** A queue of events in simulated time. */

/** Runs events in the order of their times; those of one time in the order in which they were added. */
export class EventQueue {
  readonly #heap: { readonly at: number; readonly order: number; readonly run: () => void }[] = [];

  #order = 0;

  /** Simulated time in milliseconds. */
  now = 0;

  /**
   * Adds an event.
   *
   * @param at - When it happens; now, if that has passed.
   * @param run - What happens.
   */
  add(at: number, run: () => void): void {
    const heap = this.#heap;
    this.#order += 1;
    heap.push({ at: Math.max(at, this.now), order: this.#order, run });
    for (let index = heap.length - 1; index > 0;) {
      const parent = Math.floor((index - 1) / 2);
      if (this.#isBefore(parent, index)) return;
      this.#swap(parent, index);
      index = parent;
    }
  }

  /**
   * Runs the events up to a time.
   *
   * @param end - The time in milliseconds.
   */
  runUntil(end: number): void {
    while (this.isNextDue(end)) this.runNext();
  }

  /** Runs the next event, if there is one. */
  runNext(): void {
    const [first] = this.#heap;
    if (!first) return;
    this.now = first.at;
    this.#removeFirst();
    first.run();
  }

  /**
   * Whether an event is left up to a time.
   *
   * @param end - The time in milliseconds.
   */
  isNextDue(end: number): boolean {
    const [first] = this.#heap;
    return first !== undefined && first.at <= end;
  }

  #removeFirst(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    heap[0] = last;
    for (let index = 0; ;) {
      const left = 2 * index + 1;
      if (left >= heap.length) return;
      const child = left + 1 < heap.length && this.#isBefore(left + 1, left) ? left + 1 : left;
      if (this.#isBefore(index, child)) return;
      this.#swap(index, child);
      index = child;
    }
  }

  #isBefore(one: number, other: number): boolean {
    const first = this.#heap[one];
    const second = this.#heap[other];
    if (!first || !second) return true;
    return first.at === second.at ? first.order < second.order : first.at < second.at;
  }

  #swap(one: number, other: number): void {
    const first = this.#heap[one];
    const second = this.#heap[other];
    if (!first || !second) return;
    this.#heap[one] = second;
    this.#heap[other] = first;
  }
}
