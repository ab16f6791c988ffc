/** A bounded, asynchronous target for logs: it drops and counts lines rather than ever blocking. */
import { write } from 'node:fs';
import { Writable } from 'node:stream';
import { promisify } from 'node:util';

/** Options of {@link LogSink}. */
export interface LogSinkOptions {
  /** A file descriptor. A stream won't do: Node.js writes to pipes synchronously. */
  readonly descriptor: number;
  /** Lines that wait to be written, in bytes. */
  readonly maximumBytes?: number;
}

const DEFAULT_MAXIMUM_BYTES = 1_048_576;

const writeBytes = promisify(write);

export class LogSink extends Writable {
  readonly #descriptor: number;

  readonly #maximumBytes: number;

  #lines: string[] = [];

  #bytes = 0;

  #dropped = 0;

  #isFlushing = false;

  constructor(options: LogSinkOptions) {
    super({ decodeStrings: false });
    this.#descriptor = options.descriptor;
    this.#maximumBytes = options.maximumBytes ?? DEFAULT_MAXIMUM_BYTES;
  }

  override write(line: unknown): boolean {
    const text = String(line);
    if (this.#bytes + text.length > this.#maximumBytes) {
      this.#dropped += 1;
      return true;
    }
    this.#lines.push(text);
    this.#bytes += text.length;
    if (!this.#isFlushing) {
      this.#isFlushing = true;
      setImmediate(() => {
        void this.flush();
      });
    }
    return true;
  }

  /** Writes what waits. */
  async flush(): Promise<void> {
    while (this.#lines.length > 0) {
      const text = this.#lines.join('');
      this.#lines = [];
      this.#bytes = 0;
      if (this.#dropped > 0) {
        const line = { msg: '[daemon] Log lines dropped.', dropped: this.#dropped };
        this.#lines.push(`${JSON.stringify(line)}\n`);
        this.#dropped = 0;
      }
      await this.#writeWhole(Buffer.from(text));
    }
    this.#isFlushing = false;
  }

  async #writeWhole(bytes: Buffer): Promise<void> {
    let written = 0;
    try {
      while (written < bytes.length) {
        const result = await writeBytes(this.#descriptor, bytes, written);
        written += result.bytesWritten;
      }
    } catch {
      // Nobody reads the logs any more; there is nowhere to say so.
      this.#dropped += 1;
    }
  }
}
