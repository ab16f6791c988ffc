/** The backend servers that this instance knows, from the instance list, peers and its own calls. */
import type { ListedInstance } from '../platform/queries/read-instance-list.js';
import type { PeerRecord } from '../peer/record.js';
import type { RecordTable } from '../peer/record-table.js';
import type { Logger } from '../telemetry/log.js';
import { BackendServer } from './backend-server.js';
import { BackendReport, Cordon, LoadReport, type BackendState } from './report.js';

/** Options of {@link BackendDirectory}. */
export interface DirectoryOptions {
  readonly table: RecordTable;
  readonly log: Logger;
  /** How many instances share the servers. */
  readonly sharers: () => number;
  readonly monotonicMilliseconds?: () => number;
  readonly wallMilliseconds?: () => number;
}

const AVOID_MILLISECONDS = 2000;
const SLOWDOWN_SMOOTHING_FACTOR = 0.2;
const SPARE_REQUESTS = 1;
/** A server's queue is long when it is over this share of its slots. */
const LONG_QUEUE_SHARE = 0.5;

export class BackendDirectory {
  readonly #options: DirectoryOptions;

  readonly #servers = new Map<string, BackendServer>();

  readonly #monotonicMilliseconds: () => number;

  /** Engines by model, made anew after the list or a report has changed. */
  readonly #enginesByModel = new Map<string, BackendServer[]>();

  #isListed = false;

  #trafficFactor = 1;

  readonly #wallMilliseconds: () => number;

  /** The incarnation of each server when this instance last heard it say that it leaves. */
  readonly #leavingIncarnations = new Map<string, number>();

