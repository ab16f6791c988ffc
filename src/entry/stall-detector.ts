/**
 * Watches streams for silence and finds the engine at fault: the first engine of a chain tells
 * which engine a request waits for. Answers engines that die or go dark in the middle of streams,
 * long before the engines give such a stream up.
 */
import type { BackendFleet, FleetServer } from '../fleet/backend-fleet.js';
import type { OutlierEjection } from '../fleet/outlier-ejection.js';
import type { Logger } from '../telemetry/log.js';
import type { ProtocolAdapter } from './protocol-adapter.js';

/** A stream under way over a chain. */
export interface WatchedStream {
  readonly requestId: string;
  chain: readonly FleetServer[];
  /** When the last event came, or the request was sent, on the monotonic clock. */
  lastProgressAt: number;
  /** Whether its caller doesn't read, so that silence proves nothing. */
  isCallerBlocked: boolean;
  /** Whether an event has come. */
  hasEvents: boolean;
  /** How long the first event may take. */
  readonly firstEventTimeoutMilliseconds: number;
  /** Leads a stream without events elsewhere. */
  readonly retryElsewhere: () => void;
  /** Leads the stream round servers, or ends the attempt. */
  readonly routeAround: (culprits: readonly string[]) => void;
}

/** Options of {@link StallDetector}. */
export interface StallDetectorOptions {
  readonly protocol: ProtocolAdapter;
  readonly fleet: BackendFleet;
  readonly outlierEjection: OutlierEjection;
  readonly log: Logger;
  readonly now?: () => number;
}

const SILENCE_THRESHOLD_MILLISECONDS = 200;
/** A stream over a suspect engine is given up sooner. */
const SUSPECT_SILENCE_THRESHOLD_MILLISECONDS = 140;
const REPORT_TIMEOUT_MILLISECONDS = 250;
/** Between two reports of the same engine. */
const STALL_REPORT_INTERVAL_MILLISECONDS = 150;
const SLOW_FACTOR_REPORT_INTERVAL_MILLISECONDS = 1500;
/** A report that took this much longer than allowed was held up by this process itself. */
const LOCAL_DELAY_TOLERANCE_MILLISECONDS = 100;

export class StallDetector {
  readonly #options: StallDetectorOptions;

  readonly #now: () => number;

  readonly #streams = new Set<WatchedStream>();

  readonly #lastRequestedAt = new Map<string, number>();

  constructor(options: StallDetectorOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /** Begins to watch a stream. */
  add(stream: WatchedStream): void {
    this.#streams.add(stream);
  }

  /** Ends watching a stream. */
  remove(stream: WatchedStream): void {
    this.#streams.delete(stream);
  }

  /** Looks at every stream once. */
  async checkStreams(): Promise<void> {
    const now = this.#now();
    const { outlierEjection: suspicions } = this.#options;
    const silent = new Map<string, FleetServer>();
    [...this.#streams].forEach((stream) => {
      if (stream.isCallerBlocked) return;
      const quiet = now - stream.lastProgressAt;
      if (quiet < SUSPECT_SILENCE_THRESHOLD_MILLISECONDS) return;
      const culprits = stream.chain
        .map(({ entry }) => entry.id)
        .filter((id) => suspicions.isEjected(id));
      if (culprits.length > 0) {
        stream.routeAround(culprits);
        return;
      }
      if (!stream.hasEvents && quiet >= stream.firstEventTimeoutMilliseconds)
        stream.retryElsewhere();
      const [first] = stream.chain;
      if (first && quiet >= SILENCE_THRESHOLD_MILLISECONDS) silent.set(first.entry.id, first);
    });
    await Promise.all([...silent.values()].map((server) => this.#refreshStalls(server)));
  }

  /**
   * Checks that an engine lives and which streams wait for others.
   *
   * @param id - The engine.
   */
  async checkEngine(id: string): Promise<void> {
    const server = this.#options.fleet.find(id);
    if (server) await this.#refreshStalls(server);
  }

  /** Reads the pace of engines that silent streams pass through or that were slow. */
  async refreshSlowdownFactors(): Promise<void> {
    const now = this.#now();
    const asked = new Map<string, FleetServer>();
    this.#streams.forEach((stream) => {
      if (stream.isCallerBlocked || now - stream.lastProgressAt < SILENCE_THRESHOLD_MILLISECONDS)
        return;
      stream.chain.forEach((server) => asked.set(server.entry.id, server));
    });
    this.#options.fleet.servers.forEach((server) => {
      if (server.ownSlowdownFactor > 1) asked.set(server.entry.id, server);
    });
    await Promise.all([...asked.values()].map((server) => this.#refreshSlowFactor(server)));
  }

  #tryStartReport(key: string, spacing: number): boolean {
    const now = this.#now();
    if (now - (this.#lastRequestedAt.get(key) ?? Number.NEGATIVE_INFINITY) < spacing) return false;
    this.#lastRequestedAt.set(key, now);
    return true;
  }

  async #refreshStalls(server: FleetServer): Promise<void> {
    const { id, address } = server.entry;
    if (!this.#tryStartReport(id, STALL_REPORT_INTERVAL_MILLISECONDS)) return;
    const { protocol: dialect, fleet, outlierEjection: suspicions, log } = this.#options;
    const askedAt = this.#now();
    try {
      const report = await dialect.fetchEngineReport(address, REPORT_TIMEOUT_MILLISECONDS);
      server.ownSlowdownFactor = report.slowdownFactor;
      report.stalledRequests.forEach(({ requestId, faultAddress }) => {
        const culprit = fleet.findByAddress(faultAddress);
        if (culprit) suspicions.eject(culprit.entry.id, 'A stream waits for it.');
        const stream = this.#findStream(requestId, server, culprit);
        if (!stream) return;
        log.info('Stream waits for an engine.', { requestId, faultAddress, first: id });
        stream.routeAround(culprit ? [culprit.entry.id] : []);
      });
    } catch {
      this.#suspectUnresponsive(id, askedAt);
    }
  }

  /**
   * Finds the stream that a report speaks of. Reports lag: a stream that runs over another first
   * engine by now, or past the engine at fault already, is not meant.
   */
  #findStream(
    requestId: string,
    first: FleetServer,
    culprit: FleetServer | undefined,
  ): WatchedStream | undefined {
    return [...this.#streams].find(
      (stream) =>
        stream.requestId === requestId &&
        stream.chain[0] === first &&
        (culprit === undefined || stream.chain.includes(culprit)),
    );
  }

  /** Suspects a server that gave no report, unless this process was too busy to read it. */
  #suspectUnresponsive(id: string, askedAt: number): void {
    const waited = this.#now() - askedAt;
    if (waited > REPORT_TIMEOUT_MILLISECONDS + LOCAL_DELAY_TOLERANCE_MILLISECONDS) return;
    this.#options.outlierEjection.eject(id, 'It gave no report.');
  }

  async #refreshSlowFactor(server: FleetServer): Promise<void> {
    const { id, address } = server.entry;
    if (!this.#tryStartReport(`pace ${id}`, SLOW_FACTOR_REPORT_INTERVAL_MILLISECONDS)) return;
    const askedAt = this.#now();
    try {
      const { slowdownFactor: pace } = await this.#options.protocol.fetchEngineReport(
        address,
        REPORT_TIMEOUT_MILLISECONDS,
      );
      if (pace !== server.ownSlowdownFactor) this.#options.log.info('Pace changed.', { id, pace });
      server.ownSlowdownFactor = pace;
    } catch {
      this.#suspectUnresponsive(id, askedAt);
    }
  }
}
