/** Keeps every data centre's engines covering the model, from the instance that is to plan. */
import { sleep } from '../common/clock.js';
import { getErrorMessage } from '../common/http-client.js';
import type { ActiveConfiguration } from '../entry/active-configuration.js';
import type { ProtocolAdapter } from '../entry/protocol-adapter.js';
import type { EntryMetrics } from '../entry/entry-metrics.js';
import type { EngineProfile } from '../entry/serving-configuration.js';
import { getHeldLayers, type BackendFleet, type FleetServer } from '../fleet/backend-fleet.js';
import type { LayerRange } from '../fleet/server-entry.js';
import type { OutlierEjection } from '../fleet/outlier-ejection.js';
import type { Logger } from '../telemetry/log.js';
import { isEngineLost } from './engine-loss.js';
import { layerCapacity } from './engine-estimates.js';
import { planCoverage, type PlannedEngine } from './coverage-plan.js';
import type { LeaseState, PlannerLease } from './planner-lease.js';

/** Options of {@link runPlanner}. */
export interface PlannerOptions {
  readonly fleet: BackendFleet;
  readonly suspicions: OutlierEjection;
  readonly configuration: ActiveConfiguration;
  readonly protocol: ProtocolAdapter;
  readonly lease: PlannerLease;
  /** Whether this instance is the one to plan. */
  readonly isPlanner: () => boolean;
  /** Whether no request to a service has come to any instance of late. */
  readonly isIdle: (service: string) => boolean;
  /** Whether a life of an instance, named by its lease, is gone. */
  readonly isHolderGone: (holder: string) => boolean;
  readonly metrics: EntryMetrics;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

interface PendingOrder {
  readonly layers: LayerRange;
  readonly until: number;
}

const REVIEW_MILLISECONDS = 100;
/** Servers register within moments of each other; the fleet is laid out once it stands still. */
const SETTLE_MILLISECONDS = 1000;
const REPORT_TIMEOUT_MILLISECONDS = 400;
/** Between two looks at whether an order has been carried out. */
const FOLLOW_MILLISECONDS = 300;
const ORDER_TIMEOUT_MILLISECONDS = 500;
/** An engine that is busy with an order is left alone for this long. */
const BUSY_PAUSE_MILLISECONDS = 1000;
/** An order without an answer may be carried out within this time. */
const LATE_ORDER_MILLISECONDS = 4000;
/** Beside the time to load, until an order without an effect is given again. */
const ORDER_MARGIN_MILLISECONDS = 2500;

class Planner {
  readonly #options: PlannerOptions;

  readonly #pending = new Map<string, PendingOrder>();

  /** Engines that take no order, until when. */
  readonly #busyUntil = new Map<string, number>();

  readonly #suspectSince = new Map<string, number>();

  #fleetKey = '';

  #changedAt = 0;

  constructor(options: PlannerOptions) {
    this.#options = options;
  }

  async review(): Promise<void> {
    const { configuration, isPlanner } = this.#options;
    this.#noteSuspects();
    if (!isPlanner()) return;
    const services = [...(configuration.current?.services.values() ?? [])];
    for (const service of services) {
      if (service.engine) await this.#reviewService(service.name, service.engine);
    }
  }

  #noteSuspects(): void {
    const { fleet, suspicions } = this.#options;
    const now = performance.now();
    fleet.servers.forEach(({ entry: { id } }) => {
      if (!suspicions.isEjected(id)) this.#suspectSince.delete(id);
      else if (!this.#suspectSince.has(id)) this.#suspectSince.set(id, now);
    });
  }

  #isLost({ entry, refusingSince, ownLoad: own, peerLoad: others }: FleetServer): boolean {
    const now = performance.now();
    return isEngineLost({
      refusingMilliseconds: now - (refusingSince ?? now),
      suspectMilliseconds: now - (this.#suspectSince.get(entry.id) ?? now),
      running: own.requests + others.requests,
    });
  }

