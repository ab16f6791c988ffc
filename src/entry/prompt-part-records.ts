/**
 * Records which requests engines had just begun when they ended, and on which parts of prompts engines
 * wrote since, at this instance and at its peers; refuses requests with the parts to blame. A blocked
 * part is tried again with single requests, at growing intervals: it may have been blocked by mistake, or be
 * sound again. Instances begin trials at random, so rarely that two at once are unlikely.
 */
import { LruMap } from '../common/lru-map.js';
import type { Logger } from '../telemetry/log.js';
import {
  chooseBlockedParts,
  isBlockedBy,
  type BlockedPart,
  type EndedProcess,
  type RequestContent,
} from './blocked-parts.js';

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

/** What an instance tells its peers. Times are in milliseconds on its own monotonic clock. */
export interface ReportedPartRecords {
  /** By process: when it ended, and for each request that it had just begun the hash and the parts. */
  readonly ends: Record<string, [endedAt: number, requests: string[][]]>;
  /**
   * By part: when an engine first began to write on it after the last end at which it was beginning, or else
   * when one did before.
   */
  readonly written: Record<string, number>;
  /** By blocked part: when an instance last tried a request with it. */
  readonly tried: Record<string, number>;
}

/** A process that has ended, as it is kept while further requests that it had begun become known. */
interface End extends EndedProcess {
  readonly beginning: RequestContent[];
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

const UNEXPLAINED_RETENTION_MILLISECONDS = 120_000;
/** Each trial that fails is an end too, and renews what is known of the part. */
const BLOCKED_RETENTION_MILLISECONDS = 3_600_000;
const MAXIMUM_ENDS = 200;
const MAXIMUM_REQUESTS_PER_END = 50;
const MAXIMUM_WRITTEN_PARTS = 5000;
const MAXIMUM_BLOCK_STATES = 200;
/** Bound the size of the records that peers exchange. */
const MAXIMUM_REPORTED_ENDS = 40;
const MAXIMUM_REPORTED_ENDS_PER_BLOCKED_PART = 4;
const MAXIMUM_REPORTED_REQUESTS_PER_END = 8;
const MAXIMUM_REPORTED_PARTS_PER_REQUEST = 16;
/** Time alone changes the decision for parts that were written on before. */
const DECISION_LIFETIME_MILLISECONDS = 200;
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

/** What one instance knows of the parts of prompts that end engines. */
export class PromptPartRecords {
  readonly #options: PromptPartRecordsOptions;

  readonly #now: () => number;

  readonly #ends = new Map<string, End>();

  /** When an engine last began to write on a part, and lived on. */
  readonly #writtenAt = new LruMap<string, number>(MAXIMUM_WRITTEN_PARTS);

  /** By part that was beginning at an end: the last such end, and when it was first written on afterwards. */
  readonly #partsAtEnds = new Map<string, { lastEndAt: number; writtenAt: number | undefined }>();

  #blocked: readonly BlockedPart[] = [];

  /** When this instance or a peer last tried any blocked part. */
  #triedAt = Number.NEGATIVE_INFINITY;

  /** When this instance refused requests that might have run as trials, within the last 10 s. */
  #refusedAt: number[] = [];

  #decidedAt = Number.NEGATIVE_INFINITY;

  readonly #blockStates = new LruMap<string, BlockState>(MAXIMUM_BLOCK_STATES);

  constructor(options: PromptPartRecordsOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
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
    if (!this.#addEnd(processKey, failedAt, content)) return;
    this.#options.log.warn('Engine ended while it began to run a request.', {
      server: processKey,
      content: content.hash,
      sharedPromptParts: content.sharedParts,
      ends: content.sharedParts.map((part) => this.#countEndsOf(part)),
    });
    this.#decide();
    this.#options.onNews?.();
  }

