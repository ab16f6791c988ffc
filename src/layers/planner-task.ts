/** Keeps every data centre's engines covering the model, from the instance that is to plan. */
import { sleep } from '../common/clock.js';
import { messageOf } from '../common/http-client.js';
import type { ConfigurationHolder } from '../entry/configuration-holder.js';
import type { Dialect } from '../entry/dialect.js';
import type { EntryMetrics } from '../entry/entry-metrics.js';
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { BackendFleet, FleetServer } from '../fleet/backend-fleet.js';
import type { LayerRange } from '../fleet/server-entry.js';
import type { Suspicions } from '../fleet/suspicions.js';
import type { PartLog } from '../telemetry/log.js';
import { layerCapacity } from './engine-times.js';
import { planCover, type PlannedEngine } from './cover-plan.js';
import type { PlannerLease } from './planner-lease.js';

/** Options of {@link runPlanner}. */
export interface PlannerOptions {
  readonly fleet: BackendFleet;
  readonly suspicions: Suspicions;
  readonly configuration: ConfigurationHolder;
  readonly dialect: Dialect;
  readonly lease: PlannerLease;
  /** Whether this instance is the one to plan. */
  readonly isPlanner: () => boolean;
  /** Whether no request to a service has come to any instance of late. */
  readonly isIdle: (service: string) => boolean;
  /** Whether a life of an instance, named by its lease, is gone. */
  readonly isHolderGone: (holder: string) => boolean;
  readonly metrics: EntryMetrics;
  readonly log: PartLog;
  readonly signal: AbortSignal;
}

interface PendingOrder {
  readonly layers: LayerRange;
  readonly until: number;
}

const REVIEW_MILLISECONDS = 100;
/** Servers register within moments of each other; the fleet is laid out once it stands still. */
const SETTLE_MILLISECONDS = 1000;
/** A suspect engine's layers are placed again after this long. */
const SUSPECT_KEPT_MILLISECONDS = 700;
const REPORT_TIMEOUT_MILLISECONDS = 400;
const ORDER_TIMEOUT_MILLISECONDS = 500;
/** An engine that is busy with an order is left alone for this long. */
const BUSY_PAUSE_MILLISECONDS = 400;
/** Beside the time to load, until an order without an effect is given again. */
const ORDER_MARGIN_MILLISECONDS = 2500;

class Planner {
  readonly #options: PlannerOptions;

  readonly #pending = new Map<string, PendingOrder>();

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
      if (!suspicions.isSuspect(id)) this.#suspectSince.delete(id);
      else if (!this.#suspectSince.has(id)) this.#suspectSince.set(id, now);
    });
  }

  #isLost(id: string): boolean {
    const since = this.#suspectSince.get(id);
    return since !== undefined && performance.now() - since > SUSPECT_KEPT_MILLISECONDS;
  }

  #engines(service: string): PlannedEngine[] {
    const now = performance.now();
    return this.#options.fleet
      .ofService(service)
      .filter(({ entry }) => !this.#isLost(entry.id))
      .map(({ entry, own, others }) => {
        const pending = this.#pending.get(entry.id);
        if (pending && (pending.until < now || isSame(pending.layers, entry.layers))) {
          this.#pending.delete(entry.id);
        }
        return {
          id: entry.id,
          dataCentre: entry.dataCentre,
          kind: entry.kind,
          slots: entry.slots,
          layers: this.#pending.get(entry.id)?.layers ?? entry.layers,
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
    const plan = planCover(engines, profile, isIdle);
    if (plan.size === 0) return;
    const { lease, isHolderGone, log } = this.#options;
    if (!(await lease.acquire(isHolderGone))) return;
    log.info('Placing layers.', {
      service,
      term: lease.term,
      fleetRevision: this.#options.fleet.revision,
      plan: [...plan].map(([id, { from, to }]) => `${id}=${from}-${to}`),
    });
    await Promise.all(
      [...plan].map(async ([id, layers]) => {
        const server = this.#options.fleet.find(id);
        if (server) await this.#order(server, layers, profile);
      }),
    );
  }

  async #order(server: FleetServer, layers: LayerRange, profile: EngineProfile): Promise<void> {
    const { dialect, lease, log, metrics } = this.#options;
    const { id, address, kind } = server.entry;
    if (layers.to - layers.from > layerCapacity(profile, kind)) return;
    const added = layers.to - layers.from;
    const loading = (profile.loadMilliseconds * added) / profile.layerCount;
    const until = performance.now() + 2 * loading + ORDER_MARGIN_MILLISECONDS;
    this.#pending.set(id, { layers, until });
    try {
      const report = await dialect.readReport(address, REPORT_TIMEOUT_MILLISECONDS);
      if (!lease.isValid) {
        this.#pending.delete(id);
        return;
      }
      if (report.isBusy) {
        this.#pending.set(id, { layers, until: performance.now() + BUSY_PAUSE_MILLISECONDS });
        return;
      }
      const order = { ...layers, expectedSequence: report.orderSequence };
      const result = await dialect.sendOrder(address, order, ORDER_TIMEOUT_MILLISECONDS);
      log.info('Order given.', { id, ...order, result, isBusy: report.isBusy });
      metrics.event(`order_${result}`);
      if (result === 'conflict' || result === 'refused') {
        this.#pending.set(id, { layers, until: performance.now() + BUSY_PAUSE_MILLISECONDS });
      }
    } catch (error) {
      this.#pending.delete(id);
      this.#options.suspicions.raise(id, messageOf(error));
    }
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
      log.error('Planning failed.', { message: messageOf(error) });
    }
    await sleep(REVIEW_MILLISECONDS, signal);
  }
}
