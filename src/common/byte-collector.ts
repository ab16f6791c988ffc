/**
 * Collects bytes that arrive in chunks of any size. Handles senders of single bytes: kept as they arrive, each
 * would cost a hundred times its size.
 */

/** Chunks below this size are joined with others of their size. */
const MINIMUM_PART_BYTES = 16_384;

export class ByteCollector {
  #parts: Buffer[] = [];

  #byteCount = 0;

  get byteCount(): number {
    return this.#byteCount;
  }

  /** The last byte; undefined while there is none. */
  get lastByte(): number | undefined {
    return this.#parts.at(-1)?.at(-1);
  }

  /** Adds bytes at the end. The chunk must not change afterwards. */
  append(chunk: Buffer): void {
    if (chunk.length === 0) return;
    this.#parts.push(chunk);
    this.#byteCount += chunk.length;
    this.#joinSmallParts();
  }

  /**
   * Forgets all bytes.
   *
   * @returns What was collected.
   */
  take(): Buffer {
    const bytes = Buffer.concat(this.#parts);
    this.clear();
    return bytes;
  }

  /** Forgets all bytes. */
  clear(): void {
    this.#parts = [];
    this.#byteCount = 0;
  }

  /** Each part is at least as large as the sum of those behind it or of the minimum size, so that few stay. */
  #joinSmallParts(): void {
    for (;;) {
      const [before, last] = this.#parts.slice(-2);
      if (!before || !last) return;
      if (before.length >= MINIMUM_PART_BYTES || before.length > last.length) return;
      this.#parts.splice(-2, 2, Buffer.concat([before, last]));
    }
  }
}
