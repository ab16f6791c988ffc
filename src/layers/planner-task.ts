/**
 * Placement task: on the instance that is the planner, checks every 100 ms whether the engines of
 * each service hold every layer, and orders engines to load other layers if they do not.
 */
import { sleep } from '../common/clock.js';
import { getErrorMessage } from '../common/http-client.js';
import type { ActiveConfiguration } from '../entry/active-configuration.js';
import type { EngineReports } from '../evidence/engine-reports.js';
import type { ProtocolAdapter } from '../entry/protocol-adapter.js';
import type { EntryMetrics } from '../entry/entry-metrics.js';
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { BackendFleet } from '../fleet/backend-fleet.js';
import { getHeldLayers, type FleetServer } from '../fleet/fleet-server.js';
import { getAvailability } from '../fleet/server-availability.js';
import { getProcessKey, type LayerRange } from '../fleet/server-entry.js';
import type { OutlierEjection } from '../fleet/outlier-ejection.js';
import type { Logger } from '../telemetry/log.js';
import { isEngineLost } from './engine-loss.js';
import { maximumLayerCount } from './engine-estimates.js';
import { wouldUncoverLayers, type LayerHolder } from './coverage-guard.js';
import { planCoverage } from './coverage-plan.js';
import { findUncoveredRanges } from './layer-ranges.js';
import { PeakDemand } from './peak-demand.js';
import type { PlannedEngine } from './planned-engine.js';
import type { LeaseState, PlannerLease } from './planner-lease.js';

/** Options of {@link runPlanner}. */
export interface PlannerOptions {
  readonly fleet: BackendFleet;
  readonly outlierEjection: OutlierEjection;
  readonly configuration: ActiveConfiguration;
  readonly protocol: ProtocolAdapter;
  readonly reports: EngineReports;
  readonly lease: PlannerLease;
  /** Whether this instance is the planner now. */
  readonly isPlanner: () => boolean;
  /** Whether no instance has received a request to the service recently. */
  readonly isIdle: (service: string) => boolean;
  /** Whether the holder named in a lease, as `instance/incarnation`, is gone. */
  readonly isHolderGone: (holder: string) => boolean;
  readonly metrics: EntryMetrics;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

/** An order that the engine is assumed to carry out until it expires. */
interface PendingOrder {
  readonly layers: LayerRange;
  /** Monotonic clock. */
  readonly expiresAt: number;
}

const REVIEW_INTERVAL_MILLISECONDS = 100;
/**
 * Engines that start together register one after another, so an idle service or one whose engines
 * hold no layers is planned only after its set of engines has not changed for this long.
 */
const SETTLE_MILLISECONDS = 1000;
/** Engines that crash are mostly back within this time, empty; what is missing after it is missing for good. */
const GAP_MILLISECONDS = 8000;
const REPORT_TIMEOUT_MILLISECONDS = 400;
/** Time between two checks whether an engine has carried out an order. */
const ORDER_CHECK_INTERVAL_MILLISECONDS = 300;
const ORDER_TIMEOUT_MILLISECONDS = 500;
/** Time without orders to an engine that is busy or has rejected an order. */
const BUSY_PAUSE_MILLISECONDS = 1000;
/** An engine may still carry out an order whose response was lost for this long. */
const UNCONFIRMED_ORDER_MILLISECONDS = 4000;
/** Added to twice the load time until an order that had no effect is sent again. */
const ORDER_MARGIN_MILLISECONDS = 2500;

class Planner {
  readonly #options: PlannerOptions;

  /** By process of an engine, as an order doesn't reach the process that takes its place. */
  readonly #pendingOrders = new Map<string, PendingOrder>();

  readonly #demand = new PeakDemand();

  /** By process of an engine: until when no order is sent to it, on the monotonic clock. */
  readonly #busyUntil = new Map<string, number>();

  /** By id of an ejected server: when this task first saw it ejected, on the monotonic clock. */
  readonly #ejectedSince = new Map<string, number>();

