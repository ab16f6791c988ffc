/**
 * One backend server as this instance knows it: what it reports, the requests that this instance
 * sends to it, and whether it may be sent more.
 */
import { formatAddress, type Address } from '../common/address.js';
import type { ListedInstance } from '../platform/queries/read-instance-list.js';
import { ConcurrencyLimit } from '../routing/concurrency-limit.js';
import type {
  BackendReport,
  BackendState,
  Cordon,
  EngineDescription,
  LoadReport,
} from './report.js';

/** Options of {@link BackendServer}. */
export interface BackendServerOptions {
  readonly listed: ListedInstance;
  /** How many instances send requests to the server; its slots are first divided evenly. */
  readonly sharingInstances: number;
}

/** The slots assumed until the server has reported its own. */
const DEFAULT_SLOTS = 16;
/** How old load reports are when they arrive: the time to read them and to send them to peers. */
const REPORT_LAG_MILLISECONDS = 1000;
/**
 * Requests are counted in fractions, whose sum is inexact; and a request may be sent when at least
 * half a slot is free.
 */
const CAPACITY_TOLERANCE_REQUESTS = 0.5;

export class BackendServer {
  /** The server's row in the instance list. */
  listed: ListedInstance;

  #report: BackendReport | undefined;

  #stageGroup = '';

  /** The load last reported by the instance that reads the server's status. */
  load: LoadReport = [0, 0];

  /**
   * The requests of this instance that the server runs now. A request for which the server is a
   * later stage counts by the share of each token's time that this stage takes.
   */
  inFlight = 0;

  /** Requests that this instance sent recently, with weights that decay with their age. */
  #recentRequests = 0;

  /** The monotonic time in milliseconds for which `#recentRequests` was computed. */
  #recentAt = 0;

  /** Requests that the server runs now and that are suspected of crashing servers. */
  suspectsInFlight = 0;

  /** The monotonic time in milliseconds before which this instance sends it no new requests. */
  avoidUntil = -Infinity;

  /**
   * Set when the server is to load another version. Until it holds that, or until the monotonic time
   * `until`, it is sent no new requests.
   */
  cordon: { readonly target: Cordon; readonly until: number } | undefined;

  /** Smoothed ratio of measured to reported step time, 1 or more: above 1 when it is slower. */
  slowdownFactor = 1;

  /** Limits the requests that this instance has in flight on the server. */
  readonly limit: ConcurrencyLimit;

  constructor(options: BackendServerOptions) {
    this.listed = options.listed;
    const maximum = Math.max(2, Math.ceil(DEFAULT_SLOTS / options.sharingInstances));
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

  get engine(): EngineDescription | undefined {
    return this.#report?.engine;
  }

  /**
   * Identifies the layer range and the data centre. Engines of one model with the same stage group
   * can replace each other as a stage.
   */
  get stageGroup(): string {
    return this.#stageGroup;
  }

  /**
   * The state: `leaving` if the instance list says so, else the state last reported by the server
   * or by a peer, else `serving`.
   */
  get state(): BackendState {
    if (this.listed.state === 'leaving') return 'leaving';
    return this.#report?.state ?? 'serving';
  }

  /**
   * Tells whether new requests may be sent: the server is serving, and neither avoided nor
   * cordoned.
   *
   * @param now - Monotonic time in milliseconds.
   */
  isUsable(now: number): boolean {
    return this.state === 'serving' && now >= this.avoidUntil && !this.#isCordoned(now);
  }

  /**
   * Records that this instance sends it a request.
   *
   * @param now - Monotonic time in milliseconds.
   * @param share - The share of the request that counts for this server, from 0 to 1.
   */
  recordSentRequest(now: number, share = 1): void {
    this.#recentRequests = this.estimateUnreportedRequests(now) + share;
    this.#recentAt = now;
  }

  /**
   * Estimates how many requests of this instance the load report does not contain yet.
   *
   * @param now - Monotonic time in milliseconds.
   * @returns The requests sent, each with a weight that decays with its age.
   */
  estimateUnreportedRequests(now: number): number {
    if (this.#recentRequests === 0) return 0;
    return this.#recentRequests * Math.exp((this.#recentAt - now) / REPORT_LAG_MILLISECONDS);
  }

  /** Whether the concurrency limit allows one more request from this instance. */
  get hasCapacity(): boolean {
    return this.inFlight + 1 <= this.limit.value + CAPACITY_TOLERANCE_REQUESTS;
  }

  /** Whether a cordon is in force and the server does not hold its target version and adapter. */
  #isCordoned(now: number): boolean {
    if (!this.cordon || now >= this.cordon.until) return false;
    const { target } = this.cordon;
    return this.engine?.version !== target.version || this.engine.adapter !== target.adapter;
  }

  toString(): string {
    return `${this.id} at ${formatAddress(this.address)}`;
  }
}
