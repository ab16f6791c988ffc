/** What the planner observes of a service's engines from review to review: losses, gaps, demand, and orders. */
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { BackendFleet } from '../fleet/backend-fleet.js';
import { getHeldLayers, type FleetServer } from '../fleet/fleet-server.js';
import type { OutlierEjection } from '../fleet/outlier-ejection.js';
import { getProcessKey } from '../fleet/server-entry.js';
import { applyOrder, type OrdersInProgress } from './coverage-orders.js';
import { isEngineLost } from './engine-loss.js';
import { findUncoveredRanges } from './layer-ranges.js';
import { PeakDemand } from './peak-demand.js';
import type { PlannedEngine } from './planned-engine.js';

/** Options of {@link CoverageObservations}. */
export interface CoverageObservationsOptions {
  readonly fleet: Pick<BackendFleet, 'servers' | 'listForService'>;
  readonly outlierEjection: Pick<OutlierEjection, 'isEjected'>;
  readonly orders: OrdersInProgress;
  /** Whether no order is sent to an engine's process now. */
  readonly isPausing: (processKey: string) => boolean;
}

/** A service's engines as a round plans them. */
export interface ObservedEngines {
  /** Without lost and leaving engines, with the orders in progress applied. */
  readonly engines: readonly PlannedEngine[];
  readonly ordersInProgress: number;
}

export class CoverageObservations {
  readonly #options: CoverageObservationsOptions;

  readonly #demand = new PeakDemand();

  /** By id of an ejected server: when it was first seen ejected, on the monotonic clock. */
  readonly #ejectedSince = new Map<string, number>();

  /** By service: since when some layer has been neither held nor ordered anywhere. */
  readonly #gapsSince = new Map<string, number>();

  /** By service: the ids of its engines at the last review, and when their set last changed. */
  readonly #engineSets = new Map<string, { readonly ids: string; readonly changedAt: number }>();

  constructor(options: CoverageObservationsOptions) {
    this.#options = options;
  }

  /** Notes when servers were first seen ejected, and forgets those that are readmitted. */
  trackEjections(): void {
    const { fleet, outlierEjection } = this.#options;
    const now = performance.now();
    fleet.servers.forEach(({ entry: { id } }) => {
      if (!outlierEjection.isEjected(id)) this.#ejectedSince.delete(id);
      else if (!this.#ejectedSince.has(id)) this.#ejectedSince.set(id, now);
    });
  }

  /** Returns for how many milliseconds the set of a service's engines has been the same. */
  trackEngineSet(service: string, engines: readonly PlannedEngine[]): number {
    const now = performance.now();
    const ids = engines.map(({ id }) => id).join();
    const known = this.#engineSets.get(service);
    if (known?.ids === ids) return now - known.changedAt;
    this.#engineSets.set(service, { ids, changedAt: now });
    return 0;
  }

  /** Returns for how many milliseconds some layer has been neither held by an engine of any data centre nor ordered. */
  trackGap(service: string, engines: readonly PlannedEngine[], layerCount: number): number {
    const now = performance.now();
    const ranges = engines.flatMap(({ layers }) => layers ?? []);
    const hasGap = findUncoveredRanges(ranges, layerCount).length > 0;
    const since = hasGap ? (this.#gapsSince.get(service) ?? now) : now;
    if (hasGap) this.#gapsSince.set(service, since);
    else this.#gapsSince.delete(service);
    return now - since;
  }

  /** Forgets since when layers have been missing, as gaps are not followed while another instance plans. */
  forgetGaps(): void {
    this.#gapsSince.clear();
  }

  /** Records how many requests run in each data centre, by the KV cache that they have reserved. */
  recordDemand(service: string, profile: EngineProfile): void {
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

  /** Lists a service's engines without lost and leaving ones. */
  listEngines(service: string): ObservedEngines {
    const { fleet, orders, isPausing } = this.#options;
    let ordersInProgress = 0;
    const engines = fleet
      .listForService(service)
      .filter((server) => !this.#isLost(server))
      .map((server) => {
        const { entry, ownLoad, peerLoad } = server;
        const processKey = getProcessKey(entry);
        const held = getHeldLayers(server);
        const order = orders.find(processKey, held);
        if (order) ordersInProgress += 1;
        const { planned, kept } = order ? applyOrder(order, held) : { planned: held, kept: held };
        return {
          id: entry.id,
          dataCentre: entry.dataCentre,
          kind: entry.kind,
          slots: entry.slots,
          layers: planned,
          keptLayers: kept,
          hasOrderInProgress: order !== undefined || isPausing(processKey),
          isInUse: ownLoad.requests + peerLoad.requests > 0,
          peakRequests: this.#demand.peak(`${service}/${entry.dataCentre}`),
        };
      });
    return { engines, ordersInProgress };
  }

  #isLost({ entry, refusingSince, ownLoad, peerLoad }: FleetServer): boolean {
    const now = performance.now();
    return isEngineLost({
      refusingMilliseconds: now - (refusingSince ?? now),
      ejectedMilliseconds: now - (this.#ejectedSince.get(entry.id) ?? now),
      runningRequests: ownLoad.requests + peerLoad.requests,
    });
  }
}