  /** By service: since when some layer has been held by no engine. */
  readonly #gapsSince = new Map<string, number>();

  /** By service: the ids of its engines at the last review, and when their set last changed. */
  readonly #engineSets = new Map<string, { readonly ids: string; readonly changedAt: number }>();

  constructor(options: PlannerOptions) {
    this.#options = options;
  }

  /**
   * Checks the placement of all services once; does nothing if this instance is not the planner.
   */
  async review(): Promise<void> {
    const { configuration, isPlanner } = this.#options;
    this.#trackEjections();
    if (!isPlanner()) return;
    const services = [...(configuration.current?.services.values() ?? [])];
    for (const service of services) {
      if (service.engine) await this.#reviewService(service.name, service.engine);
    }
  }

  /** Notes when servers were first seen ejected, and forgets those that are readmitted. */
  #trackEjections(): void {
    const { fleet, outlierEjection } = this.#options;
    const now = performance.now();
    fleet.servers.forEach(({ entry: { id } }) => {
      if (!outlierEjection.isEjected(id)) this.#ejectedSince.delete(id);
      else if (!this.#ejectedSince.has(id)) this.#ejectedSince.set(id, now);
    });
  }

  #isLost({ entry, refusingSince, ownLoad, peerLoad }: FleetServer): boolean {
    const now = performance.now();
    return isEngineLost({
      refusingMilliseconds: now - (refusingSince ?? now),
      ejectedMilliseconds: now - (this.#ejectedSince.get(entry.id) ?? now),
      runningRequests: ownLoad.requests + peerLoad.requests,
    });
  }

  /** Returns for how many milliseconds the set of a service's engines has been the same. */
  #trackEngineSet(service: string, engines: readonly PlannedEngine[]): number {
    const now = performance.now();
    const ids = engines.map(({ id }) => id).join();
    const known = this.#engineSets.get(service);
    if (known?.ids === ids) return now - known.changedAt;
    this.#engineSets.set(service, { ids, changedAt: now });
    return 0;
  }

  /** Returns for how many milliseconds some layer has been held by no engine in any data centre. */
  #trackGap(service: string, engines: readonly PlannedEngine[], layerCount: number): number {
    const now = performance.now();
    const ranges = engines.flatMap(({ layers }) => layers ?? []);
    const hasGap = findUncoveredRanges(ranges, layerCount).length > 0;
    const since = hasGap ? (this.#gapsSince.get(service) ?? now) : now;
    if (hasGap) this.#gapsSince.set(service, since);
    else this.#gapsSince.delete(service);
    return now - since;
  }

