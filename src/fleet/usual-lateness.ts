/**
 * Tells whether an answer is late, compared with its route's target and with the usual answers of its service. Under
 * overload all answers are late, and by the target alone a sound server would keep the smallest window when it is needed.
 */

interface Usual {
  /** Moving average of the time of answers as a share of their targets. */
  readonly share: number;
  readonly measuredAt: number;
}

/** Weight of a new answer in the moving average. */
const NEW_ANSWER_WEIGHT = 0.1;
/** Without new answers the average halves in this time. */
const HALF_LIFE_MILLISECONDS = 4000;
/** An answer that takes this many times longer than usual is late; times of one service vary by half with its prompts. */
const LATE_FACTOR = 1.5;

/** The usual time of answers by service. */
export class UsualLateness {
  readonly #usual = new Map<string, Usual>();

  readonly #now: () => number;

  constructor(now: () => number) {
    this.#now = now;
  }

  /** Records an answer of servers that are at their full rate. */
  record(service: string, milliseconds: number, targetMilliseconds: number): void {
    if (targetMilliseconds <= 0) return;
    const before = this.#getShare(service);
    const share = before + NEW_ANSWER_WEIGHT * (milliseconds / targetMilliseconds - before);
    this.#usual.set(service, { share, measuredAt: this.#now() });
  }

  /** Whether an answer of a service is late after this time; never without a target. */
  isLate(service: string, milliseconds: number, targetMilliseconds: number): boolean {
    if (targetMilliseconds <= 0) return false;
    return milliseconds > targetMilliseconds * Math.max(1, LATE_FACTOR * this.#getShare(service));
  }

  #getShare(service: string): number {
    const known = this.#usual.get(service);
    if (!known) return 0;
    const weight = 0.5 ** ((this.#now() - known.measuredAt) / HALF_LIFE_MILLISECONDS);
    return known.share * weight;
  }
}
