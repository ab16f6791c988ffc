/**
 * Records which requests engines had just begun when they ended, and on which parts of prompts engines
 * wrote since, at this instance and at its peers; refuses requests with the parts to blame. A blocked
 * part is tried again with single requests.
 */
import type { Logger } from '../telemetry/log.js';
import { BlockedPartTrials } from './blocked-part-trials.js';
import {
  chooseBlockedParts,
  isBlockedBy,
  type BlockedPart,
  type RequestContent,
} from './blocked-parts.js';
import { EngineEnds, UNEXPLAINED_RETENTION_MILLISECONDS, type EngineEnd } from './engine-ends.js';
import { describePartRecords, type ReportedPartRecords } from './reported-part-records.js';

/** Options of {@link PromptPartRecords}. */
export interface PromptPartRecordsOptions {
  /** How many instances serve callers, this one included. */
  readonly countInstances: () => number;
  /** Called when there is news that peers should know at once. */
  readonly onNews?: () => void;
  readonly log: Logger;
  readonly now?: () => number;
  /** Returns a random number from 0 to 1. */
  readonly random?: () => number;
}

const MAXIMUM_REPORTED_ENDS_PER_BLOCKED_PART = 4;
/** Time alone changes the decision for parts that were written on before. */
const DECISION_LIFETIME_MILLISECONDS = 200;

/** What one instance knows of the parts of prompts that end engines. */
export class PromptPartRecords {
  readonly #log: Logger;

  readonly #onNews: () => void;

  readonly #now: () => number;

  readonly #ends: EngineEnds;

  readonly #trials: BlockedPartTrials;

  #blocked: readonly BlockedPart[] = [];

  #decidedAt = Number.NEGATIVE_INFINITY;

