/** Splits a byte stream into complete server-sent events and checks that their ids increase. */
import { ByteCollector } from '../common/byte-collector.js';

/** Complete events that can be relayed, and the id of the last event so far. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastEventId: number | undefined;
}

const NO_BYTES = Buffer.alloc(0);
const EVENT_END = '\n\n';
/** The code of a newline. */
const LINE_END = 10;
const MAXIMUM_EVENT_BYTES = 1_048_576;
const ID_LINE = /^id:\s*(\d+)\s*$/;
const FIELD_LINE = /^[a-z-]+:/;

/** Splits one stream of server-sent events, which may go on after an earlier stream. */
export class EventSplitter {
  /** What has arrived of the event that is not complete. */
  readonly #partialEvent = new ByteCollector();

  #lastEventId: number | undefined;

  /** @param lastEventId - The id after which the stream resumes; undefined at its start. */
  constructor(lastEventId: number | undefined) {
    this.#lastEventId = lastEventId;
  }

  /** Whether no part of an incomplete event has been received. */
  get isBetweenEvents(): boolean {
    return this.partialBytes === 0;
  }

  /** Bytes that are kept until their event is complete. */
  get partialBytes(): number {
    return this.#partialEvent.byteCount;
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
    const mayEndEvent = this.#mayEndEvent(chunk);
    this.#partialEvent.append(chunk);
    if (!mayEndEvent) {
      if (this.partialBytes > MAXIMUM_EVENT_BYTES)
        throw new Error('An event exceeds the maximum size.');
      return { bytes: NO_BYTES, lastEventId: this.#lastEventId };
    }
    const buffered = this.#partialEvent.take();
    const eventsEnd = buffered.lastIndexOf(EVENT_END);
    const bytes = buffered.subarray(0, eventsEnd + EVENT_END.length);
    this.#partialEvent.append(buffered.subarray(eventsEnd + EVENT_END.length));
    this.#validate(bytes.toString('latin1', 0, eventsEnd));
    return { bytes, lastEventId: this.#lastEventId };
  }

  /** Whether an event ends in a chunk, or between it and the one before. */
  #mayEndEvent(chunk: Buffer): boolean {
    if (chunk.includes(EVENT_END)) return true;
    return chunk[0] === LINE_END && this.#partialEvent.lastByte === LINE_END;
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