  #engines(service: string): PlannedEngine[] {
    const now = performance.now();
    [...this.#busyUntil]
      .filter(([, until]) => until < now)
      .forEach(([id]) => this.#busyUntil.delete(id));
    return this.#options.fleet
      .listForService(service)
      .filter((server) => !this.#isLost(server))
      .map((server) => {
        const { entry, ownLoad: own, peerLoad: others } = server;
        const pending = this.#pending.get(entry.id);
        if (pending && (pending.until < now || isSame(pending.layers, getHeldLayers(server)))) {
          this.#pending.delete(entry.id);
        }
        return {
          id: entry.id,
          dataCentre: entry.dataCentre,
          kind: entry.kind,
          slots: entry.slots,
          layers: this.#pending.get(entry.id)?.layers ?? getHeldLayers(server),
          isFixed: this.#busyUntil.get(entry.id) !== undefined,
          isInUse: own.requests + others.requests > 0,
        };
      });
  }

  async #reviewService(service: string, profile: EngineProfile): Promise<void> {
    const engines = this.#engines(service);
    const key = engines.map(({ id }) => id).join();
    if (key !== this.#fleetKey) {
      this.#fleetKey = key;
      this.#changedAt = performance.now();
    }
    const isIdle = this.#options.isIdle(service);
    const isEmpty = engines.every(({ layers }) => layers === undefined);
    const isSettled = performance.now() - this.#changedAt >= SETTLE_MILLISECONDS;
    if ((isEmpty || isIdle) && !isSettled) return;
    const plan = [...planCoverage(engines, profile, isIdle)].filter(
      ([id, range]) => isIdle || !this.#uncovers(id, range, service),
    );
    if (plan.length === 0) return;
    const { lease, isHolderGone, log } = this.#options;
    const state = await lease.acquire(isHolderGone);
    if (state === 'lost') return;
    log.info('Placing layers.', {
      service,
      lease: state,
      term: lease.term,
      fleetRevision: this.#options.fleet.revision,
      plan: plan.map(([id, { from, to }]) => `${id}=${from}-${to}`),
    });
    await Promise.all(
      plan.map(async ([id, layers]) => {
        const server = this.#options.fleet.find(id);
        if (server) await this.#order(server, layers, profile, state);
      }),
    );
  }

  /** Whether a change takes away layers that no other engine holds yet. */
  #uncovers(id: string, range: LayerRange, service: string): boolean {
    const held = this.#options.fleet.find(id);
    const before = held && getHeldLayers(held);
    if (!before) return false;
    const others = this.#options.fleet
      .listForService(service)
      .filter((server) => server.entry.id !== id && !this.#isLost(server))
      .filter(({ entry }) => entry.dataCentre === held.entry.dataCentre)
      .flatMap((server) => getHeldLayers(server) ?? []);
    for (let layer = before.from; layer < before.to; layer += 1) {
      const isKept = range.from <= layer && layer < range.to;
      const isElsewhere = others.some(({ from, to }) => from <= layer && layer < to);
      if (!isKept && !isElsewhere) return true;
    }
    return false;
  }

  /** Reads an engine's reports until it holds what it was ordered to. */
  async #followOrder(server: FleetServer, layers: LayerRange, until: number): Promise<void> {
    const { protocol: dialect, signal, log } = this.#options;
    const { id, address } = server.entry;
    while (performance.now() < until && !signal.aborted) {
      await sleep(FOLLOW_MILLISECONDS, signal);
      if (isSame(layers, getHeldLayers(server))) return;
      try {
        const report = await dialect.fetchEngineReport(address, REPORT_TIMEOUT_MILLISECONDS);
        noteHolding(server, report.layers);
        if (isSame(layers, report.layers) && !report.isBusy) {
          log.info('Order carried out.', { id, ...layers });
          return;
        }
      } catch (error) {
        log.info('Order not followed.', { id, message: getErrorMessage(error) });
        return;
      }
    }
  }

  async #order(
    server: FleetServer,
    layers: LayerRange,
    profile: EngineProfile,
    state: LeaseState,
  ): Promise<void> {
    const { protocol: dialect, lease, log, metrics } = this.#options;
    const { id, address, kind } = server.entry;
    if (layers.to - layers.from > layerCapacity(profile, kind)) return;
    const added = layers.to - layers.from;
    const loading = (profile.loadMilliseconds * added) / profile.layerCount;
    const until = performance.now() + 2 * loading + ORDER_MARGIN_MILLISECONDS;
    this.#pending.set(id, { layers, until });
    try {
      const report = await dialect.fetchEngineReport(address, REPORT_TIMEOUT_MILLISECONDS);
      noteHolding(server, report.layers);
      // Without the store, the count of orders that each engine checks keeps planners apart.
      if (state === 'held' && !lease.isValid) {
        this.#pending.delete(id);
        return;
      }
      if (report.isBusy) {
        this.#pending.delete(id);
        this.#busyUntil.set(id, performance.now() + BUSY_PAUSE_MILLISECONDS);
        return;
      }
      const order = { ...layers, expectedSequence: report.orderSequence };
      const result = await dialect.sendPlacementOrder(address, order, ORDER_TIMEOUT_MILLISECONDS);
      log.info('Order given.', { id, ...order, result, isBusy: report.isBusy });
      metrics.countEvent(`order_${result}`);
      if (result === 'conflict' || result === 'refused') {
        this.#pending.delete(id);
        this.#busyUntil.set(id, performance.now() + BUSY_PAUSE_MILLISECONDS);
      } else if (result === 'unknown') {
        // It may be carried out seconds later; until then the engine holds what it held.
        this.#pending.delete(id);
        this.#busyUntil.set(id, performance.now() + LATE_ORDER_MILLISECONDS);
        void this.#followOrder(server, layers, until);
      } else {
        void this.#followOrder(server, layers, until);
      }
    } catch (error) {
      this.#pending.delete(id);
      this.#options.suspicions.eject(id, getErrorMessage(error));
    }
  }
}

/** Notes what an engine says that it holds, ahead of what it has registered. */
function noteHolding(server: FleetServer, layers: LayerRange | undefined): void {
  if (layers && !isSame(layers, server.entry.layers)) {
    server.ownLayerReport = { layers, reportedAt: performance.now() };
  }
}

function isSame(left: LayerRange, right: LayerRange | undefined): boolean {
  return left.from === right?.from && left.to === right.to;
}

/**
 * Plans until the signal aborts.
 *
 * @param options - What to plan for and by which means.
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
    await sleep(REVIEW_MILLISECONDS, signal);
  }
}
