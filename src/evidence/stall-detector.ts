/**
 * Detects streams that have stalled because an engine died or stopped responding, long before the
 * engines themselves give such a stream up. The first engine of a chain reports which engine a
 * request is waiting for.
 */
import {
  getErrorMessage,
  HttpRequestError,
  isConnectionLost,
  isConnectionRefused,
} from '../common/http-client.js';
import type { BackendFleet } from '../fleet/backend-fleet.js';
import type { FleetServer } from '../fleet/fleet-server.js';
import type { EndCheck } from '../fleet/end-check.js';
import { getAvailability } from '../fleet/server-availability.js';
import { getProcessKey, type ServerEntry } from '../fleet/server-entry.js';
import type { ServerReach } from '../fleet/server-reach.js';
import type { OutlierEjection } from '../fleet/outlier-ejection.js';
import type { Logger } from '../telemetry/log.js';
import type { EngineReport } from '../entry/protocol-adapter.js';
import type { EngineReports } from './engine-reports.js';
import { NoEngineReportError } from './no-engine-report-error.js';

/** A running stream, and how to act on it when it stalls. */
export interface WatchedStream {
  readonly requestId: string;
  chain: readonly FleetServer[];
  /** When the last event arrived, or else when the request was sent, on the monotonic clock. */
  lastProgressAt: number;
  /** Whether the instance waits for the caller to read; silence then says nothing about engines. */
  isCallerBlocked: boolean;
  /** Whether any event has arrived. */
  hasEvents: boolean;
  /** The longest wait for the first event before another chain is tried beside the first. */
  readonly firstEventTimeoutMilliseconds: number;
  /** Tries other engines beside those of the stream, whose first event is late. */
  retryElsewhere(): void;
  /** Reroutes the stream around suspected engines, or tries others beside them. */
  routeAround(suspectedEngineIds: readonly string[]): void;
}

/** Options of {@link StallDetector}. */
export interface StallDetectorOptions {
  readonly reports: Pick<EngineReports, 'fetch'>;
  readonly fleet: BackendFleet;
  readonly outlierEjection: OutlierEjection;
  readonly endCheck: EndCheck;
  readonly serverReach: ServerReach;
  readonly log: Logger;
  /** The time between two calls of {@link StallDetector.checkStreams}. */
  readonly checkIntervalMilliseconds: number;
  readonly now?: () => number;
}

/** A stream without progress for this long causes its first engine to be asked for a report. */
const SILENCE_THRESHOLD_MILLISECONDS = 200;
/** A stream over an ejected engine is rerouted sooner, without asking for a report. */
const EJECTED_SILENCE_THRESHOLD_MILLISECONDS = 140;
/** While no engine can be asked, a stream is suspected of having stalled after this long. */
const CUT_SILENCE_THRESHOLD_MILLISECONDS = 300;
const REPORT_TIMEOUT_MILLISECONDS = 250;
/** The shortest time between two requests to one engine for a report about stalls. */
const STALL_REPORT_INTERVAL_MILLISECONDS = 150;
/** The same for reports that are read for the slowdown factor. */
const SLOWDOWN_REPORT_INTERVAL_MILLISECONDS = 1500;
/** A check that comes this much later than the interval shows that this process was held up. */
const CHECK_DELAY_TOLERANCE_MILLISECONDS = 30;
/** A report that takes this much longer than its timeout was delayed by this process itself. */
const LOCAL_DELAY_TOLERANCE_MILLISECONDS = 100;

/** Watches the running streams of an instance. */
export class StallDetector {
  readonly #options: StallDetectorOptions;

  readonly #now: () => number;

  readonly #streams = new Set<WatchedStream>();

  readonly #lastRequestedAt = new Map<string, number>();

  readonly #runningReports = new Map<string, Promise<EngineReport | undefined>>();

  #lastCheckAt: number | undefined;

