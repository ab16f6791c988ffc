/** What a case saw, in the order of time; written to `record.txt` beside the case. */
import { writeFile } from 'node:fs/promises';

export class CaseRecord {
  readonly #startedAt = performance.now();

  readonly #lines: string[] = [];

  /** Milliseconds since the case began, on the monotonic clock. */
  get now(): number {
    return performance.now() - this.#startedAt;
  }

  /** Adds a line with the time. */
  add(text: string): void {
    this.#lines.push(`${(this.now / 1000).toFixed(3)} s  ${text}`);
  }

  async write(file: string): Promise<void> {
    await writeFile(file, `${this.#lines.join('\n')}\n`);
  }
}
