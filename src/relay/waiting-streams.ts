/**
 * Streams that have begun, whose run has ended, and that wait for room at engines or for a retry of the budget.
 * They are served by class, then by the time that they have left, and before requests that arrive. Handles a loss of
 * engines that leaves no room for a while: without an order, new requests take most of the room that becomes free.
 */

import { getErrorMessage } from '../common/http-client.js';

/** A stream that waits, and what it waits for. */
export interface WaitingStream<T> {
  /** Streams of other services neither wait for it nor take its room. */
  readonly service: string;
  /** Its class among those of its service; 0 is the most urgent one. */
  readonly classIndex: number;
  /** When its time is over, on the monotonic clock. */
  readonly deadline: number;
  /** It is not tried before, on the monotonic clock. */
  readonly notBefore: number;
  /** Ends the wait. */
  readonly signal: AbortSignal;
  /** Takes what the stream waits for, if that is there now; undefined otherwise. */
  readonly tryProceed: () => T | undefined;
}

/** Options of {@link WaitingStreams}. */
export interface WaitingStreamsOptions {
  /** A number that changes with the fleet, so that all who wait look again. */
  readonly fleetRevision: () => number;
  /** Current time on the monotonic clock, in milliseconds. */
  readonly now?: () => number;
}

interface Waiting {
  readonly service: string;
  readonly classIndex: number;
  readonly deadline: number;
  readonly notBefore: number;
  /** Whether the stream waits no longer. */
  readonly attempt: () => boolean;
  nextTryAt: number;
  lastTryAt: number;
  tries: number;
}

/** Each holds its request's body and its caller's connection. */
const MAXIMUM_WAITING_STREAMS = 256;
const PASS_INTERVAL_MILLISECONDS = 60;
const MAXIMUM_TRY_INTERVAL_MILLISECONDS = 240;
/** So that those with the least time left don't use up all tries while the fleet changes all the time. */
const TRY_INTERVAL_AFTER_CHANGE_MILLISECONDS = 120;
/** For each service: looking for a chain takes processor time that requests in progress need. */
const MAXIMUM_TRIES_PER_PASS = 4;

function compareUrgency(one: Waiting, other: Waiting): number {
  return one.classIndex - other.classIndex || one.deadline - other.deadline;
}

/** Lets a stream look again soon, since what it waits for may be there. */
function hasten(waiting: Waiting): void {
  const soon = waiting.lastTryAt + TRY_INTERVAL_AFTER_CHANGE_MILLISECONDS;
  waiting.nextTryAt = Math.max(waiting.notBefore, Math.min(waiting.nextTryAt, soon));
}

export class WaitingStreams {
  readonly #options: WaitingStreamsOptions;

  readonly #now: () => number;

  readonly #waiting = new Set<Waiting>();

  #timer: NodeJS.Timeout | undefined;

  #fleetRevision = 0;

  constructor(options: WaitingStreamsOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /** Number of streams that wait. */
  get count(): number {
    return this.#waiting.size;
  }

  /**
   * Waits until a stream can proceed.
   *
   * @param stream - The stream.
   * @returns What it has taken; undefined if its signal has aborted, or too many wait already.
   * @throws Whatever `tryProceed` throws.
   */
  wait<T>(stream: WaitingStream<T>): Promise<T | undefined> {
    const { service, classIndex, deadline, notBefore, signal, tryProceed } = stream;
    if (signal.aborted || this.#waiting.size >= MAXIMUM_WAITING_STREAMS)
      return Promise.resolve(undefined);
    return new Promise((resolve, reject) => {
      const leave = (): void => {
        this.#remove(waiting);
        signal.removeEventListener('abort', abort);
      };
      const abort = (): void => {
        leave();
        resolve(undefined);
      };
      const attempt = (): boolean => {
        try {
          const taken = tryProceed();
          if (taken === undefined) return false;
          leave();
          resolve(taken);
        } catch (error) {
          leave();
          reject(error instanceof Error ? error : new Error(getErrorMessage(error)));
        }
        return true;
      };
      const waiting: Waiting = {
        service,
        classIndex,
        deadline,
        notBefore,
        attempt,
        nextTryAt: notBefore,
        lastTryAt: -Infinity,
        tries: 0,
      };
      signal.addEventListener('abort', abort, { once: true });
      this.#add(waiting);
    });
  }

  /**
   * Lets streams that wait take what room there is; called before a new request looks for some.
   *
   * @param service - The service of the new request.
   */
  offerRoom(service: string): void {
    const now = this.#now();
    [...this.#waiting]
      .filter((waiting) => waiting.service === service && waiting.notBefore <= now)
      .sort(compareUrgency)
      .slice(0, MAXIMUM_TRIES_PER_PASS)
      .every((waiting) => this.#try(waiting));
  }

  #add(waiting: Waiting): void {
    this.#waiting.add(waiting);
    this.#timer ??= setInterval(() => this.#pass(), PASS_INTERVAL_MILLISECONDS);
    this.#pass();
  }

  #remove(waiting: Waiting): void {
    this.#waiting.delete(waiting);
    if (this.#waiting.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /** Tries the streams whose turn it is, the most urgent first. */
  #pass(): void {
    const revision = this.#options.fleetRevision();
    const hasFleetChanged = revision !== this.#fleetRevision;
    this.#fleetRevision = revision;
    if (hasFleetChanged) this.#waiting.forEach(hasten);
    const now = this.#now();
    const due = [...this.#waiting].filter(({ nextTryAt }) => nextTryAt <= now);
    new Set(due.map(({ service }) => service)).forEach((service) =>
      due
        .filter((waiting) => waiting.service === service)
        .sort(compareUrgency)
        .slice(0, MAXIMUM_TRIES_PER_PASS)
        .forEach((waiting) => this.#try(waiting)),
    );
  }

  /** Returns whether the stream waits no longer. */
  #try(waiting: Waiting): boolean {
    if (waiting.attempt()) return true;
    const interval = PASS_INTERVAL_MILLISECONDS * 2 ** waiting.tries;
    waiting.tries += 1;
    waiting.lastTryAt = this.#now();
    waiting.nextTryAt = waiting.lastTryAt + Math.min(MAXIMUM_TRY_INTERVAL_MILLISECONDS, interval);
    return false;
  }
}