  constructor({ countInstances, onNews, log, now, random }: PromptPartRecordsOptions) {
    this.#log = log;
    this.#onNews = onNews ?? (() => undefined);
    this.#now = now ?? (() => performance.now());
    this.#ends = new EngineEnds(this.#now);
    this.#trials = new BlockedPartTrials({
      countInstances,
      findEndedAt: (processKey) => this.#ends.findEndedAt(processKey),
      log,
      now: this.#now,
      random,
    });
  }

  /**
   * Records that an engine ended while it began to run a request.
   *
   * @param processKey - The engine's process.
   * @param content - The request.
   * @param failedAt - When the request failed there, on the monotonic clock.
   */
  recordEnd(processKey: string, content: RequestContent, failedAt = this.#now()): void {
    if (content.sharedParts.length === 0) return;
    if (!this.#ends.add(processKey, failedAt, content)) return;
    this.#log.warn('Engine ended while it began to run a request.', {
      server: processKey,
      content: content.hash,
      sharedPromptParts: content.sharedParts,
      ends: content.sharedParts.map((part) => this.#ends.countOfPart(part)),
    });
    this.#decide();
    this.#onNews();
  }

  /**
   * Records that an engine has written on the parts of a request for a while.
   *
   * @param content - The request.
   * @param beganAt - When the engine began to write.
   */
  recordWritten({ sharedParts }: RequestContent, beganAt: number): void {
    const cleared = sharedParts.filter((part) => this.#ends.recordWritten(part, beganAt));
    if (cleared.length === 0) return;
    const blockedBefore = this.#blocked.length;
    this.#decide();
    if (this.#blocked.length !== blockedBefore) this.#onNews();
  }

  /** Whether requests like this one are no longer run, since engines end when they begin to. */
  isBlocked(content: RequestContent): boolean {
    return this.#findBlocked(content).length > 0;
  }

  /** Whether a blocked request should run as a trial; chosen at random where one is due. */
  isTrialDue(content: RequestContent): boolean {
    return this.#trials.isLastSettled && this.#trials.isDue(content, this.#findBlocked(content));
  }

  /** Records that a blocked request runs as a trial. */
  startTrial(content: RequestContent): void {
    this.#trials.start(this.#findBlocked(content));
    this.#onNews();
  }

  /** Records that a blocked request was refused. */
  recordRefusal(content: RequestContent): void {
    this.#trials.recordRefusal(content, this.#findBlocked(content));
  }

  /** Whether a blocked part explains the end of a process, so that no other request is to blame for it. */
  explains(processKey: string): boolean {
    return this.#currentlyBlocked.some(({ processKeys }) => processKeys.includes(processKey));
  }

  /** The records that peers should know. */
  get reported(): ReportedPartRecords {
    const oldest = this.#now() - UNEXPLAINED_RETENTION_MILLISECONDS;
    const unexplained = this.#ends.newestFirst.filter(
      ({ processKey, endedAt }) => endedAt >= oldest && !this.explains(processKey),
    );
    return this.#describe([...this.#listEndsOfBlocked(), ...unexplained]);
  }

  /** The records that make other instances block the same parts. */
  get blocking(): ReportedPartRecords {
    return this.#describe(this.#listEndsOfBlocked());
  }

  /**
   * Adds what a peer has recorded.
   *
   * @param records - The peer's records.
   * @param peerClock - The peer's monotonic clock when it made them, in milliseconds.
   */
  merge({ ends, written, tried }: ReportedPartRecords, peerClock: number): void {
    const toOwnClock = (time: number): number => Math.min(0, time - peerClock) + this.#now();
    let isNews = false;
    Object.entries(ends).forEach(([processKey, [endedAt, requests]]) => {
      requests.forEach(([hash = '', ...sharedParts]) => {
        if (this.#ends.add(processKey, toOwnClock(endedAt), { hash, sharedParts })) isNews = true;
      });
    });
    Object.entries(written).forEach(([part, writtenAt]) => {
      if (this.#ends.recordWritten(part, toOwnClock(writtenAt))) isNews = true;
    });
    if (isNews) this.#decide();
    Object.entries(tried).forEach(([part, triedAt]) =>
      this.#trials.recordTried(part, toOwnClock(triedAt)),
    );
  }

  get #currentlyBlocked(): readonly BlockedPart[] {
    if (this.#ends.size > 0 && this.#now() - this.#decidedAt > DECISION_LIFETIME_MILLISECONDS)
      this.#decide();
    return this.#blocked;
  }

  #findBlocked(content: RequestContent): BlockedPart[] {
    return this.#currentlyBlocked.filter((blocked) => isBlockedBy(blocked, content));
  }

  /** Decides anew which parts are blocked. */
  #decide(): void {
    const before = this.#blocked;
    this.#decidedAt = this.#now();
    this.#ends.forgetOld(new Set(before.flatMap(({ processKeys }) => processKeys)));
    this.#blocked = chooseBlockedParts({
      ends: this.#ends.all,
      writtenAt: (part) => this.#ends.findLastWrittenAt(part),
      now: this.#decidedAt,
    });
    this.#blocked.forEach(({ part }) => this.#trials.recordBlocked(part, this.#decidedAt));
    this.#logChanges(before);
  }

  #logChanges(before: readonly BlockedPart[]): void {
    const partsBefore = new Set(before.map(({ part }) => part));
    const parts = new Set(this.#blocked.map(({ part }) => part));
    this.#blocked
      .filter(({ part }) => !partsBefore.has(part))
      .forEach((blocked) =>
        this.#log.warn('Part of prompts blocked: engines end when they begin on it.', {
          ...blocked,
          ages: this.#listAges(blocked),
        }),
      );
    partsBefore.forEach((part) => {
      if (!parts.has(part)) this.#log.info('Part of prompts is no longer blocked.', { part });
    });
  }

  #listAges({ processKeys }: BlockedPart): number[] {
    return processKeys.map((processKey) =>
      Math.round(this.#now() - (this.#ends.findEndedAt(processKey) ?? this.#now())),
    );
  }

  #listEndsOfBlocked(): EngineEnd[] {
    return this.#currentlyBlocked.flatMap(({ processKeys }) =>
      this.#ends.newestFirst
        .filter(({ processKey }) => processKeys.includes(processKey))
        .slice(0, MAXIMUM_REPORTED_ENDS_PER_BLOCKED_PART),
    );
  }

  #describe(reported: readonly EngineEnd[]): ReportedPartRecords {
    return describePartRecords({
      reported,
      ends: this.#ends,
      blockedParts: this.#blocked.map(({ part }) => part),
      findTriedAt: (part) => this.#trials.findTriedAt(part),
    });
  }
}