  constructor(options: DirectoryOptions) {
    this.#options = options;
    this.#monotonicMilliseconds = options.monotonicMilliseconds ?? (() => performance.now());
    this.#wallMilliseconds = options.wallMilliseconds ?? (() => Date.now());
    options.table.onRecord('backend', (record) => this.#applyReport(record));
    options.table.onRecord('load', (record) => this.#applyLoad(record));
    options.table.onRecord('cordon', (record) => this.#applyCordon(record));
  }

  /**
   * How many times this instance's own traffic all instances' traffic is, as far as load reports
   * show it.
   */
  get trafficFactor(): number {
    return this.#trafficFactor;
  }

  /** Reviews {@link trafficFactor}. */
  reviewTraffic(): void {
    const own = this.all.reduce((sum, server) => sum + server.inFlight, 0);
    const reported = this.all.reduce((sum, server) => sum + server.load[0] + server.load[1], 0);
    const sharers = this.#options.sharers();
    // With no traffic of its own to compare, the instance takes itself for one among equals.
    const factor = own > 0 && reported > 0 ? reported / own : sharers;
    this.#trafficFactor = Math.min(sharers, Math.max(1, factor));
    this.all.forEach((server) => {
      const slots = server.report?.slots;
      // One more than its part, so that the server never waits for the next request.
      if (slots !== undefined) {
        server.limit.setMaximum(Math.ceil(slots / this.#trafficFactor) + SPARE_REQUESTS);
      }
    });
  }

  /** Whether the instance list has been read. */
  get isListed(): boolean {
    return this.#isListed;
  }

  /** Whether every listed server that is not leaving has been heard of. */
  get isReported(): boolean {
    return this.all.every((server) => server.report ?? server.listed.state === 'leaving');
  }

  get all(): BackendServer[] {
    return [...this.#servers.values()];
  }

  /** Engines that report a model. */
  get engines(): BackendServer[] {
    return this.all.filter((server) => server.listed.kind === 'engine' && server.engine);
  }

  /**
   * Finds the engines of a model.
   *
   * @param model - The model.
   * @returns The engines that report it, of whatever version.
   */
  enginesOf(model: string): readonly BackendServer[] {
    const cached = this.#enginesByModel.get(model);
    if (cached) return cached;
    const found = this.engines.filter((server) => server.engine?.model === model);
    this.#enginesByModel.set(model, found);
    return found;
  }

  /**
   * Finds the replicas of a plain service.
   *
   * @param service - The service's name.
   * @returns Its replicas that may be sent new work.
   */
  usableReplicas(service: string): BackendServer[] {
    const now = this.#monotonicMilliseconds();
    return this.all.filter(
      (server) =>
        server.listed.kind === 'service' &&
        server.listed.service === service &&
        server.isUsable(now),
    );
  }

  /**
   * Finds a server.
   *
   * @param id - The server's name.
   * @returns The server, if it is listed.
   */
  find(id: string): BackendServer | undefined {
    return this.#servers.get(id);
  }

  /**
   * Takes over the instance list. Servers that are no longer listed are forgotten.
   *
   * @param rows - The rows of the list.
   */
  takeList(rows: readonly ListedInstance[]): void {
    this.#isListed = true;
    this.#enginesByModel.clear();
    const backends = rows.filter((row) => row.kind !== 'entry');
    const listed = new Set(backends.map((row) => row.id));
    [...this.#servers.keys()].filter((id) => !listed.has(id)).forEach((id) => this.#forget(id));
    backends.forEach((row) => {
      const server = this.#servers.get(row.id);
      if (server) server.listed = row;
      else this.#add(row);
    });
  }

  /**
   * Publishes what a server reports of itself, if it differs from what is known.
   *
   * @param id - The server's name.
   * @param incarnation - When its process started.
   * @param report - What it reports.
   */
  publishReport(id: string, incarnation: number, report: BackendReport): void {
    const known = this.#options.table.get('backend', id);
    const isSame =
      known?.epoch === incarnation && JSON.stringify(known.value) === JSON.stringify(report);
    if (isSame) return;
    const counter = Math.max(this.#wallMilliseconds(), (known?.counter ?? 0) + 1);
    const record = {
      kind: 'backend' as const,
      key: id,
      epoch: incarnation,
      counter,
      value: report,
    };
    this.#options.table.put(record, '', true);
  }

  /**
   * Publishes a server's load.
   *
   * @param id - The server's name.
   * @param incarnation - When its process started.
   * @param load - Its load.
   */
  publishLoad(id: string, incarnation: number, load: LoadReport): void {
    const record = {
      kind: 'load' as const,
      key: id,
      epoch: incarnation,
      counter: this.#wallMilliseconds(),
      value: load,
    };
    this.#options.table.put(record);
  }

  /**
   * Keeps new work from an engine, on every instance, until it holds what it is to load.
   *
   * @param id - The engine's name.
   * @param cordon - What it is to hold and how long to wait for that.
   */
  publishCordon(id: string, cordon: Cordon): void {
    const counter = this.#wallMilliseconds();
    this.#options.table.put({ kind: 'cordon', key: id, epoch: 0, counter, value: cordon });
  }

  /**
   * Notes that a server said that it is leaving, or could not be reached, and tells peers.
   *
   * @param id - The server's name.
   * @param state - What was noticed.
   */
  noteState(id: string, state: Exclude<BackendState, 'serving'>): void {
    const server = this.#servers.get(id);
    if (!server) return;
    const known = this.#options.table.get('backend', id);
    const incarnation = known?.epoch ?? 0;
    if (state === 'unreachable')
      server.avoidUntil = this.#monotonicMilliseconds() + AVOID_MILLISECONDS;
    const { slots = server.limit.value, engine } = server.report ?? {};
    this.publishReport(id, incarnation, { state, slots, engine });
    this.#options.log.info(`Backend server is ${state}.`, { backend: id });
  }

  /**
   * Keeps new work from a server for a short time without telling peers.
   *
   * @param id - The server's name.
   * @param milliseconds - For how long.
   */
  avoid(id: string, milliseconds = AVOID_MILLISECONDS): void {
    const server = this.#servers.get(id);
    if (server) server.avoidUntil = this.#monotonicMilliseconds() + milliseconds;
  }

  /**
   * Notes how long a server took beside what it reported.
   *
   * @param id - The server's name.
   * @param ratio - Measured time over expected time.
   */
  noteSlowness(id: string, ratio: number): void {
    const server = this.#servers.get(id);
    if (!server) return;
    server.slowness += SLOWDOWN_SMOOTHING_FACTOR * (Math.max(1, ratio) - server.slowness);
  }

  #add(row: ListedInstance): void {
    const server = new BackendServer({ listed: row, sharers: this.#options.sharers() });
    this.#servers.set(row.id, server);
    const report = this.#options.table.get('backend', row.id);
    const load = this.#options.table.get('load', row.id);
    if (report) this.#applyReport(report);
    if (load) this.#applyLoad(load);
  }

  #forget(id: string): void {
    this.#servers.delete(id);
    this.#leavingIncarnations.delete(id);
    this.#options.table.drop('backend', id);
    this.#options.table.drop('load', id);
    this.#options.table.drop('cordon', id);
  }

  #applyReport(record: PeerRecord): void {
    const parsed = BackendReport.safeParse(record.value);
    const server = this.#servers.get(record.key);
    if (!server || !parsed.success) return;
    const report = parsed.data;
    this.#enginesByModel.clear();
    if (report.state === 'leaving') this.#leavingIncarnations.set(record.key, record.epoch);
    // A server that said it leaves does not come back before it is started anew.
    const hasLeft = this.#leavingIncarnations.get(record.key) === record.epoch;
    server.report = hasLeft ? { ...report, state: 'leaving' } : report;
  }

  #applyCordon(record: PeerRecord): void {
    const parsed = Cordon.safeParse(record.value);
    const server = this.#servers.get(record.key);
    if (!server || !parsed.success) return;
    server.cordon = {
      target: parsed.data,
      until: this.#monotonicMilliseconds() + parsed.data.milliseconds,
    };
  }

  #applyLoad(record: PeerRecord): void {
    const parsed = LoadReport.safeParse(record.value);
    const server = this.#servers.get(record.key);
    if (!server || !parsed.success) return;
    server.load = parsed.data;
    const slots = server.report?.slots ?? Infinity;
    if (parsed.data[1] > slots * LONG_QUEUE_SHARE) server.limit.recordQueueing();
  }
}