  /**
   * Records that an engine has written on the parts of a request for a while.
   *
   * @param content - The request.
   * @param beganAt - When the engine began to write.
   */
  recordWritten({ sharedParts }: RequestContent, beganAt: number): void {
    const cleared = sharedParts.filter((part) => this.#noteWritten(part, beganAt));
    if (cleared.length === 0) return;
    const blockedBefore = this.#blocked.length;
    this.#decide();
    if (this.#blocked.length !== blockedBefore) this.#options.onNews?.();
  }

  /** Whether requests like this one are no longer run, since engines end when they begin to. */
  isBlocked(content: RequestContent): boolean {
    return this.#findBlocked(content).length > 0;
  }

  /**
   * Whether a blocked request should run as a trial. Instances choose at random, by how often such requests
   * come, so that hardly ever two try at the same time.
   */
  isTrialDue(content: RequestContent): boolean {
    if (this.#now() - this.#triedAt < MINIMUM_TRIAL_INTERVAL_MILLISECONDS) return false;
    const blocked = this.#findBlocked(content);
    const isDue = blocked.every((part) => this.#isTrialOfPartDue(part));
    if (!isDue || !blocked.every((part) => this.#isConclusive(part, content))) return false;
    return this.#isOwnChoice(blocked.every(isDoubtful));
  }

  /** Records that a blocked request runs as a trial. */
  startTrial(content: RequestContent): void {
    this.#triedAt = this.#now();
    this.#findBlocked(content).forEach(({ part }) => {
      const state = this.#getBlockState(part);
      state.trials += 1;
      state.triedAt = this.#now();
      state.inconclusiveRefusals = 0;
      const { trials } = state;
      this.#options.log.info('Blocked part of prompts is tried again.', { part, trials });
    });
    this.#options.onNews?.();
  }

  /** Records that a blocked request was refused. */
  recordRefusal(content: RequestContent): void {
    const blocked = this.#findBlocked(content);
    if (blocked.every((part) => this.#isConclusive(part, content)))
      this.#refusedAt.push(this.#now());
    blocked
      .filter((part) => hasRival(part, content))
      .forEach(({ part }) => {
        this.#getBlockState(part).inconclusiveRefusals += 1;
      });
  }

  /** Whether a blocked part explains the end of a process, so that no other request is to blame for it. */
  explains(processKey: string): boolean {
    return this.#currentlyBlocked.some(({ processKeys }) => processKeys.includes(processKey));
  }

  /** The records that peers should know. */
  get reported(): ReportedPartRecords {
    const oldest = this.#now() - UNEXPLAINED_RETENTION_MILLISECONDS;
    const unexplained = this.#newestEnds.filter(
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
        if (this.#addEnd(processKey, toOwnClock(endedAt), { hash, sharedParts })) isNews = true;
      });
    });
    Object.entries(written).forEach(([part, writtenAt]) => {
      if (this.#noteWritten(part, toOwnClock(writtenAt))) isNews = true;
    });
    if (isNews) this.#decide();
    Object.entries(tried).forEach(([part, triedAt]) => {
      const state = this.#getBlockState(part);
      state.triedAt = Math.max(state.triedAt, toOwnClock(triedAt));
      this.#triedAt = Math.max(this.#triedAt, state.triedAt);
    });
  }

  get #currentlyBlocked(): readonly BlockedPart[] {
    if (this.#ends.size > 0 && this.#now() - this.#decidedAt > DECISION_LIFETIME_MILLISECONDS)
      this.#decide();
    return this.#blocked;
  }

  #findBlocked(content: RequestContent): BlockedPart[] {
    return this.#currentlyBlocked.filter((blocked) => isBlockedBy(blocked, content));
  }

  #countEndsOf(part: string): number {
    const writtenAt = this.#writtenAt.get(part) ?? Number.NEGATIVE_INFINITY;
    const ends = [...this.#ends.values()].filter(
      ({ endedAt, beginning }) =>
        endedAt >= writtenAt && beginning.some(({ sharedParts }) => sharedParts.includes(part)),
    );
    return ends.length;
  }

  /** @returns Whether the request was not known to have been beginning at that end. */
  #addEnd(processKey: string, endedAt: number, content: RequestContent): boolean {
    if (this.#now() - endedAt > BLOCKED_RETENTION_MILLISECONDS) return false;
    const end = this.#ends.get(processKey) ?? { processKey, endedAt, beginning: [] };
    const isKnown = end.beginning.some(({ hash }) => hash === content.hash);
    if (isKnown || end.beginning.length >= MAXIMUM_REQUESTS_PER_END) return false;
    end.beginning.push(content);
    this.#ends.set(processKey, end);
    content.sharedParts.forEach((part) => {
      const known = this.#partsAtEnds.get(part);
      if (known && known.lastEndAt >= end.endedAt) return;
      const writtenAt = this.#writtenAt.get(part);
      const isWritten = writtenAt !== undefined && writtenAt > end.endedAt;
      this.#partsAtEnds.set(part, {
        lastEndAt: end.endedAt,
        writtenAt: isWritten ? writtenAt : undefined,
      });
    });
    return true;
  }

