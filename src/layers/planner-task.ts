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
import { getProcessKey } from '../fleet/server-entry.js';
import type { OutlierEjection } from '../fleet/outlier-ejection.js';
import type { Logger } from '../telemetry/log.js';
import type { LayerChange } from './coverage-guard.js';
import { CoverageObservations } from './coverage-observations.js';
import { OrderSender } from './coverage-order-sender.js';
import { OrdersInProgress, type CoverageOrder } from './coverage-orders.js';
import { decideCoverageRound, type CoverageRound } from './coverage-round.js';
import { maximumLayerCount } from './engine-estimates.js';
import { countLayers } from './layer-ranges.js';
import type { LeaseState, PlannerLease } from './planner-lease.js';
import type { LeaseOrder } from './planner-lease-orders.js';

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

const REVIEW_INTERVAL_MILLISECONDS = 100;
/**
 * Engines that start together register one after another, so an idle service or one whose engines
 * hold no layers is planned only after its set of engines has not changed for this long.
 */
const SETTLE_MILLISECONDS = 1000;
/** After a gap of this length all data centres are planned together; most crashed engines are back before, empty. */
const GAP_MILLISECONDS = 8000;
/** Added to twice the load time until an order that had no effect is sent again. */
const ORDER_MARGIN_MILLISECONDS = 2500;

const NOTHING_WAITS = JSON.stringify({ heldBack: [], waiting: [] });

/** What a decision was based on. */
interface ReportedConditions {
  readonly leaseState: LeaseState;
  readonly ordersInProgress: number;
  readonly isIdle: boolean;
  readonly canSpanDataCentres: boolean;
}

class Planner {
  readonly #options: PlannerOptions;

  readonly #orders = new OrdersInProgress(() => performance.now());

  readonly #sender: OrderSender;

  readonly #observations: CoverageObservations;

  /** By service: the orders that were last logged as held back or waiting, as JSON. */
  readonly #reportedWaiting = new Map<string, string>();

