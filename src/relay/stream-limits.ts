/**
 * Keeps how often one streaming request was attempted, and decides whether it may be attempted again. What runs
 * beside a silent attempt takes nothing from the limits on attempts that follow one that failed. Handles engines
 * that refuse, break off or end, one after the other, under one request.
 */
import { getProcessKey, type ServerEntry } from '../fleet/server-entry.js';
import type { CrashBlame } from '../evidence/crash-blame.js';
import type { EndedRunProof } from './ended-run.js';
import type { EndsAtBegin } from './ends-at-begin.js';
import { isIdempotent, type EntryRequest } from '../entry/entry-request.js';
import type { StreamRuns } from './stream-runs.js';

/** Options of {@link StreamLimits}. */
export interface StreamLimitsOptions {
  readonly request: Pick<EntryRequest, 'content' | 'route'>;
  readonly runs: StreamRuns;
  readonly crashBlame: Pick<CrashBlame, 'isBlocked'>;
  readonly endsAtBegin: EndsAtBegin;
}

/** Limit on attempts that engines refuse; these do not count towards the route's maximum. */
const MAXIMUM_REFUSED_ATTEMPTS = 4;
/** Limit on attempts that may have run, whatever the route allows. */
const MAXIMUM_ATTEMPTS = 4;
/** Doubles with each further refusal, whatever the engines say of their room. */
const INITIAL_REFUSAL_PAUSE_MILLISECONDS = 100;
const MAXIMUM_REFUSAL_PAUSE_MILLISECONDS = 1600;
/** How often another chain may be tried because the first event is late. */
const MAXIMUM_LATE_RETRIES = 1;

export class StreamLimits {
  readonly #options: StreamLimitsOptions;

  #refusals = 0;

  /** Refusals since the last attempt that may have run. */
  #refusalsInSequence = 0;

  #refusalsBeside = 0;

  #cancelledBeside = 0;

  #lateRetries = 0;

  /** Whether the request is blocked, and runs to find out whether it should be. */
  isTrial = false;

  constructor(options: StreamLimitsOptions) {
    this.#options = options;
  }

  /** Counts an attempt that an engine refused. */
  recordRefusal(): void {
    this.#refusals += 1;
    this.#refusalsInSequence += 1;
  }

  /**
   * Counts an attempt that may have run.
   *
   * @param processKey - The process of its first engine.
   */
  recordRun(processKey: string): void {
    this.#refusalsInSequence = 0;
    this.#options.runs.record(processKey, true);
  }

  /** Counts an attempt beside a silent one that an engine refused. */
  recordRefusalBeside(): void {
    this.#refusalsBeside += 1;
  }

  /**
   * Counts an attempt beside a silent one that was cancelled after it had been sent.
   *
   * @param engine - Its first engine.
   */
  recordCancelledBeside(engine: ServerEntry): void {
    this.#cancelledBeside += 1;
    this.#options.runs.record(getProcessKey(engine), false);
  }

  /** Takes the one retry for a late first event; false if it has been taken. */
  tryTakeLateRetry(): boolean {
    if (this.#lateRetries >= MAXIMUM_LATE_RETRIES) return false;
    this.#lateRetries += 1;
    return true;
  }

  /** Why the request can't be attempted again, if it can't for good. */
  get proof(): EndedRunProof | undefined {
    const { request, runs, crashBlame, endsAtBegin } = this.#options;
    const hasNotRun = runs.total === 0;
    if (!isIdempotent(request.route) && !hasNotRun) return 'notRepeatable';
    if (crashBlame.isBlocked(request.content) && !(this.isTrial && hasNotRun))
      return 'blockedContent';
    if (endsAtBegin.isShown) return 'endsServers';
    return this.#attempts >= MAXIMUM_ATTEMPTS || runs.isExhaustedForGood ? 'runLimit' : undefined;
  }

  /** Whether engines have refused the request so often that it is sent to no further one at once. */
  get isRefusedTooOften(): boolean {
    return this.#refusals > MAXIMUM_REFUSED_ATTEMPTS;
  }

  /** How long no engine is asked after the last ones refused the request; 0 if they did not. */
  get refusalPauseMilliseconds(): number {
    if (this.#refusalsInSequence === 0) return 0;
    const pause = INITIAL_REFUSAL_PAUSE_MILLISECONDS * 2 ** (this.#refusalsInSequence - 1);
    return Math.min(MAXIMUM_REFUSAL_PAUSE_MILLISECONDS, pause);
  }

  /**
   * Whether the request may be attempted beside an attempt that is open.
   *
   * @param processKey - The process of the first engine of the open one.
   */
  allowsBeside(processKey: string): boolean {
    const { request, runs, crashBlame, endsAtBegin } = this.#options;
    return (
      isIdempotent(request.route) &&
      !crashBlame.isBlocked(request.content) &&
      !endsAtBegin.isLikely &&
      this.#attempts + 1 < MAXIMUM_ATTEMPTS &&
      this.#refusalsBeside <= MAXIMUM_REFUSED_ATTEMPTS &&
      runs.allowsAnotherAfter(processKey)
    );
  }

  /** The counts, for the log. */
  get counts(): Readonly<Record<string, number | readonly string[]>> {
    const { runs, endsAtBegin } = this.#options;
    return {
      attempts: runs.total,
      runs: runs.countedServers,
      endedServers: runs.endedProcessKeys,
      endsAtBegin: endsAtBegin.shown,
      refusedTries: this.#refusals,
    };
  }

  /** Attempts that may have run, but for those that were cancelled for the sake of another one. */
  get #attempts(): number {
    return this.#options.runs.total - this.#cancelledBeside;
  }
}
