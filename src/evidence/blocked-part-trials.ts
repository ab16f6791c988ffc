/**
 * Decides when a request with a blocked part runs as a trial: the part may have been blocked by mistake, or
 * be sound again. Trials of a part come at growing intervals. Instances begin them at random, so rarely that
 * two at once are unlikely.
 */
import { LruMap } from '../common/lru-map.js';
import type { Logger } from '../telemetry/log.js';
import type { BlockedPart, RequestContent } from './blocked-parts.js';
import { UNEXPLAINED_RETENTION_MILLISECONDS } from './engine-ends.js';

/** Options of {@link BlockedPartTrials}. */
export interface BlockedPartTrialsOptions {
  /** How many instances serve callers, this one included. */
  readonly countInstances: () => number;
  /** Returns when a process ended, if that is known. */
  readonly findEndedAt: (processKey: string) => number | undefined;
  readonly log: Logger;
  readonly now: () => number;
  /** Returns a random number from 0 to 1. */
  readonly random?: (() => number) | undefined;
}

/** What this instance did about a blocked part. */
interface BlockState {
  readonly blockedAt: number;
  /** When it was last decided that the part is blocked; it may have been another part for a while. */
  lastBlockedAt: number;
  trials: number;
  /** Refused requests since the last trial that a trial would have shown little with. */
  inconclusiveRefusals: number;
  /** When this instance or a peer last tried it. */
  triedAt: number;
}

const MAXIMUM_BLOCK_STATES = 200;
/** A blocked part is tried again after this long without an end; each trial makes it four times as long. */
const TRIAL_INTERVAL_MILLISECONDS = 15_000;
const TRIAL_BACKOFF = 4;
const MAXIMUM_TRIAL_INTERVAL_MILLISECONDS = 1_800_000;
/** Requests that were under way when a part was blocked may still end engines for this long. */
const SETTLING_MILLISECONDS = 2000;
/** Once a trial is due, all instances together begin about one in this time. */
const TRIAL_SPACING_MILLISECONDS = 5000;
const URGENT_TRIAL_SPACING_MILLISECONDS = 1000;
/** After this many requests that a trial would show little with, one of them is tried all the same. */
const MAXIMUM_INCONCLUSIVE_REFUSALS = 20;
const REFUSALS_WINDOW_MILLISECONDS = 10_000;
/** In a larger fleet an instance sees too few requests to tell how many come to all instances. */
const INSTANCES_WITH_KNOWN_RATE = 5;
/** Between two trials, whatever the parts: what came of one is known to all instances before the next. */
const MINIMUM_TRIAL_INTERVAL_MILLISECONDS = 3000;
/** The first trial of a part that may only have been present at ends that have another cause. */
const FIRST_TRIAL_OF_DOUBTFUL_PART_MILLISECONDS = 500;

/** Whether the part may only have been present at ends that have another cause. */
function isDoubtful({ wasWrittenBefore, rivals }: BlockedPart): boolean {
  return wasWrittenBefore || rivals.length > 0;
}

function hasRival({ rivals }: BlockedPart, { sharedParts }: RequestContent): boolean {
  return rivals.some((rival) => sharedParts.includes(rival));
}

function getTrialInterval(trials: number, isInDoubt: boolean): number {
  if (isInDoubt && trials === 0) return FIRST_TRIAL_OF_DOUBTFUL_PART_MILLISECONDS;
  return Math.min(
    MAXIMUM_TRIAL_INTERVAL_MILLISECONDS,
    TRIAL_INTERVAL_MILLISECONDS * TRIAL_BACKOFF ** trials,
  );
}

/** The trials of blocked parts, as far as one instance knows of them. */
export class BlockedPartTrials {
  readonly #options: BlockedPartTrialsOptions;

  readonly #now: () => number;

  readonly #blockStates = new LruMap<string, BlockState>(MAXIMUM_BLOCK_STATES);

  /** When this instance or a peer last tried any blocked part. */
  #triedAt = Number.NEGATIVE_INFINITY;

  /** When this instance lately refused requests that might have run as trials. */
  #refusedAt: number[] = [];

  constructor(options: BlockedPartTrialsOptions) {
    this.#options = options;
    this.#now = options.now;
  }

  /** Whether the last trial of any part is so long ago that all instances know what came of it. */
  get isLastSettled(): boolean {
    return this.#now() - this.#triedAt >= MINIMUM_TRIAL_INTERVAL_MILLISECONDS;
  }

  /** Records that it was decided that a part is blocked, or still is. */
  recordBlocked(part: string, decidedAt: number): void {
    this.#getBlockState(part).lastBlockedAt = decidedAt;
  }

