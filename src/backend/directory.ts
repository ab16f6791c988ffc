/**
 * The backend servers known to this instance, from the instance list, the records of peers and its
 * own calls. Publishes what this instance learns about a server to peers.
 */
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
  /** Counts the instances that send requests to the servers, at least 1. */
  readonly countSharingInstances: () => number;
  readonly monotonicMilliseconds?: () => number;
  readonly wallMilliseconds?: () => number;
}

/** How long a server is sent no new requests after a call to it failed. */
const AVOID_MILLISECONDS = 2000;
const SLOWDOWN_SMOOTHING_FACTOR = 0.2;
const SPARE_REQUESTS = 1;
/** A queue longer than this share of the server's slots lowers the concurrency limit. */
const LONG_QUEUE_SHARE = 0.5;

/** Finds, updates and publishes backend servers. */
export class BackendDirectory {
  readonly #options: DirectoryOptions;

  readonly #servers = new Map<string, BackendServer>();

  readonly #monotonicMilliseconds: () => number;

  /** Engines by model; cleared when the instance list or a report changes. */
  readonly #enginesByModel = new Map<string, BackendServer[]>();

  #hasInstanceList = false;

  #trafficFactor = 1;

  readonly #wallMilliseconds: () => number;

  /** The incarnation in which each server last reported that it is leaving. */
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
   * The estimated ratio of the traffic of all instances to that of this instance, from load
   * reports. It lies between 1 and the number of instances.
   */
  get trafficFactor(): number {
    return this.#trafficFactor;
  }

