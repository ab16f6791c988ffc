/** A map of bounded size that evicts the least recently used entry. */
export class LruMap<Key, Value> {
  readonly #entries = new Map<Key, Value>();

  readonly #maximumSize: number;

  constructor(maximumSize: number) {
    this.#maximumSize = maximumSize;
  }

  get size(): number {
    return this.#entries.size;
  }

  /**
   * Returns a value and marks its entry as the most recently used.
   *
   * @returns The value, or undefined when the key is absent or has been evicted.
   */
  get(key: Key): Value | undefined {
    const value = this.#entries.get(key);
    if (value !== undefined) {
      this.#entries.delete(key);
      this.#entries.set(key, value);
    }
    return value;
  }

  /** Stores a value, and evicts the least recently used entry when the map exceeds its size. */
  set(key: Key, value: Value): void {
    this.#entries.delete(key);
    this.#entries.set(key, value);
    if (this.#entries.size <= this.#maximumSize) return;
    const [oldest] = this.#entries.keys();
    if (oldest !== undefined) this.#entries.delete(oldest);
  }

  delete(key: Key): void {
    this.#entries.delete(key);
  }

  /** The entries, least recently used first. */
  entries(): IterableIterator<[Key, Value]> {
    return this.#entries.entries();
  }
}
