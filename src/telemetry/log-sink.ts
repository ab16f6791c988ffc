/**
 * A bounded, asynchronous log stream: when its buffer is full, it drops and counts lines instead of
 * blocking the process.
 */
import { write } from 'node:fs';
import { Writable } from 'node:stream';
import { promisify } from 'node:util';

/** Options of {@link LogSink}. */
export interface LogSinkOptions {
  /** The file descriptor to write to. Not a stream, since Node.js writes to pipes synchronously. */
  readonly descriptor: number;
  /** The most that may wait to be written, counted in UTF-16 code units. */
  readonly maximumBufferedLength?: number;
  /** Writes bytes from an offset on to a descriptor; the file system's by default. */
  readonly writeBytes?: (
    descriptor: number,
    bytes: Buffer,
    offset: number,
  ) => Promise<{ readonly bytesWritten: number }>;
}

const DEFAULT_MAXIMUM_LENGTH = 1_048_576;

const writeAsync = promisify(write);

/** Writes log lines to a file descriptor without blocking. */
export class LogSink extends Writable {
  readonly #descriptor: number;

  readonly #maximumBufferedLength: number;

  readonly #writeBytes: NonNullable<LogSinkOptions['writeBytes']>;

  #bufferedLines: string[] = [];

  #bufferedLength = 0;

  #droppedLineCount = 0;

  #isScheduled = false;

  #isDraining = false;

  #drained: Promise<void> = Promise.resolve();

  constructor(options: LogSinkOptions) {
    super({ decodeStrings: false });
    this.#descriptor = options.descriptor;
    this.#maximumBufferedLength = options.maximumBufferedLength ?? DEFAULT_MAXIMUM_LENGTH;
    this.#writeBytes = options.writeBytes ?? writeAsync;
  }

  override write(line: unknown): boolean {
    const text = String(line);
    if (this.#bufferedLength + text.length > this.#maximumBufferedLength) {
      this.#droppedLineCount += 1;
      return true;
    }
    this.#bufferedLines.push(text);
    this.#bufferedLength += text.length;
    if (!this.#isScheduled && !this.#isDraining) {
      this.#isScheduled = true;
      setImmediate(() => {
        this.#isScheduled = false;
        void this.flush();
      });
    }
    return true;
  }

  /**
   * Writes all buffered lines, and a line with the number of dropped ones if there are any.
   *
   * @returns Resolves when everything that was buffered before the call is written.
   */
  flush(): Promise<void> {
    if (!this.#isDraining) {
      this.#isDraining = true;
      this.#drained = this.#drain();
    }
    return this.#drained;
  }

  /** Only one runs at a time, so that lines stay in order; it takes up lines that come meanwhile. */
  async #drain(): Promise<void> {
    while (this.#bufferedLines.length > 0) {
      const text = this.#bufferedLines.join('');
      this.#bufferedLines = [];
      this.#bufferedLength = 0;
      if (this.#droppedLineCount > 0) {
        const line = { msg: '[daemon] Log lines dropped.', dropped: this.#droppedLineCount };
        this.#bufferedLines.push(`${JSON.stringify(line)}\n`);
        this.#droppedLineCount = 0;
      }
      await this.#writeAll(Buffer.from(text));
    }
    this.#isDraining = false;
  }

  async #writeAll(bytes: Buffer): Promise<void> {
    let written = 0;
    try {
      while (written < bytes.length) {
        const result = await this.#writeBytes(this.#descriptor, bytes, written);
        written += result.bytesWritten;
      }
    } catch {
      // The reader of the logs is gone, so there is nowhere to report the error.
      this.#droppedLineCount += 1;
    }
  }
}
