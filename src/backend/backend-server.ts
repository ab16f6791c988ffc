/** One backend server as this instance sees it. */
import { formatAddress, type Address } from '../common/address.js';
import type { ListedInstance } from '../platform/queries/read-instance-list.js';
import { ConcurrencyLimit } from '../routing/concurrency-limit.js';
import type { BackendReport, BackendState, Cordon, EngineFacts, LoadReport } from './report.js';

/** Options of {@link BackendServer}. */
export interface BackendServerOptions {
  readonly listed: ListedInstance;
  /** How many instances share the server, for the first limit. */
  readonly sharers: number;
}

const DEFAULT_SLOTS = 16;
/** How far load reports lag behind, reading and spreading included. */
const REPORT_LAG_MILLISECONDS = 1000;
/** Sums of parts are not exact, and a part may overlap the last slot. */
const CAPACITY_TOLERANCE_REQUESTS = 0.5;

export class BackendServer {
  listed: ListedInstance;

  #report: BackendReport | undefined;

  #stageGroup = '';

  load: LoadReport = [0, 0];

  /**
   * Requests of this instance that it runs now. One for which the server is a later stage counts
   * for the part of each token's time that its stage takes.
   */
  inFlight = 0;

  /** Requests that this instance sent lately, weighted down with their age. */
  #recentRequests = 0;

  #recentRequestsAt = 0;

  /** Requests under suspicion of crashing servers that it runs now. */
  suspectsInFlight = 0;

  /** This instance sends it nothing before this monotonic time. */
  avoidUntil = -Infinity;

  /** Set while the server is to load another version. */
  cordon: { readonly target: Cordon; readonly until: number } | undefined;

  /** Measured steps beside reported ones: above 1 when it is slower than it says. */
  slowness = 1;

  readonly limit: ConcurrencyLimit;

  constructor(options: BackendServerOptions) {
    this.listed = options.listed;
    const maximum = Math.max(2, Math.ceil(DEFAULT_SLOTS / options.sharers));
    this.limit = new ConcurrencyLimit({ maximum });
  }

  get id(): string {
    return this.listed.id;
  }

  get address(): Address {
    return { host: this.listed.host, port: this.listed.port };
  }

  get report(): BackendReport | undefined {
    return this.#report;
  }

  set report(report: BackendReport | undefined) {
    this.#report = report;
    const { from, to } = report?.engine ?? {};
    this.#stageGroup = `${from}-${to}-${this.listed.dataCentre}`;
  }

  get engine(): EngineFacts | undefined {
    return this.#report?.engine;
  }

  /** Names the layers and data centre that it shares with interchangeable engines. */
  get stageGroup(): string {
    return this.#stageGroup;
  }

  /** The first of what the list, the server and other instances say. */
  get state(): BackendState {
    if (this.listed.state === 'leaving') return 'leaving';
    return this.#report?.state ?? 'serving';
  }

  /**
   * Tells whether new work may be sent.
   *
   * @param now - Monotonic time in milliseconds.
   * @returns Whether it serves and is not being avoided.
   */
  isUsable(now: number): boolean {
    return this.state === 'serving' && now >= this.avoidUntil && !this.#isCordoned(now);
  }

  /**
   * Notes that this instance sends it a request.
   *
   * @param now - Monotonic time in milliseconds.
   * @param share - The part of the request that counts here.
   */
  noteSent(now: number, share = 1): void {
    this.#recentRequests = this.recentlySent(now) + share;
    this.#recentRequestsAt = now;
  }

  /**
   * Estimates how many of this instance's latest requests its load report does not show yet.
   *
   * @param now - Monotonic time in milliseconds.
   * @returns Requests, weighted down with their age.
   */
  recentlySent(now: number): number {
    if (this.#recentRequests === 0) return 0;
    return (
      this.#recentRequests * Math.exp((this.#recentRequestsAt - now) / REPORT_LAG_MILLISECONDS)
    );
  }

  /** Whether this instance may send one request more. */
  get hasRoom(): boolean {
    return this.inFlight + 1 <= this.limit.value + CAPACITY_TOLERANCE_REQUESTS;
  }

  #isCordoned(now: number): boolean {
    if (!this.cordon || now >= this.cordon.until) return false;
    const { target: wanted } = this.cordon;
    return this.engine?.version !== wanted.version || this.engine.adapter !== wanted.adapter;
  }

  toString(): string {
    return `${this.id} at ${formatAddress(this.address)}`;
  }
}