  constructor(options: PlannerOptions) {
    this.#options = options;
    this.#sender = new OrderSender({ ...options, orders: this.#orders });
    this.#observations = new CoverageObservations({
      fleet: options.fleet,
      outlierEjection: options.outlierEjection,
      orders: this.#orders,
      isPausing: (processKey) => this.#sender.isPausing(processKey),
    });
  }

  /**
   * Checks the placement of all services once; does nothing if this instance is not the planner.
   */
  async review(): Promise<void> {
    const { configuration, isPlanner } = this.#options;
    this.#observations.trackEjections();
    if (!isPlanner()) {
      this.#observations.forgetGaps();
      return;
    }
    const services = [...(configuration.current?.services.values() ?? [])];
    for (const service of services) {
      if (service.engine) await this.#reviewService(service.name, service.engine);
    }
  }

  /**
   * Plans a service's engines and sends the orders that the plan needs, unless another instance
   * holds the planner lease or left orders in progress, with which the next review plans.
   */
  async #reviewService(service: string, profile: EngineProfile): Promise<void> {
    const observations = this.#observations;
    observations.recordDemand(service, profile);
    const { engines, ordersInProgress } = observations.listEngines(service);
    const isIdle = this.#options.isIdle(service);
    const isEmpty = engines.every(({ layers }) => layers === undefined);
    const isSettled = observations.trackEngineSet(service, engines) >= SETTLE_MILLISECONDS;
    if ((isEmpty || isIdle) && !isSettled) return;
    const canSpanDataCentres =
      observations.trackGap(service, engines, profile.layerCount) >= GAP_MILLISECONDS;
    const conditions = { profile, isIdle, canSpanDataCentres, ordersInProgress };
    const round = decideCoverageRound(engines, conditions);
    this.#reportWaiting(service, round, conditions);
    const orders = this.#createOrders(service, profile, round);
    if (orders.length === 0) return;
    const { lease, isHolderGone } = this.#options;
    const leaseState = await lease.acquireOrRenew(
      isHolderGone,
      this.#listLeaseOrders(orders.map(({ order }) => order)),
    );
    if (leaseState === 'lost' || this.#restoreInheritedOrders()) return;
    this.#reportOrders(service, round, { ...conditions, leaseState });
    await Promise.all(
      orders.map(({ server, order }) => this.#sender.send(server, order, leaseState)),
    );
  }

  /** Creates the orders of a round, without those whose layers do not fit into memory. */
  #createOrders(service: string, profile: EngineProfile, { orders }: CoverageRound) {
    return orders.flatMap(({ id, layers }) => {
      const server = this.#options.fleet.find(id);
      if (!server || countLayers(layers) > maximumLayerCount(profile, server.entry.kind)) return [];
      const loadMilliseconds =
        (profile.loadMilliseconds * countLayers(layers)) / profile.layerCount;
      const order: CoverageOrder = {
        service,
        processKey: getProcessKey(server.entry),
        layers,
        durationMilliseconds: 2 * loadMilliseconds + ORDER_MARGIN_MILLISECONDS,
      };
      return [{ server, order }];
    });
  }

  /** Lists what the next planner has to know: the orders in progress, and those about to be sent. */
  #listLeaseOrders(planned: readonly CoverageOrder[]): LeaseOrder[] {
    const wallNow = Date.now();
    const now = performance.now();
    return [
      ...this.#orders
        .list()
        .map((order) => ({ ...order, expiresAt: wallNow + (order.expiresAt - now) })),
      ...planned.map((order) => ({
        ...order,
        expiresAt: wallNow + order.durationMilliseconds,
      })),
    ];
  }

  /** Takes over the orders of the previous planner. Returns whether there are any, as the round was planned without. */
  #restoreInheritedOrders(): boolean {
    const { lease, fleet, log, metrics } = this.#options;
    const inherited = lease.takeInheritedOrders();
    inherited.forEach(({ order, remainingMilliseconds }) => {
      if (!this.#orders.restore(order, remainingMilliseconds)) return;
      const { service, processKey, layers } = order;
      metrics.countEvent('order_inherited');
      log.info('Order of the planner before is in progress.', {
        service,
        processKey,
        ...layers,
        remainingMilliseconds: Math.round(remainingMilliseconds),
        term: lease.term,
      });
      const server = fleet.servers.find(({ entry }) => getProcessKey(entry) === processKey);
      if (server) void this.#sender.follow(server, order);
    });
    return inherited.length > 0;
  }

  #reportOrders(
    service: string,
    { orders, isInitial }: CoverageRound,
    { leaseState, ordersInProgress, isIdle, canSpanDataCentres }: ReportedConditions,
  ): void {
    const { lease, log, metrics, fleet } = this.#options;
    metrics.countEvent(isInitial ? 'placement_initial' : 'placement_repair');
    log.info('Placing layers.', {
      service,
      lease: leaseState,
      term: lease.term,
      fleetRevision: fleet.revision,
      isIdle,
      isInitial,
      canSpanDataCentres,
      ordersInProgress,
      plan: orders.map(formatChange),
    });
  }

  /** Reports the orders that are held back or wait, when these change; reviews repeat every 100 ms. */
  #reportWaiting(
    service: string,
    { heldBack, waiting }: CoverageRound,
    { ordersInProgress, profile }: { ordersInProgress: number; profile: EngineProfile },
  ): void {
    const { log, metrics } = this.#options;
    const inputs = {
      heldBack: heldBack.map(formatChange),
      waiting: waiting.map(formatChange),
    };
    const reported = JSON.stringify(inputs);
    if (reported === (this.#reportedWaiting.get(service) ?? NOTHING_WAITS)) return;
    this.#reportedWaiting.set(service, reported);
    heldBack.forEach(() => metrics.countEvent('order_held_back'));
    waiting.forEach(() => metrics.countEvent('order_waiting'));
    const { concurrentLoads } = profile;
    log.info('Orders wait.', { service, ...inputs, ordersInProgress, concurrentLoads });
  }
}

function formatChange({ id, layers: { from, to } }: LayerChange): string {
  return `${id}=${from}-${to}`;
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