  /** Updates {@link trafficFactor} and the concurrency limits that follow from it. */
  updateTrafficFactor(): void {
    const own = this.servers.reduce((sum, server) => sum + server.inFlight, 0);
    const reported = this.servers.reduce((sum, server) => sum + server.load[0] + server.load[1], 0);
    const instanceCount = this.#options.countSharingInstances();
    // Without own or reported requests to compare, equal traffic of all instances is assumed.
    const factor = own > 0 && reported > 0 ? reported / own : instanceCount;
    this.#trafficFactor = Math.min(instanceCount, Math.max(1, factor));
    this.servers.forEach((server) => {
      const slots = server.report?.slots;
      // One more than this instance's share, so that the server need not wait for a next request.
      if (slots !== undefined) {
        server.limit.setMaximum(Math.ceil(slots / this.#trafficFactor) + SPARE_REQUESTS);
      }
    });
  }

  /** Whether the instance list has been read. */
  get hasInstanceList(): boolean {
    return this.#hasInstanceList;
  }

  /** Whether there is a report of every server that the instance list does not show as leaving. */
  get hasAllReports(): boolean {
    return this.servers.every((server) => server.report ?? server.listed.state === 'leaving');
  }

  /** Every listed backend server, in any state. */
  get servers(): BackendServer[] {
    return [...this.#servers.values()];
  }

  /** The model engines that have reported their status, in any state. */
  get engines(): BackendServer[] {
    return this.servers.filter((server) => server.listed.kind === 'engine' && server.engine);
  }

  /**
   * Finds the engines of a model, of any version and in any state.
   *
   * @param model - The name of the model.
   */
  findEngines(model: string): readonly BackendServer[] {
    const cached = this.#enginesByModel.get(model);
    if (cached) return cached;
    const found = this.engines.filter((server) => server.engine?.model === model);
    this.#enginesByModel.set(model, found);
    return found;
  }

  /**
   * Finds the replicas of a plain service that may be sent new requests.
   *
   * @param service - The service's name.
   */
  findUsableReplicas(service: string): BackendServer[] {
    const now = this.#monotonicMilliseconds();
    return this.servers.filter(
      (server) =>
        server.listed.kind === 'service' &&
        server.listed.service === service &&
        server.isUsable(now),
    );
  }

  /** Finds a server by its id in the instance list. */
  find(id: string): BackendServer | undefined {
    return this.#servers.get(id);
  }

  /**
   * Applies a newly read instance list: adds new servers and removes those no longer listed, with
   * their records.
   *
   * @param rows - All rows of the list; entry instances are ignored.
   */
  applyInstanceList(rows: readonly ListedInstance[]): void {
    this.#hasInstanceList = true;
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
   * Publishes a server's report to peers, if it differs from the report published last.
   *
   * @param id - The server's id.
   * @param incarnation - When its process started.
   * @param report - The new report.
   */
  publishReport(id: string, incarnation: number, report: BackendReport): void {
    const current = this.#options.table.get('backend', id);
    const isSame =
      current?.epoch === incarnation && JSON.stringify(current.value) === JSON.stringify(report);
    if (isSame) return;
    const counter = Math.max(this.#wallMilliseconds(), (current?.counter ?? 0) + 1);
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
   * Publishes a server's load to the peers in the region.
   *
   * @param id - The server's id.
   * @param incarnation - When its process started.
   * @param load - The load just read.
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
   * Makes every instance stop sending new requests to an engine until it holds a given version.
   *
   * @param id - The engine's id.
   * @param cordon - The version and adapter to wait for, and the longest wait.
   */
  publishCordon(id: string, cordon: Cordon): void {
    const counter = this.#wallMilliseconds();
    this.#options.table.put({ kind: 'cordon', key: id, epoch: 0, counter, value: cordon });
  }

  /**
   * Publishes that a server is leaving or can't be reached, as this instance learnt from a call.
   * An unreachable server is also avoided for a short time.
   *
   * @param id - The server's id.
   * @param state - The state to publish.
   */
  publishState(id: string, state: Exclude<BackendState, 'serving'>): void {
    const server = this.#servers.get(id);
    if (!server) return;
    const current = this.#options.table.get('backend', id);
    const incarnation = current?.epoch ?? 0;
    if (state === 'unreachable')
      server.avoidUntil = this.#monotonicMilliseconds() + AVOID_MILLISECONDS;
    const { slots = server.limit.value, engine } = server.report ?? {};
    this.publishReport(id, incarnation, { state, slots, engine });
    this.#options.log.info(`Backend server marked as ${state}.`, { backend: id });
  }

  /**
   * Makes this instance alone stop sending new requests to a server for a short time.
   *
   * @param id - The server's id.
   * @param milliseconds - For how long.
   */
  avoid(id: string, milliseconds = AVOID_MILLISECONDS): void {
    const server = this.#servers.get(id);
    if (server) server.avoidUntil = this.#monotonicMilliseconds() + milliseconds;
  }

  /**
   * Updates the smoothed slowdown of a server with one measurement.
   *
   * @param id - The server's id.
   * @param ratio - Measured step time over reported step time; values below 1 count as 1.
   */
  recordSlowdown(id: string, ratio: number): void {
    const server = this.#servers.get(id);
    if (!server) return;
    server.slowdownFactor +=
      SLOWDOWN_SMOOTHING_FACTOR * (Math.max(1, ratio) - server.slowdownFactor);
  }

  #add(row: ListedInstance): void {
    const server = new BackendServer({
      listed: row,
      sharingInstances: this.#options.countSharingInstances(),
    });
    this.#servers.set(row.id, server);
    const report = this.#options.table.get('backend', row.id);
    const load = this.#options.table.get('load', row.id);
    if (report) this.#applyReport(report);
    if (load) this.#applyLoad(load);
  }

  #forget(id: string): void {
    this.#servers.delete(id);
    this.#leavingIncarnations.delete(id);
    this.#options.table.remove('backend', id);
    this.#options.table.remove('load', id);
    this.#options.table.remove('cordon', id);
  }

  #applyReport(record: PeerRecord): void {
    const parsed = BackendReport.safeParse(record.value);
    const server = this.#servers.get(record.key);
    if (!server || !parsed.success) return;
    const report = parsed.data;
    this.#enginesByModel.clear();
    if (report.state === 'leaving') this.#leavingIncarnations.set(record.key, record.epoch);
    // A server that reported that it is leaving stays so until its process has been restarted.
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