  /** Records how many requests run in each data centre, by the KV cache that they have reserved. */
  #recordDemand(service: string, profile: EngineProfile): void {
    const requestTokens = profile.typicalPromptTokens + profile.typicalOutputTokens;
    const requestsByDataCentre = new Map<string, number>();
    this.#options.fleet.listForService(service).forEach(({ entry, ownLoad, peerLoad }) => {
      const reserved = ownLoad.reservedTokenLayers + peerLoad.reservedTokenLayers;
      const requests = reserved / (requestTokens * profile.layerCount);
      const known = requestsByDataCentre.get(entry.dataCentre) ?? 0;
      requestsByDataCentre.set(entry.dataCentre, known + requests);
    });
    requestsByDataCentre.forEach((requests, dataCentre) =>
      this.#demand.record(`${service}/${dataCentre}`, requests),
    );
  }

  /** Lists a service's engines without lost and leaving ones, with pending orders applied. */
  #listPlannedEngines(service: string): PlannedEngine[] {
    const now = performance.now();
    [...this.#busyUntil]
      .filter(([, until]) => until < now)
      .forEach(([id]) => this.#busyUntil.delete(id));
    return this.#options.fleet
      .listForService(service)
      .filter((server) => !this.#isLost(server))
      .map((server) => {
        const { entry, ownLoad, peerLoad } = server;
        const pending = this.#pendingOrders.get(getProcessKey(entry));
        if (
          pending &&
          (pending.expiresAt < now || isSameRange(pending.layers, getHeldLayers(server)))
        ) {
          this.#pendingOrders.delete(getProcessKey(entry));
        }
        return {
          id: entry.id,
          dataCentre: entry.dataCentre,
          kind: entry.kind,
          slots: entry.slots,
          layers: this.#pendingOrders.get(getProcessKey(entry))?.layers ?? getHeldLayers(server),
          hasOrderInProgress: this.#busyUntil.get(getProcessKey(entry)) !== undefined,
          isInUse: ownLoad.requests + peerLoad.requests > 0,
          peakRequests: this.#demand.peak(`${service}/${entry.dataCentre}`),
        };
      });
  }

  /**
   * Plans a service's engines and sends the orders that the plan needs, unless another instance
   * holds the planner lease.
   */
  async #reviewService(service: string, profile: EngineProfile): Promise<void> {
    this.#recordDemand(service, profile);
    const engines = this.#listPlannedEngines(service);
    const isIdle = this.#options.isIdle(service);
    const isEmpty = engines.every(({ layers }) => layers === undefined);
    const isSettled = this.#trackEngineSet(service, engines) >= SETTLE_MILLISECONDS;
    if ((isEmpty || isIdle) && !isSettled) return;
    const { layerCount } = profile;
    const canSpanDataCentres = this.#trackGap(service, engines, layerCount) >= GAP_MILLISECONDS;
    const holders = this.#listHolders(service);
    const plan = [...planCoverage(engines, profile, isIdle, canSpanDataCentres)].filter(
      ([id, layers]) =>
        isIdle || !wouldUncoverLayers({ id, layers }, holders, { layerCount, canSpanDataCentres }),
    );
    if (plan.length === 0) return;
    const { lease, isHolderGone, log } = this.#options;
    const leaseState = await lease.acquireOrRenew(isHolderGone);
    if (leaseState === 'lost') return;
    log.info('Placing layers.', {
      service,
      lease: leaseState,
      term: lease.term,
      fleetRevision: this.#options.fleet.revision,
      plan: plan.map(([id, { from, to }]) => `${id}=${from}-${to}`),
    });
    await Promise.all(
      plan.map(async ([id, layers]) => {
        const server = this.#options.fleet.find(id);
        if (server) await this.#orderEngine(server, layers, profile, leaseState);
      }),
    );
  }

  /** Lists a service's engines, without lost ones, with the layers that they hold now. */
  #listHolders(service: string): LayerHolder[] {
    return this.#options.fleet
      .listForService(service)
      .filter((server) => !this.#isLost(server))
      .map((server) => ({
        id: server.entry.id,
        dataCentre: server.entry.dataCentre,
        layers: getHeldLayers(server),
      }));
  }

  /** Reads an engine's reports until it has carried out an order or the order expires. */
  async #awaitOrderCompletion(
    server: FleetServer,
    layers: LayerRange,
    expiresAt: number,
  ): Promise<void> {
    const { reports, signal, log } = this.#options;
    const { id } = server.entry;
    while (performance.now() < expiresAt && !signal.aborted) {
      await sleep(ORDER_CHECK_INTERVAL_MILLISECONDS, signal);
      if (isSameRange(layers, getHeldLayers(server))) return;
      // Its entry shows the layers as well.
      if (isClosed(server)) return;
      try {
        const report = await reports.fetch(server, REPORT_TIMEOUT_MILLISECONDS);
        storeLayerReport(server, report.layers);
        if (isSameRange(layers, report.layers) && !report.isBusy) {
          log.info('Engine carried out the order.', { id, ...layers });
          return;
        }
      } catch (error) {
        log.info('Could not read the report of the engine; no longer checking its order.', {
          id,
          message: getErrorMessage(error),
        });
        return;
      }
    }
  }

  /**
   * Sends an order to an engine, unless its layers do not fit into memory, the lease has run out or
   * the engine is busy. An engine whose report cannot be read is ejected.
   */
  async #orderEngine(
    server: FleetServer,
    layers: LayerRange,
    profile: EngineProfile,
    leaseState: LeaseState,
  ): Promise<void> {
    const { protocol, reports, lease, log, metrics } = this.#options;
    const { id, address, kind } = server.entry;
    const processKey = getProcessKey(server.entry);
    if (layers.to - layers.from > maximumLayerCount(profile, kind)) return;
    if (isClosed(server)) {
      this.#busyUntil.set(processKey, server.ownWord.pausedUntil);
      return;
    }
    const layerCount = layers.to - layers.from;
    const loadMilliseconds = (profile.loadMilliseconds * layerCount) / profile.layerCount;
    const expiresAt = performance.now() + 2 * loadMilliseconds + ORDER_MARGIN_MILLISECONDS;
    this.#pendingOrders.set(processKey, { layers, expiresAt });
    try {
      const report = await reports.fetch(server, REPORT_TIMEOUT_MILLISECONDS);
      storeLayerReport(server, report.layers);
      // If the store does not answer, the order sequence number that each engine checks keeps two
      // planners from overriding each other's orders.
      if (leaseState === 'held' && !lease.isValid) {
        this.#pendingOrders.delete(processKey);
        return;
      }
      if (report.isBusy) {
        this.#pendingOrders.delete(processKey);
        this.#busyUntil.set(processKey, performance.now() + BUSY_PAUSE_MILLISECONDS);
        return;
      }
      const order = { ...layers, expectedSequence: report.orderSequence };
      const result = await protocol.sendPlacementOrder(address, order, ORDER_TIMEOUT_MILLISECONDS);
      log.info('Order sent to the engine.', { id, ...order, result, isBusy: report.isBusy });
      metrics.countEvent(`order_${result}`);
      if (result === 'conflict' || result === 'refused') {
        this.#pendingOrders.delete(processKey);
        this.#busyUntil.set(processKey, performance.now() + BUSY_PAUSE_MILLISECONDS);
      } else if (result === 'unknown') {
        // The engine may carry out the order seconds later; until then its current layers count.
        this.#pendingOrders.delete(processKey);
        this.#busyUntil.set(processKey, performance.now() + UNCONFIRMED_ORDER_MILLISECONDS);
        void this.#awaitOrderCompletion(server, layers, expiresAt);
      } else {
        void this.#awaitOrderCompletion(server, layers, expiresAt);
      }
    } catch (error) {
      this.#pendingOrders.delete(processKey);
      if (isClosed(server)) this.#busyUntil.set(processKey, server.ownWord.pausedUntil);
      else this.#options.outlierEjection.eject(id, getErrorMessage(error));
    }
  }
}

/** Whether the engine wants no requests for a time. */
function isClosed(server: FleetServer): boolean {
  return getAvailability(server, performance.now()) === 'closed';
}

/** Stores the layers that an engine reports, if its registry entry does not show them yet. */
function storeLayerReport(server: FleetServer, layers: LayerRange | undefined): void {
  if (layers && !isSameRange(layers, server.entry.layers)) {
    server.ownLayerReport = { layers, reportedAt: performance.now() };
  }
}

function isSameRange(one: LayerRange, other: LayerRange | undefined): boolean {
  return one.from === other?.from && one.to === other.to;
}

/**
 * Runs the placement task until the signal aborts. An error in one review is logged, and the next
 * review follows as usual.
 *
 * @param options - The state to plan from and the means to send orders.
 */
export async function runPlanner(options: PlannerOptions): Promise<void> {
  const { signal, log } = options;
  const planner = new Planner(options);
  while (!signal.aborted) {
    try {
      await planner.review();
    } catch (error) {
      log.error('Planning failed.', { message: getErrorMessage(error) });
    }
    await sleep(REVIEW_INTERVAL_MILLISECONDS, signal);
  }
}