  constructor(options: StallDetectorOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  add(stream: WatchedStream): void {
    this.#streams.add(stream);
  }

  remove(stream: WatchedStream): void {
    this.#streams.delete(stream);
  }

  /** Checks every stream once and acts on those that have stalled; call it periodically. */
  async checkStreams(): Promise<void> {
    const now = this.#now();
    this.#discountOwnDelay(now);
    const { outlierEjection, serverReach } = this.#options;
    const firstEngines = new Map<string, FleetServer>();
    [...this.#streams].forEach((stream) => {
      if (stream.isCallerBlocked) return;
      const silenceMilliseconds = now - stream.lastProgressAt;
      if (silenceMilliseconds < EJECTED_SILENCE_THRESHOLD_MILLISECONDS) return;
      const ejectedEngineIds = stream.chain
        .map(({ entry }) => entry.id)
        .filter((id) => outlierEjection.isEjected(id));
      if (ejectedEngineIds.length > 0) {
        stream.routeAround(ejectedEngineIds);
        return;
      }
      if (serverReach.isCut) {
        const [first] = stream.chain;
        const isLost = silenceMilliseconds >= CUT_SILENCE_THRESHOLD_MILLISECONDS;
        if (isLost && first) stream.routeAround([first.entry.id]);
        return;
      }
      if (!stream.hasEvents && silenceMilliseconds >= stream.firstEventTimeoutMilliseconds)
        stream.retryElsewhere();
      const [first] = stream.chain;
      if (first && silenceMilliseconds >= SILENCE_THRESHOLD_MILLISECONDS)
        firstEngines.set(first.entry.id, first);
    });
    await Promise.all(
      [...firstEngines.values()]
        .filter((server) => !this.#wasAskedInPause(server))
        .filter(({ entry }) => this.#tryStartReport(entry.id, STALL_REPORT_INTERVAL_MILLISECONDS))
        .map((server) => this.#shareReport(server)),
    );
  }

  /** Time in which this process was held up is no silence of the engines. */
  #discountOwnDelay(now: number): void {
    const { checkIntervalMilliseconds } = this.#options;
    const delay = now - (this.#lastCheckAt ?? now) - checkIntervalMilliseconds;
    this.#lastCheckAt = now;
    if (delay <= CHECK_DELAY_TOLERANCE_MILLISECONDS) return;
    this.#streams.forEach((stream) => {
      stream.lastProgressAt = Math.min(now, stream.lastProgressAt + delay);
    });
  }

  /**
   * Asks an engine for a report, not sent before now. Ejects it when it does not respond, and reroutes the
   * streams that it reports as stalled. One that wants no requests now is only connected to, to see whether
   * it has ended.
   *
   * @param id - The engine's id; an unregistered engine is ignored.
   */
  async checkEngine(id: string): Promise<void> {
    const { fleet, endCheck } = this.#options;
    const server = fleet.find(id);
    if (!server) return;
    // A report that is under way may have been sent while the engine still ran.
    await this.#runningReports.get(id);
    if (fleet.hasEnded(getProcessKey(server.entry))) return;
    if (getAvailability(server, this.#now()) === 'closed') await endCheck.check(server.entry);
    else await this.#shareReport(server);
  }

  /**
   * Asks the first engine of a stream that is silent for a report, not sent before now.
   *
   * @param id - The engine's id.
   * @param requestId - The stream's request.
   * @returns Whether it answers without naming the stream as stalled; false if it can't be asked.
   */
  async isServing(id: string, requestId: string): Promise<boolean> {
    const server = this.#options.fleet.find(id);
    if (!server || getAvailability(server, this.#now()) === 'closed') return false;
    await this.#runningReports.get(id);
    const report = await this.#shareReport(server);
    return report !== undefined && !report.stalledRequests.some((it) => it.requestId === requestId);
  }

  /**
   * Whether an engine that wants no requests now has been asked since it said so. One report tells which of
   * the streams that it runs are stalled.
   */
  #wasAskedInPause(server: FleetServer): boolean {
    const { pausedSince } = server.ownWord;
    const askedAt = this.#lastRequestedAt.get(server.entry.id) ?? Number.NEGATIVE_INFINITY;
    return getAvailability(server, this.#now()) === 'closed' && askedAt > pausedSince;
  }

  /** Reads the slowdown factor of engines that silent streams run over or that were slow before. */
  async refreshSlowdownFactors(): Promise<void> {
    const now = this.#now();
    const engines = new Map<string, FleetServer>();
    this.#streams.forEach((stream) => {
      if (stream.isCallerBlocked || now - stream.lastProgressAt < SILENCE_THRESHOLD_MILLISECONDS)
        return;
      stream.chain.forEach((server) => engines.set(server.entry.id, server));
    });
    this.#options.fleet.servers.forEach((server) => {
      if (server.ownSlowdownFactor > 1) engines.set(server.entry.id, server);
    });
    const asked = [...engines.values()].filter(
      (server) => getAvailability(server, now) !== 'closed',
    );
    await Promise.all(asked.map((server) => this.#refreshSlowdownFactor(server)));
  }

  /** Whether a report may be requested now; if so, starts the interval until the next one. */
  #tryStartReport(key: string, intervalMilliseconds: number): boolean {
    const now = this.#now();
    if (now - (this.#lastRequestedAt.get(key) ?? Number.NEGATIVE_INFINITY) < intervalMilliseconds)
      return false;
    this.#lastRequestedAt.set(key, now);
    return true;
  }

  /** Requests a report about stalls, unless one is under way, which is then waited for. */
  #shareReport(server: FleetServer): Promise<EngineReport | undefined> {
    const { id } = server.entry;
    const running = this.#runningReports.get(id);
    if (running) return running;
    const report = this.#refreshStalls(server).finally(() => this.#runningReports.delete(id));
    this.#runningReports.set(id, report);
    return report;
  }

  /** Returns the report; undefined if there is none. */
  async #refreshStalls(server: FleetServer): Promise<EngineReport | undefined> {
    const { id } = server.entry;
    const { reports, fleet, outlierEjection, log } = this.#options;
    const requestedAt = this.#now();
    try {
      const report = await reports.fetch(server, REPORT_TIMEOUT_MILLISECONDS);
      this.#options.serverReach.recordConnected(server.entry);
      server.ownSlowdownFactor = report.slowdownFactor;
      outlierEjection.recordLife(id);
      report.stalledRequests.forEach(({ requestId, faultAddress }) => {
        const faultyServer = fleet.findByAddress(faultAddress);
        if (faultyServer)
          outlierEjection.eject(
            faultyServer.entry.id,
            'A stream is stalled at this engine.',
            'faulty',
          );
        const stream = this.#findStream(requestId, server, faultyServer);
        if (!stream) return;
        log.info('Stream is stalled at an engine.', { requestId, faultAddress, first: id });
        stream.routeAround(faultyServer ? [faultyServer.entry.id] : []);
      });
      return report;
    } catch (error) {
      this.#ejectUnresponsive(server, requestedAt, error);
      await this.#checkForEnd(server.entry, error);
      return undefined;
    }
  }

  /**
   * Finds the stream that a report refers to. Reports may be out of date: a stream that by now has
   * another first engine, or no longer runs over the faulty one, is not meant.
   */
  #findStream(
    requestId: string,
    first: FleetServer,
    faultyServer: FleetServer | undefined,
  ): WatchedStream | undefined {
    return [...this.#streams].find(
      (stream) =>
        stream.requestId === requestId &&
        stream.chain[0] === first &&
        (faultyServer === undefined || stream.chain.includes(faultyServer)),
    );
  }

  /** Ejects an engine that sent no report, unless this process was too busy to receive one. */
  #ejectUnresponsive(server: FleetServer, requestedAt: number, error: unknown): void {
    const isUnconnected = error instanceof HttpRequestError && error.phase === 'connecting';
    if (isUnconnected) this.#options.serverReach.recordUnreachable(server.entry);
    const hasAskedForPause =
      error instanceof NoEngineReportError && getAvailability(server, this.#now()) === 'closed';
    if (hasAskedForPause) return;
    const elapsedMilliseconds = this.#now() - requestedAt;
    if (elapsedMilliseconds > REPORT_TIMEOUT_MILLISECONDS + LOCAL_DELAY_TOLERANCE_MILLISECONDS)
      return;
    this.#options.outlierEjection.eject(server.entry.id, 'No report within the report timeout.');
  }

  async #checkForEnd(entry: ServerEntry, error: unknown): Promise<void> {
    const { endCheck } = this.#options;
    if (isConnectionRefused(error)) await endCheck.recordRefusal(entry, getErrorMessage(error));
    // An engine that is ending may accept the connection just before it closes all of them.
    if (isConnectionLost(error)) await endCheck.check(entry);
  }

  async #refreshSlowdownFactor(server: FleetServer): Promise<void> {
    const { id } = server.entry;
    if (!this.#tryStartReport(`slowdown ${id}`, SLOWDOWN_REPORT_INTERVAL_MILLISECONDS)) return;
    const requestedAt = this.#now();
    try {
      const { slowdownFactor } = await this.#options.reports.fetch(
        server,
        REPORT_TIMEOUT_MILLISECONDS,
      );
      if (slowdownFactor !== server.ownSlowdownFactor)
        this.#options.log.info('Engine slowdown factor changed.', { id, pace: slowdownFactor });
      server.ownSlowdownFactor = slowdownFactor;
    } catch (error) {
      this.#ejectUnresponsive(server, requestedAt, error);
    }
  }
}
