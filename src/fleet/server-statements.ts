/**
 * Notes what servers say of themselves in their answers, whatever was asked: that they leave, that they want
 * no request for a time, how many requests a second they take.
 */
import type { Logger } from '../telemetry/log.js';
import type { BackendFleet } from './backend-fleet.js';
import { getProcessKey, type ServerEntry } from './server-entry.js';
import type { ServerLimits } from './server-limits.js';

/** What an answer of a server says of the server. */
export interface ServerStatements {
  /** Id of the server that answered, where the answer names it. */
  readonly serverId: string | undefined;
  /** Requests per second that the server takes from all instances together; undefined if any number. */
  readonly requestsPerSecond: number | undefined;
  /** Whether the server says that it leaves and wants no further request. */
  readonly isLeaving: boolean;
  /** For how long the server wants no request from this instance; undefined if it doesn't say. */
  readonly pauseMilliseconds: number | undefined;
  /** What the server says of itself but can't be read; it says nothing. Shortened, by what it is about. */
  readonly malformed: Readonly<Partial<Record<'limit' | 'leaving' | 'pause', string>>>;
}

/** An answer of a server, with what it says of the server. */
export interface StatingAnswer {
  /** The process that was asked. */
  readonly entry: ServerEntry;
  readonly status: number;
  readonly statements: ServerStatements;
  /** The caller's request that it answers; undefined for a health check or a report. */
  readonly requestId?: string;
}

/** Options of {@link StatementRecorder}. */
export interface StatementRecorderOptions {
  readonly fleet: BackendFleet;
  readonly serverLimits: ServerLimits;
  readonly log: Logger;
}

/** Another server answers at the address. */
const MISDIRECTED = 421;
const UNAVAILABLE = 503;

export class StatementRecorder {
  readonly #options: StatementRecorderOptions;

  constructor(options: StatementRecorderOptions) {
    this.#options = options;
  }

  /** Notes what an answer says, unless another server gave it. */
  record({ entry, status, statements, requestId }: StatingAnswer): void {
    const { fleet, log } = this.#options;
    const { serverId, isLeaving, pauseMilliseconds, malformed } = statements;
    const isAnothers = serverId !== undefined && serverId !== entry.id;
    if (status === MISDIRECTED || isAnothers) return;
    this.#recordLimit(entry, statements, requestId);
    if (isLeaving) fleet.recordLeaving(entry);
    if (status === UNAVAILABLE && pauseMilliseconds !== undefined) {
      fleet.recordPause(entry, pauseMilliseconds);
      log.info('Backend server asks for a pause.', {
        requestId,
        server: entry.id,
        pauseMilliseconds,
      });
    }
    if (Object.keys(malformed).length > 0)
      log.warn('Backend server says something of itself that cannot be read; ignored.', {
        requestId,
        server: entry.id,
        ...malformed,
      });
  }

  /** Only answers to callers' requests tell that a server has ceased to name a limit. */
  #recordLimit(
    entry: ServerEntry,
    { requestsPerSecond, malformed }: ServerStatements,
    requestId: string | undefined,
  ): void {
    const { fleet, serverLimits } = this.#options;
    const registered = fleet.find(entry.id);
    const isCurrent = registered && getProcessKey(registered.entry) === getProcessKey(entry);
    const isSilent = requestsPerSecond === undefined && requestId === undefined;
    if (isCurrent && !isSilent && malformed.limit === undefined)
      serverLimits.recordAnswer(entry.id, requestsPerSecond);
  }
}