  /** Records that a part was tried here or at a peer. */
  recordTried(part: string, triedAt: number): void {
    const state = this.#getBlockState(part);
    state.triedAt = Math.max(state.triedAt, triedAt);
    this.#triedAt = Math.max(this.#triedAt, state.triedAt);
  }

  /** Returns when a part was last tried, or undefined if it never was. */
  findTriedAt(part: string): number | undefined {
    const { triedAt } = this.#getBlockState(part);
    return Number.isFinite(triedAt) ? triedAt : undefined;
  }

  /**
   * Tells whether a request should run as a trial. Instances choose at random, by how often such requests
   * come, so that hardly ever two try at the same time.
   *
   * @param content - The request.
   * @param blocked - The parts that block it.
   * @returns Whether to run it.
   */
  isDue(content: RequestContent, blocked: readonly BlockedPart[]): boolean {
    const isDue = blocked.every((part) => this.#isPartDue(part));
    if (!isDue || !blocked.every((part) => this.#isConclusive(part, content))) return false;
    return this.#isChosenAtRandom(blocked.every(isDoubtful));
  }

  /** Records that a request with these blocked parts runs as a trial. */
  start(blocked: readonly BlockedPart[]): void {
    this.#triedAt = this.#now();
    blocked.forEach(({ part }) => {
      const state = this.#getBlockState(part);
      state.trials += 1;
      state.triedAt = this.#now();
      state.inconclusiveRefusals = 0;
      const { trials } = state;
      this.#options.log.info('Blocked part of prompts is tried again.', { part, trials });
    });
  }

  /**
   * Records that a request was refused.
   *
   * @param content - The request.
   * @param blocked - The parts that block it.
   */
  recordRefusal(content: RequestContent, blocked: readonly BlockedPart[]): void {
    if (blocked.every((part) => this.#isConclusive(part, content)))
      this.#refusedAt.push(this.#now());
    blocked
      .filter((part) => hasRival(part, content))
      .forEach(({ part }) => {
        this.#getBlockState(part).inconclusiveRefusals += 1;
      });
  }

  #isPartDue(blocked: BlockedPart): boolean {
    const state = this.#getBlockState(blocked.part);
    const ends = blocked.processKeys.map((key) => this.#options.findEndedAt(key) ?? 0);
    // Other instances' trials that failed are known by their ends.
    const settledAt = state.blockedAt + SETTLING_MILLISECONDS;
    const trials = Math.max(state.trials, ends.filter((endedAt) => endedAt > settledAt).length);
    const since = Math.max(...ends, state.triedAt, state.blockedAt);
    return this.#now() - since >= getTrialInterval(trials, isDoubtful(blocked));
  }

  /**
   * Whether a trial with the request would show something about the part: it has no other part that may be
   * the cause, unless hardly any request comes without one.
   */
  #isConclusive(blocked: BlockedPart, content: RequestContent): boolean {
    const { inconclusiveRefusals } = this.#getBlockState(blocked.part);
    return !hasRival(blocked, content) || inconclusiveRefusals >= MAXIMUM_INCONCLUSIVE_REFUSALS;
  }

  /** Chooses so that all instances together begin about one trial in the spacing. */
  #isChosenAtRandom(isUrgent: boolean): boolean {
    const { countInstances, random = Math.random } = this.#options;
    const oldest = this.#now() - REFUSALS_WINDOW_MILLISECONDS;
    this.#refusedAt = this.#refusedAt.filter((refusedAt) => refusedAt > oldest);
    const instances = countInstances();
    const spacing = isUrgent ? URGENT_TRIAL_SPACING_MILLISECONDS : TRIAL_SPACING_MILLISECONDS;
    const requestsMeanwhile =
      (this.#refusedAt.length * instances * spacing) / REFUSALS_WINDOW_MILLISECONDS;
    const share = Math.min(1, INSTANCES_WITH_KNOWN_RATE / instances);
    return random() < share / (1 + requestsMeanwhile);
  }

  #getBlockState(part: string): BlockState {
    const known = this.#blockStates.get(part);
    const now = this.#now();
    if (known && now - known.lastBlockedAt < UNEXPLAINED_RETENTION_MILLISECONDS) return known;
    const state: BlockState = {
      blockedAt: now,
      lastBlockedAt: now,
      trials: 0,
      inconclusiveRefusals: 0,
      triedAt: Number.NEGATIVE_INFINITY,
    };
    this.#blockStates.set(part, state);
    return state;
  }
}
