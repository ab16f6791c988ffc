/** Logs and counts the decisions on crossings between data centres of one request. */
import type { EntryContext } from '../entry/entry-context.js';
import type { CrossingDecision } from '../layers/crossing-price.js';

function round(milliseconds: number | undefined): number | undefined {
  return milliseconds !== undefined && Number.isFinite(milliseconds)
    ? Math.round(milliseconds)
    : undefined;
}

export class CrossingLog {
  readonly #context: Pick<EntryContext, 'logs' | 'metrics'>;

  readonly #requestId: string;

  #lastKey: string | undefined;

  constructor(context: Pick<EntryContext, 'logs' | 'metrics'>, requestId: string) {
    this.#context = context;
    this.#requestId = requestId;
  }

  /**
   * Logs and counts a decision, unless it is the same as the last one: a stream that waits for room asks for a chain
   * many times a second.
   *
   * @param decision - The decision; undefined if no chain would cross.
   * @param hasBegun - Whether the caller has received events of the stream.
   */
  record(decision: CrossingDecision | undefined, hasBegun: boolean): void {
    if (!decision) return;
    const { outcome, reason, price } = decision;
    const key = [outcome, reason, price.from, price.to, hasBegun].join(' ');
    if (key === this.#lastKey) return;
    this.#lastKey = key;
    this.#context.logs('routing').info('Decided on a crossing between data centres.', {
      requestId: this.#requestId,
      outcome,
      reason,
      hasBegun,
      from: price.from,
      to: price.to,
      bits: price.bits,
      backlogMilliseconds: round(price.backlogMilliseconds),
      transferMilliseconds: round(price.transferMilliseconds),
      streams: price.streams,
      pauseTargetMilliseconds: price.pauseTargetMilliseconds,
      pauseLeftMilliseconds: round(price.pauseLeftMilliseconds),
      recordAgeMilliseconds: round(price.recordAgeMilliseconds),
    });
    this.#context.metrics.countEvent(`crossing_${outcome}_${reason}`);
  }
}
