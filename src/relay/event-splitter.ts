/** Splits a byte stream into complete server-sent events and checks that their ids increase. */

/** Complete events that can be relayed, and the id of the last event so far. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastEventId: number | undefined;
}

const NO_BYTES = Buffer.alloc(0);
const EVENT_END = '\n\n';
const MAXIMUM_EVENT_BYTES = 1_048_576;
const ID_LINE = /^id:\s*(\d+)\s*$/;
const FIELD_LINE = /^[a-z-]+:/;

/** Splits one stream of server-sent events, which may go on after an earlier stream. */
export class EventSplitter {
  #partialEvent: Buffer = NO_BYTES;

  #lastEventId: number | undefined;

  /** @param lastEventId - The id after which the stream resumes; undefined at its start. */
  constructor(lastEventId: number | undefined) {
    this.#lastEventId = lastEventId;
  }

  /** Whether no part of an incomplete event has been received. */
  get isBetweenEvents(): boolean {
    return this.#partialEvent.length === 0;
  }

  /**
   * Adds bytes of the stream.
   *
   * @param chunk - The next bytes of the stream.
   * @returns The events that are complete now; a rest is kept for the next call.
   * @throws Error when an event is malformed or too long, or its id is not greater than the last
   * one.
   */
  push(chunk: Buffer): CompleteEvents {
    const buffered =
      this.#partialEvent.length === 0 ? chunk : Buffer.concat([this.#partialEvent, chunk]);
    const eventsEnd = buffered.lastIndexOf(EVENT_END);
    if (eventsEnd < 0) {
      if (buffered.length > MAXIMUM_EVENT_BYTES)
        throw new Error('An event exceeds the maximum size.');
      this.#partialEvent = buffered;
      return { bytes: NO_BYTES, lastEventId: this.#lastEventId };
    }
    const bytes = buffered.subarray(0, eventsEnd + EVENT_END.length);
    this.#partialEvent = buffered.subarray(eventsEnd + EVENT_END.length);
    this.#validate(bytes.toString('latin1', 0, eventsEnd));
    return { bytes, lastEventId: this.#lastEventId };
  }

  #validate(text: string): void {
    text.split(EVENT_END).forEach((event) => {
      const lines = event.split('\n');
      if (lines.some((line) => line !== '' && !FIELD_LINE.test(line) && !line.startsWith(':'))) {
        throw new Error('Malformed stream: a line is no event field and no comment.');
      }
      const idLine = lines.find((line) => line.startsWith('id:'));
      if (idLine === undefined) return;
      const id = Number(ID_LINE.exec(idLine)?.[1] ?? Number.NaN);
      const previousId = this.#lastEventId;
      if (Number.isNaN(id) || (previousId !== undefined && id <= previousId)) {
        throw new Error(`Event out of order: "${idLine}" follows event ${previousId}.`);
      }
      this.#lastEventId = id;
    });
  }
}
