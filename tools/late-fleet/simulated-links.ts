/** The links of simulated instances: each has a rate, and what is sent over it waits for what was sent before. */

const MINIMUM_BITS_PER_MILLISECOND = 14_000;
const MAXIMUM_BITS_PER_MILLISECOND = 140_000;
const LOCAL_DELAY_MILLISECONDS = 1;
const REMOTE_DELAY_MILLISECONDS = 25;

/** What is sent over a link. */
export interface SimulatedPacket {
  /** Index of the instance that sends it. */
  readonly sender: number;
  readonly bytes: number;
  /** In milliseconds. */
  readonly sentAt: number;
  /** How long the last byte is under way, in milliseconds; see {@link getDelay}. */
  readonly delay: number;
}

/**
 * Returns how long a byte is under way between two data centres, in milliseconds.
 *
 * @param from - The sender's data centre.
 * @param to - The receiver's; undefined if the sender doesn't know it.
 */
export function getDelay(from: string, to: string | undefined): number {
  return from === to ? LOCAL_DELAY_MILLISECONDS : REMOTE_DELAY_MILLISECONDS;
}

export class SimulatedLinks {
  readonly #rates: readonly number[];

  /** When each link has sent all that was given to it. */
  readonly #freeAt: number[];

  /**
   * @param count - How many there are.
   * @param random - Returns numbers from 0 to 1.
   */
  constructor(count: number, random: () => number) {
    const span = MAXIMUM_BITS_PER_MILLISECOND - MINIMUM_BITS_PER_MILLISECOND;
    this.#rates = Array.from(
      { length: count },
      () => MINIMUM_BITS_PER_MILLISECOND + random() * span,
    );
    this.#freeAt = this.#rates.map(() => 0);
  }

  /**
   * Sends a packet.
   *
   * @param packet - The packet.
   * @returns When its last byte arrives, in milliseconds.
   */
  send({ sender, bytes, sentAt, delay }: SimulatedPacket): number {
    const start = Math.max(sentAt, this.#freeAt[sender] ?? 0);
    const end = start + (8 * bytes) / (this.#rates[sender] ?? MINIMUM_BITS_PER_MILLISECOND);
    this.#freeAt[sender] = end;
    return end + delay;
  }
}
