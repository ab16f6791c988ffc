/**
 * Decides which requests are no longer run because backend servers end under them: by whole content, and by
 * a part of the prompt that many requests share. A request whose connection broke is only under suspicion
 * until its server is shown to have ended.
 */
import { LruMap } from '../common/lru-map.js';
import type { RequestContent } from './blocked-parts.js';
import type { CrashRecords, ReportedCrashes } from './crash-records.js';
import type { PromptPartRecords } from './prompt-part-records.js';
import type { ReportedPartRecords } from './reported-part-records.js';

/** Options of {@link CrashBlame}. */
export interface CrashBlameOptions {
  readonly contents: CrashRecords;
  readonly promptParts: PromptPartRecords;
  readonly now?: () => number;
}

/** A request that stalled or broke off at a server. */
export interface FailedRequest {
  readonly content: RequestContent;
  /** Whether a server had been writing its answer for a while, so that beginning it does no harm. */
  readonly wasWritten: boolean;
}

/** What blocks requests. */
export interface Blocks extends ReportedCrashes {
  readonly promptParts: ReportedPartRecords;
}

/** What becomes of a new request. */
export type Admission = 'run' | 'try' | 'refuse';

/** What is known against a request when its admission is decided, for the log. */
export interface CrashEvidence {
  readonly content: string;
  /** Servers that ended as they began it, and ones that had been writing its answer. */
  readonly endsAtBegin: number;
  readonly endsWhileWritten: number;
}

interface Suspicion extends FailedRequest {
  readonly since: number;
}

const MAXIMUM_SUSPECTED_SERVERS = 100;
const MAXIMUM_SUSPICIONS_PER_SERVER = 500;
/** An end that is shown later than this after a request failed there was not that request's. */
const SUSPICION_LIFETIME_MILLISECONDS = 6000;

export class CrashBlame {
  /** Whole contents under which servers ended. */
  readonly contents: CrashRecords;

  /** Parts of prompts under which engines ended as they began. */
  readonly promptParts: PromptPartRecords;

  readonly #now: () => number;

  /** Requests that failed at a server, by its process and the content's hash. */
  readonly #suspicions = new LruMap<string, Map<string, Suspicion>>(MAXIMUM_SUSPECTED_SERVERS);

  constructor({ contents, promptParts, now }: CrashBlameOptions) {
    this.contents = contents;
    this.promptParts = promptParts;
    this.#now = now ?? (() => performance.now());
  }

  /**
   * Records that a request stalled or broke off at a server that may have ended under it. It counts as an
   * end once {@link recordEndedServer} shows that, within 6 s.
   *
   * @param request - The request.
   * @param processKey - Identifies the server's process; another one after a restart.
   */
  recordFailure(request: FailedRequest, processKey: string): void {
    const suspicions = this.#suspicions.get(processKey) ?? new Map<string, Suspicion>();
    if (suspicions.size < MAXIMUM_SUSPICIONS_PER_SERVER)
      suspicions.set(request.content.hash, { ...request, since: this.#now() });
    this.#suspicions.set(processKey, suspicions);
  }

  /** Records that a server has ended under all requests that lately failed at it. */
  recordEndedServer(processKey: string): void {
    const suspicions = this.#suspicions.get(processKey);
    this.#suspicions.delete(processKey);
    const oldest = this.#now() - SUSPICION_LIFETIME_MILLISECONDS;
    suspicions?.forEach(({ content, wasWritten, since }) => {
      if (since < oldest) return;
      this.contents.recordCrash(content.hash, processKey, wasWritten);
      if (!wasWritten) this.promptParts.recordEnd(processKey, content, since);
    });
  }

  /**
   * Records that a server has been writing an answer for a while.
   *
   * @param content - The request.
   * @param beganAt - When it began to write, in milliseconds on the monotonic clock.
   */
  recordWritten(content: RequestContent, beganAt: number): void {
    this.promptParts.recordWritten(content, beganAt);
  }

  /** Records that a request ran to a good end: its content does not crash the servers that run it. */
  recordCompletion({ hash }: RequestContent): void {
    this.contents.recordCompletion(hash);
  }

  /** Whether requests like this one are no longer run. */
  isBlocked(content: RequestContent): boolean {
    return this.contents.isBlocked(content.hash) || this.promptParts.isBlocked(content);
  }

  /**
   * Decides about a new request. A blocked one is tried now and then, to find out whether servers still end
   * under its like; {@link startTrial} has to follow when it is sent.
   */
  admit(content: RequestContent): Admission {
    if (this.contents.isBlocked(content.hash)) return 'refuse';
    if (!this.promptParts.isBlocked(content)) return 'run';
    if (this.promptParts.isTrialDue(content)) return 'try';
    this.promptParts.recordRefusal(content);
    return 'refuse';
  }

  /** What is known against a request, or undefined if no server has ended under its content. */
  describeEvidence({ hash }: RequestContent): CrashEvidence | undefined {
    const { beginning, written } = this.contents.countEnds(hash);
    if (beginning + written === 0) return undefined;
    return { content: hash, endsAtBegin: beginning, endsWhileWritten: written };
  }

  /** The records that make another instance block the same requests. */
  describeBlocks(): Blocks {
    return { ...this.contents.blocking, promptParts: this.promptParts.blocking };
  }

  /** Records that a request that was admitted as a trial is sent. */
  startTrial(content: RequestContent): void {
    this.promptParts.startTrial(content);
  }
}
