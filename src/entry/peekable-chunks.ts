/** A response body that can be waited for before it is read, once. */
export class PeekableChunks implements AsyncIterable<Buffer> {
  readonly #chunks: AsyncIterator<Buffer>;

  #first: IteratorResult<Buffer> | undefined;

  /** @param chunks - The body as it arrives. */
  constructor(chunks: AsyncIterable<Buffer>) {
    this.#chunks = chunks[Symbol.asyncIterator]();
  }

  /**
   * Waits until the body has begun.
   *
   * @returns False if it ended without a byte.
   * @throws What the body throws when it breaks off.
   */
  async hasBegun(): Promise<boolean> {
    this.#first ??= await this.#chunks.next();
    return this.#first.done !== true;
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Buffer> {
    let result = this.#first ?? (await this.#chunks.next());
    while (result.done !== true) {
      yield result.value;
      result = await this.#chunks.next();
    }
  }
}
