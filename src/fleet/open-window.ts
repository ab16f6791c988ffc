/**
 * An open window of one backend server: the answers of the current round, and the requests that this instance has sent in
 * the current turn.
 */
import type { FleetServer } from './fleet-server.js';
import type { PaceWindow } from './pace-window.js';
import { getProcessKey } from './server-entry.js';

/** Options of {@link OpenWindow}. */
export interface OpenWindowOptions {
  readonly server: FleetServer;
  readonly state: PaceWindow;
  /** Current time on the monotonic clock, in milliseconds. */
  readonly now: () => number;
}

export class OpenWindow {
  readonly server: FleetServer;

  readonly processKey: string;

  readonly #now: () => number;

  #state: PaceWindow;

  /** Answers in time in this round, by this instance. */
  ownAnswers = 0;

  readonly #peerAnswers = new Map<string, number>();

  /** Answers to requests that were sent earlier are not counted, as they ran in another window. */
  countedSince: number;

  #turn = 0;

  /** Requests sent in the current turn that still run. */
  sentInTurn = 0;

  /** Whether requests can go elsewhere, so that the window limits the server. */
  isInEffect = true;

  constructor({ server, state, now }: OpenWindowOptions) {
    this.server = server;
    this.processKey = getProcessKey(server.entry);
    this.#now = now;
    this.#state = state;
    this.countedSince = now();
  }

  get state(): PaceWindow {
    return this.#state;
  }

  /** Answers in time in this round, by all instances. */
  get answers(): number {
    return [...this.#peerAnswers.values()].reduce((sum, count) => sum + count, this.ownAnswers);
  }

  /** Notes how many answers in time a peer has got in this round. */
  setPeerAnswers(peer: string, answers: number): void {
    this.#peerAnswers.set(peer, answers);
  }

  /** Changes the window, and begins a round. */
  change(state: PaceWindow): void {
    const isGrowing = state.places > this.#state.places;
    const { entry, ownLoad } = this.server;
    // Streams whose first events came in earlier rounds still take their places, and have shown that these can be used.
    const isAnswering = isGrowing && entry.kind !== undefined;
    this.ownAnswers = isAnswering ? Math.min(this.ownAnswers, ownLoad.requests) : 0;
    if (!isGrowing) this.countedSince = this.#now();
    this.#peerAnswers.clear();
    this.#state = state;
  }

  /** Begins another turn, unless this is the current one. */
  updateTurn(turn: number): void {
    if (turn === this.#turn) return;
    this.#turn = turn;
    this.sentInTurn = 0;
  }

  /**
   * Counts a request that is sent in the current turn.
   *
   * @returns A function that ends the count; it must be called once.
   */
  begin(): () => void {
    const turn = this.#turn;
    this.sentInTurn += 1;
    return () => {
      if (this.#turn === turn) this.sentInTurn -= 1;
    };
  }
}