  /** @returns Whether this clears the part of ends for the first time. */
  #noteWritten(part: string, beganAt: number): boolean {
    if (beganAt > (this.#writtenAt.get(part) ?? Number.NEGATIVE_INFINITY))
      this.#writtenAt.set(part, beganAt);
    const atEnds = this.#partsAtEnds.get(part);
    if (!atEnds || atEnds.writtenAt !== undefined || beganAt <= atEnds.lastEndAt) return false;
    atEnds.writtenAt = beganAt;
    return true;
  }

  /** Decides anew which parts are blocked, and logs what changes. */
  #decide(): void {
    const before = new Map(this.#blocked.map((blocked) => [blocked.part, blocked]));
    this.#decidedAt = this.#now();
    this.#forgetOldEnds();
    this.#blocked = chooseBlockedParts({
      ends: [...this.#ends.values()],
      writtenAt: (part) => this.#writtenAt.get(part),
      now: this.#decidedAt,
    });
    this.#blocked.forEach((blocked) => {
      this.#getBlockState(blocked.part).lastBlockedAt = this.#decidedAt;
      if (before.has(blocked.part)) return;
      this.#options.log.warn('Part of prompts blocked: engines end when they begin on it.', {
        ...blocked,
        ages: this.#listAges(blocked),
      });
    });
    before.forEach((blocked, part) => {
      if (this.#blocked.some((other) => other.part === part)) return;
      this.#options.log.info('Part of prompts is no longer blocked.', { part });
    });
  }

  #listAges({ processKeys }: BlockedPart): number[] {
    return processKeys.map((processKey) =>
      Math.round(this.#now() - (this.#ends.get(processKey)?.endedAt ?? this.#now())),
    );
  }

  #isTrialOfPartDue(blocked: BlockedPart): boolean {
    const state = this.#getBlockState(blocked.part);
    const ends = blocked.processKeys.map((key) => this.#ends.get(key)?.endedAt ?? 0);
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

  #isOwnChoice(isUrgent: boolean): boolean {
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

  get #newestEnds(): End[] {
    return [...this.#ends.values()].sort((one, two) => two.endedAt - one.endedAt);
  }

  #listEndsOfBlocked(): End[] {
    return this.#currentlyBlocked.flatMap(({ processKeys }) =>
      this.#newestEnds
        .filter(({ processKey }) => processKeys.includes(processKey))
        .slice(0, MAXIMUM_REPORTED_ENDS_PER_BLOCKED_PART),
    );
  }

  #describe(describedEnds: readonly End[]): ReportedPartRecords {
    const ends: ReportedPartRecords['ends'] = {};
    const written: ReportedPartRecords['written'] = {};
    const tried: ReportedPartRecords['tried'] = {};
    const endsByContent = this.#countEndsByContent();
    const countEnds = ({ hash }: RequestContent): number => endsByContent.get(hash) ?? 0;
    describedEnds.slice(0, MAXIMUM_REPORTED_ENDS).forEach(({ processKey, endedAt, beginning }) => {
      const requests = [...beginning]
        .sort((one, two) => countEnds(two) - countEnds(one))
        .slice(0, MAXIMUM_REPORTED_REQUESTS_PER_END);
      ends[processKey] = [
        Math.round(endedAt),
        requests.map(({ hash, sharedParts }) => [
          hash,
          ...sharedParts.slice(0, MAXIMUM_REPORTED_PARTS_PER_REQUEST),
        ]),
      ];
      requests.forEach(({ sharedParts }) => {
        sharedParts.forEach((part) => {
          const writtenAt = this.#partsAtEnds.get(part)?.writtenAt ?? this.#writtenAt.get(part);
          if (writtenAt !== undefined) written[part] = Math.round(writtenAt);
        });
      });
    });
    this.#blocked.forEach(({ part }) => {
      const { triedAt } = this.#getBlockState(part);
      if (Number.isFinite(triedAt)) tried[part] = Math.round(triedAt);
    });
    return { ends, written, tried };
  }

  /** By content: at how many ends it was beginning. */
  #countEndsByContent(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    this.#ends.forEach(({ beginning }) =>
      beginning.forEach(({ hash }) => counts.set(hash, (counts.get(hash) ?? 0) + 1)),
    );
    return counts;
  }

  #forgetOldEnds(): void {
    const now = this.#now();
    const explained = new Set(this.#blocked.flatMap(({ processKeys }) => processKeys));
    this.#ends.forEach(({ endedAt }, processKey) => {
      const retention = explained.has(processKey)
        ? BLOCKED_RETENTION_MILLISECONDS
        : UNEXPLAINED_RETENTION_MILLISECONDS;
      if (now - endedAt > retention) this.#ends.delete(processKey);
    });
    const unexplained = [...this.#ends.keys()].filter((processKey) => !explained.has(processKey));
    const surplus = Math.max(0, this.#ends.size - MAXIMUM_ENDS);
    unexplained.slice(0, surplus).forEach((processKey) => this.#ends.delete(processKey));
    this.#forgetPartsWithoutEnds();
  }

  #forgetPartsWithoutEnds(): void {
    const oldest = Math.min(...[...this.#ends.values()].map(({ endedAt }) => endedAt));
    this.#partsAtEnds.forEach(({ lastEndAt }, part) => {
      if (lastEndAt < oldest) this.#partsAtEnds.delete(part);
    });
  }
}
