/** A response body that can be waited for before it is read, once. */
export class PeekableChunks implements AsyncIterable<Buffer> {
  readonly #chunks: AsyncIterator<Buffer>;

  #first: IteratorResult<Buffer> | undefined;

  #beganAt: number | undefined;

  /** @param chunks - The body as it arrives. */
  constructor(chunks: AsyncIterable<Buffer>) {
    this.#chunks = chunks[Symbol.asyncIterator]();
  }

  /** When the first chunk arrived, on the monotonic clock; undefined before. */
  get beganAt(): number | undefined {
    return this.#beganAt;
  }

  /**
   * Waits until the body has begun.
   *
   * @returns False if it ended without a byte.
   * @throws What the body throws when it breaks off.
   */
  async hasBegun(): Promise<boolean> {
    this.#first ??= await this.#chunks.next();
    this.#beganAt ??= performance.now();
    return this.#first.done !== true;
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Buffer> {
    let result = this.#first ?? (await this.#chunks.next());
    this.#beganAt ??= performance.now();
    while (result.done !== true) {
      yield result.value;
      result = await this.#chunks.next();
    }
  }
}
