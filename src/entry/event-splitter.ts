/** Cuts a stream of bytes into whole events, and checks that their ids go up. */

/** Whole events that may be passed on, and the id of the last. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastEventId: number | undefined;
}

const NO_BYTES = Buffer.alloc(0);
const EVENT_END = '\n\n';
const MAXIMUM_EVENT_BYTES = 1_048_576;
const ID_LINE = /^id:\s*(\d+)\s*$/;
const FIELD_LINE = /^[a-z-]+:/;

export class EventSplitter {
  #partialEvent: Buffer = NO_BYTES;

  #lastEventId: number | undefined;

  /** @param lastEventId - The id that the stream goes on after. */
  constructor(lastEventId: number | undefined) {
    this.#lastEventId = lastEventId;
  }

  /** Whether the stream stands between two events. */
  get isBetweenEvents(): boolean {
    return this.#partialEvent.length === 0;
  }

  /**
   * Takes in bytes.
   *
   * @param chunk - The next bytes of the stream.
   * @returns The events that are whole now.
   * @throws Error when the bytes are no events, or events are missing or come twice.
   */
  push(chunk: Buffer): CompleteEvents {
    const all =
      this.#partialEvent.length === 0 ? chunk : Buffer.concat([this.#partialEvent, chunk]);
    const end = all.lastIndexOf(EVENT_END);
    if (end < 0) {
      if (all.length > MAXIMUM_EVENT_BYTES) throw new Error('An event is too long.');
      this.#partialEvent = all;
      return { bytes: NO_BYTES, lastEventId: this.#lastEventId };
    }
    const bytes = all.subarray(0, end + EVENT_END.length);
    this.#partialEvent = all.subarray(end + EVENT_END.length);
    this.#validate(bytes.toString('latin1', 0, end));
    return { bytes, lastEventId: this.#lastEventId };
  }

  #validate(text: string): void {
    text.split(EVENT_END).forEach((event) => {
      const lines = event.split('\n');
      if (lines.some((line) => line !== '' && !FIELD_LINE.test(line) && !line.startsWith(':'))) {
        throw new Error('The bytes are no event.');
      }
      const idLine = lines.find((line) => line.startsWith('id:'));
      if (idLine === undefined) return;
      const id = Number(ID_LINE.exec(idLine)?.[1] ?? Number.NaN);
      const last = this.#lastEventId;
      if (Number.isNaN(id) || (last !== undefined && id <= last)) {
        throw new Error(`Event ${idLine} follows event ${last}.`);
      }
      this.#lastEventId = id;
    });
  }
}
